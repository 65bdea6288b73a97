//! Concurrent edits by several `citronctl` processes, with lost responses and writes, and with a
//! process that is paused or killed in the middle of an edit.

mod support;

use std::{collections::BTreeSet, process::Stdio};

use citron::policy::Head;
use citron_stand::platform::{Call, Mode, Platform};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use support::{CUSTOMERS, Fixture, GRANTS, wait_until};

/// Rounds of racing processes; each accepts few edits, so that the head still lists all of them.
const ROUNDS: u32 = 6;

fn head(platform: &Platform) -> Head {
    let (_, bytes) = platform.inspect(|store| store.get("policy", "head")).unwrap();
    Head::decode(&bytes).unwrap()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn accepted_edits_are_exactly_those_of_the_head() {
    let fixture = Fixture::open().await;
    let mut accepted = vec![fixture.json(0, "apply customers.toml grants.toml --as a")];
    for round in 0..ROUNDS {
        fixture.write("", &grants(round + 10));
        fixture.platform.lose_answers(u64::from(round % 3));
        fixture.platform.lose_writes(u64::from(round % 2));
        let command_lines = [
            "apply customers.toml grants.toml --as a",
            "apply customers.toml grants.toml --as b",
            "handover --as a --to b",
            "handover --as b --to a",
            "handover --as a --to c",
            "handover --as c --to a",
        ];
        let running: Vec<_> = command_lines
            .iter()
            .map(|line| {
                let line = format!("{line} --output json");
                fixture.command(&line).stdout(Stdio::piped()).stderr(Stdio::null()).spawn().unwrap()
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
    let head = head(&fixture.platform);
    assert_eq!(head.edits.len() as u64, head.revision);
    let listed: BTreeSet<(u64, &str)> = (1..).zip(head.edits.iter().map(String::as_str)).collect();
    let reported: BTreeSet<(u64, &str)> = accepted
        .iter()
        .map(|report| (report["revision"].as_u64().unwrap(), report["edit"].as_str().unwrap()))
        .collect();
    assert_eq!(listed, reported);
    assert!(head.term > 1, "no handover took place");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn edit_of_an_operator_paused_over_a_handover_is_refused() {
    let fixture = Fixture::open().await;
    fixture.json(0, "apply customers.toml grants.toml --as a");
    fixture.write("", GRANTS);
    let gets = fixture.platform.calls().calls[&Call::Get];
    let puts = fixture.platform.calls().calls[&Call::Put];
    // Each call takes long, so that the process is paused between its read and its write.
    fixture.platform.set_mode(Mode::Slow { delay_ms: 1500 });
    let mut paused = fixture
        .command("apply customers.toml grants.toml --as a")
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    wait_until(|| fixture.platform.calls().calls[&Call::Put] > puts).await;
    let pid = Pid::from_child(&paused);
    kill_process(pid, Signal::STOP).unwrap();
    fixture.platform.set_mode(Mode::Up);
    assert!(fixture.platform.calls().calls[&Call::Get] > gets);
    let handover = fixture.json(0, "handover --as a --to b");
    kill_process(pid, Signal::CONT).unwrap();
    assert_eq!(paused.wait().unwrap().code(), Some(4));
    // The handover directly replaced the first policy: the paused edit took no effect in between.
    assert_eq!(handover["revision"], 2);
    assert_eq!(head(&fixture.platform).holder, "b");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_edit_leaves_a_consistent_policy() {
    let fixture = Fixture::open().await;
    fixture.json(0, "apply customers.toml grants.toml --as a");
    // The edit writes two shards and the head; it is killed before or while each is written.
    for kill_at in 0..4 {
        let before = fixture.json(0, "status")["revision"].clone();
        fixture.write(&CUSTOMERS.replace("izmir", &format!("k{kill_at}")), &grants(kill_at + 100));
        fixture.platform.set_mode(Mode::Slow { delay_ms: 20 });
        let puts = fixture.platform.calls().calls[&Call::Put];
        let mut killed = fixture
            .command("apply customers.toml grants.toml --as a")
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        wait_until(|| fixture.platform.calls().calls[&Call::Put] >= puts + u64::from(kill_at))
            .await;
        killed.kill().unwrap();
        killed.wait().unwrap();
        fixture.platform.set_mode(Mode::Up);
        // The policy is entirely the earlier or entirely the later one, never a mix of their lists.
        let diff = fixture.json_of(&[0, 1], "diff customers.toml grants.toml");
        let differing = diff["changes"].as_array().unwrap().len();
        assert_eq!(differing, if diff["revision"] == before { 3 } else { 0 }, "{diff}");
        // A write that is still in flight may overtake the next edit, but only once.
        fixture.json_of(&[0, 4], "apply customers.toml grants.toml --as a");
        fixture.json(0, "apply customers.toml grants.toml --as a");
        assert_eq!(fixture.json(0, "diff customers.toml grants.toml")["changes"], json!([]));
    }
}

fn grants(rate: u32) -> String {
    GRANTS.replace("rate = 5.0", &format!("rate = {rate}.0"))
}
