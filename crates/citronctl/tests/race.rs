//! Concurrent edits by several `citronctl` processes, with lost responses and writes, and with a
//! process that is paused or killed in the middle of an edit.

mod support;

use std::{collections::BTreeSet, process::Stdio};

use citron::policy::Head;
use citron_stand::platform::{Call, Mode, Platform};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use support::{Bench, CUSTOMERS, GRANTS, until};

/// Rounds of racing processes; each accepts few edits, so that the head still lists all of them.
const ROUNDS: u32 = 6;

fn head(platform: &Platform) -> Head {
    let (_, bytes) = platform.inspect(|store| store.get("policy", "head")).unwrap();
    Head::decode(&bytes).unwrap()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn accepted_edits_are_just_those_of_the_head() {
    let bench = Bench::open().await;
    let mut accepted = vec![bench.json(0, "apply customers.toml grants.toml --as a")];
    for round in 0..ROUNDS {
        bench.write("", &grants(round + 10));
        bench.platform.lose_answers(u64::from(round % 3));
        bench.platform.lose_writes(u64::from(round % 2));
        let lines = [
            "apply customers.toml grants.toml --as a",
            "apply customers.toml grants.toml --as b",
            "handover --as a --to b",
            "handover --as b --to a",
            "handover --as a --to c",
            "handover --as c --to a",
        ];
        let running: Vec<_> = lines
            .iter()
            .map(|line| {
                let line = format!("{line} --output json");
                bench.command(&line).stdout(Stdio::piped()).stderr(Stdio::null()).spawn().unwrap()
            })
            .collect();
        for process in running {
            let output = process.wait_with_output().unwrap();
            let report: Value = serde_json::from_slice(&output.stdout).unwrap();
            match output.status.code() {
                Some(0) if report["result"] == "accepted" => accepted.push(report),
                Some(0) => assert_eq!(report["result"], "unchanged"),
                Some(4) => {}
                code => panic!("{code:?}: {report}"),
            }
        }
    }
    let head = head(&bench.platform);
    assert_eq!(head.edits.len() as u64, head.revision);
    let listed: BTreeSet<(u64, &str)> = (1..).zip(head.edits.iter().map(String::as_str)).collect();
    let told: BTreeSet<(u64, &str)> = accepted
        .iter()
        .map(|report| (report["revision"].as_u64().unwrap(), report["edit"].as_str().unwrap()))
        .collect();
    assert_eq!(listed, told);
    assert!(head.term > 1, "no handover took place");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn operator_frozen_over_a_handover_acts_in_vain() {
    let bench = Bench::open().await;
    bench.json(0, "apply customers.toml grants.toml --as a");
    bench.write("", GRANTS);
    let gets = bench.platform.calls().calls[&Call::Get];
    let puts = bench.platform.calls().calls[&Call::Put];
    // Each call takes long, so that the operator is frozen between its read and its write.
    bench.platform.set_mode(Mode::Slow { delay_ms: 1500 });
    let mut frozen = bench
        .command("apply customers.toml grants.toml --as a")
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    until(|| bench.platform.calls().calls[&Call::Put] > puts).await;
    let pid = Pid::from_child(&frozen);
    kill_process(pid, Signal::STOP).unwrap();
    bench.platform.set_mode(Mode::Up);
    assert!(bench.platform.calls().calls[&Call::Get] > gets);
    let handover = bench.json(0, "handover --as a --to b");
    kill_process(pid, Signal::CONT).unwrap();
    assert_eq!(frozen.wait().unwrap().code(), Some(4));
    // The handover replaced the first policy, so the frozen edit was not in between.
    assert_eq!(handover["revision"], 2);
    assert_eq!(head(&bench.platform).holder, "b");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_edit_leaves_one_whole_policy() {
    let bench = Bench::open().await;
    bench.json(0, "apply customers.toml grants.toml --as a");
    // The edit writes two shards and the head; it is killed before or while each is written.
    for kill_at in 0..4 {
        let before = bench.json(0, "status")["revision"].clone();
        bench.write(&CUSTOMERS.replace("izmir", &format!("k{kill_at}")), &grants(kill_at + 100));
        bench.platform.set_mode(Mode::Slow { delay_ms: 20 });
        let puts = bench.platform.calls().calls[&Call::Put];
        let mut killed = bench
            .command("apply customers.toml grants.toml --as a")
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        until(|| bench.platform.calls().calls[&Call::Put] >= puts + u64::from(kill_at)).await;
        killed.kill().unwrap();
        killed.wait().unwrap();
        bench.platform.set_mode(Mode::Up);
        // The policy is the earlier or the later one, both lists of it.
        let diff = bench.json_of(&[0, 1], "diff customers.toml grants.toml");
        let differing = diff["changes"].as_array().unwrap().len();
        assert_eq!(differing, if diff["revision"] == before { 3 } else { 0 }, "{diff}");
        // A write still on its way may overtake the next edit, but only once.
        bench.json_of(&[0, 4], "apply customers.toml grants.toml --as a");
        bench.json(0, "apply customers.toml grants.toml --as a");
        assert_eq!(bench.json(0, "diff customers.toml grants.toml")["changes"], json!([]));
    }
}

fn grants(rate: u32) -> String {
    GRANTS.replace("rate = 5.0", &format!("rate = {rate}.0"))
}
