//! The program `citronctl`: settings, output and exit codes.

mod support;

use std::net::SocketAddr;

use citron::event::Kind;
use citron_daemon::{Admin, Clock, Recorder, bind_admin};
use citron_stand::platform::{Call, Mode};
use serde_json::json;
use support::{CUSTOMERS, Fixture, GRANTS, LOCAL, run};

const APPLY: &str = "apply customers.toml grants.toml --as anadolu";

/// Defines a test of a command line that is refused before anything is sent; the message must
/// contain each word.
macro_rules! usage {
    ($name:ident, $line:expr, [$($variable:expr),*], [$($word:expr),+]) => {
        #[test]
        fn $name() {
            let (code, out, err) = run($line, &[$($variable),*]);
            assert_eq!((code, out.as_str()), (2, ""), "{err}");
            $(assert!(err.contains($word), "{err} lacks {}", $word);)+
        }
    };
}

usage!(no_command, "", [], ["there is no command", "--help"]);
usage!(unknown_command, "frobnicate", [], ["frobnicate", "--help"]);
usage!(unknown_flag, "status --frob 1", [], ["frob", "--help"]);
usage!(missing_argument, "check customers.toml", [], ["CUSTOMERS.toml GRANTS.toml"]);
usage!(excess_argument, "status now", [], ["status", "now"]);
usage!(missing_platform, "status", [], ["--platform", "CITRON_PLATFORM", "http://"]);
usage!(
    bad_platform,
    "status --platform nowhere",
    [],
    ["--platform", "CITRON_PLATFORM", "\"nowhere\""]
);
usage!(
    bad_platform_variable,
    "status",
    [("CITRON_PLATFORM", "ftp://x")],
    ["CITRON_PLATFORM", "ftp://x"]
);
usage!(missing_author, "apply a b --platform http://127.0.0.1:1", [], ["--as", "CITRON_AS"]);
usage!(missing_next, "handover --as a --platform http://127.0.0.1:1", [], ["--to", "CITRON_TO"]);
usage!(
    bad_base,
    "apply a b --as a --base x --platform http://127.0.0.1:1",
    [],
    ["--base", "CITRON_BASE", "\"x\""]
);
usage!(
    edit_without_base,
    "status --edit e --platform http://127.0.0.1:1",
    [],
    ["--base", "CITRON_BASE"]
);
usage!(bad_output, "check a b --output xml", [], ["--output", "CITRON_OUTPUT", "\"xml\"", "json"]);
usage!(
    bad_timeout,
    "check a b --timeout-ms 0",
    [],
    ["--timeout-ms", "CITRON_TIMEOUT_MS", "600000"]
);
usage!(missing_admin, "timeline", [], ["--admin", "CITRON_ADMIN"]);
usage!(
    bad_admin,
    "drain entry-1 --admin 127.0.0.1:1,here",
    [],
    ["--admin", "CITRON_ADMIN", "\"here\""]
);
usage!(same_holder, "handover --as a --to a --platform http://127.0.0.1:1", [], ["another holder"]);
usage!(bad_holder, "handover --as a --to b/c --platform http://127.0.0.1:1", [], ["b/c"]);

#[test]
fn help_names_every_command_and_variable() {
    let (code, out, _) = run("--help", &[]);
    assert_eq!(code, 0);
    for word in ["check", "diff", "apply", "handover", "sweep", "status", "drain", "timeline"] {
        assert!(out.contains(word), "{word}");
    }
    assert!(out.contains("CITRON_PLATFORM") && out.contains("Exit codes"));
    assert_eq!(run("--version", &[]).0, 0);
}

/// Defines a test with its own platform.
macro_rules! case {
    ($name:ident, |$fixture:ident| $body:expr) => {
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let $fixture = Fixture::open().await;
            $body
        }
    };
}

case!(check_needs_no_platform, |fixture| {
    let report = fixture.json(0, "check customers.toml grants.toml");
    assert_eq!((&report["customers"], &report["routes"]), (&1.into(), &1.into()));
    assert_eq!(fixture.platform.calls().total(), 0);
});

case!(bad_lists_change_nothing, |fixture| {
    fixture.json(0, APPLY);
    let before = fixture.json(0, "status");
    let calls = fixture.platform.calls().total();
    for customers in ["[[customer]]\nname = \"x\"\nplan = \"gone\"\n", "not toml", "[[customer]]\n"]
    {
        fixture.write(customers, GRANTS);
        for command in ["check", "diff", "apply --as anadolu"] {
            fixture.json(3, &format!("{command} customers.toml grants.toml"));
        }
    }
    fixture.json(3, "check absent.toml grants.toml");
    assert_eq!(fixture.platform.calls().total(), calls);
    assert_eq!(fixture.json(0, "status"), before);
});

case!(first_apply_makes_its_author_the_holder, |fixture| {
    assert_eq!(fixture.json(0, "status")["revision"], 0);
    assert_eq!(fixture.json(0, APPLY)["revision"], 1);
    let status = fixture.json(0, "status");
    assert_eq!((&status["term"], &status["holder"]), (&1.into(), &"anadolu".into()));
});

case!(diff_shows_what_apply_would_change, |fixture| {
    fixture.json(0, APPLY);
    assert_eq!(fixture.json(0, "diff customers.toml grants.toml")["revision"], 1);
    fixture
        .write(&CUSTOMERS.replace("izmir", "bursa"), &GRANTS.replace("rate = 5.0", "rate = 6.0"));
    let (code, out, _) = fixture.run("diff customers.toml grants.toml");
    assert_eq!(code, 1);
    for line in [
        "- customer izmir-roasters: plan roaster",
        "+ customer bursa-roasters: plan roaster",
        "- plan roaster: lot-desk 5/s burst 10",
        "+ plan roaster: lot-desk 6/s burst 10",
    ] {
        assert!(out.contains(line), "{out}");
    }
    assert_eq!(fixture.json(0, APPLY)["revision"], 2);
    fixture.json(0, "diff customers.toml grants.toml");
});

case!(equal_lists_are_not_written_again, |fixture| {
    fixture.json(0, APPLY);
    let puts = fixture.platform.calls().calls[&Call::Put];
    let report = fixture.json(0, APPLY);
    assert_eq!((&report["result"], &report["revision"]), (&"unchanged".into(), &1.into()));
    assert_eq!(fixture.platform.calls().calls[&Call::Put], puts);
});

case!(only_the_holder_edits, |fixture| {
    fixture.json(0, APPLY);
    fixture.write("", GRANTS);
    let refused = fixture.json(4, "apply customers.toml grants.toml --as atlas");
    assert!(refused["message"].as_str().unwrap().contains("anadolu"), "{refused}");
    fixture.json(4, "handover --as atlas --to atlas-2");
    fixture.json(0, "handover --as anadolu --to atlas");
    fixture.json(4, APPLY);
    fixture.json(0, "apply customers.toml grants.toml --as atlas");
    let status = fixture.json(0, "status");
    assert_eq!((&status["term"], &status["revision"]), (&2.into(), &3.into()));
});

case!(edit_on_another_base_is_refused, |fixture| {
    fixture.json(0, APPLY);
    fixture.write("", GRANTS);
    fixture.json(4, &format!("{APPLY} --base 7"));
    fixture.json(0, &format!("{APPLY} --base 1"));
    fixture.json(4, &format!("{APPLY} --base 1"));
});

case!(handover_needs_a_policy, |fixture| {
    fixture.json(4, "handover --as anadolu --to atlas");
});

case!(lost_response_to_the_head_write_is_resolved, |fixture| {
    fixture.json(0, APPLY);
    fixture.platform.lose_answers(1);
    assert_eq!(fixture.json(0, "handover --as anadolu --to atlas")["revision"], 2);
    assert_eq!(fixture.platform.calls().lost_answers, 1);
    assert_eq!(fixture.json(0, "status")["holder"], "atlas");
});

case!(lost_write_of_the_head_is_retried, |fixture| {
    fixture.json(0, APPLY);
    fixture.platform.lose_writes(2);
    assert_eq!(fixture.json(0, "handover --as anadolu --to atlas")["revision"], 2);
    assert_eq!(fixture.json(0, "status")["holder"], "atlas");
});

case!(shards_are_written_again_after_lost_responses, |fixture| {
    fixture.platform.lose_answers(3);
    assert_eq!(fixture.json(0, APPLY)["revision"], 1);
    fixture.json(0, "diff customers.toml grants.toml");
});

case!(outage_is_reported_as_unreachable, |fixture| {
    fixture.json(0, APPLY);
    fixture.platform.set_mode(Mode::Down);
    fixture.json(5, "status");
    fixture.json(5, "diff customers.toml grants.toml");
    fixture.json(5, "handover --as anadolu --to atlas");
    fixture.platform.set_mode(Mode::Up);
    assert_eq!(fixture.json(0, "status")["holder"], "anadolu");
});

case!(outcome_of_an_edit_is_found_later_by_its_id, |fixture| {
    let id = fixture.json(0, APPLY)["edit"].as_str().unwrap().to_owned();
    let status = fixture.json(0, &format!("status --edit {id} --base 0"));
    assert_eq!((&status["result"], &status["revision"]), (&"accepted".into(), &1.into()));
    assert_eq!(fixture.json(0, "status --edit other --base 0")["result"], "not-accepted");
    fixture.json(6, "status --edit other --base 1");
});

case!(sweep_deletes_only_unused_parts, |fixture| {
    fixture.json(0, APPLY);
    fixture.write(&CUSTOMERS.replace("izmir", "bursa"), GRANTS);
    fixture.json(0, APPLY);
    let count = || fixture.platform.inspect(|store| store.list("policy-shards").len());
    assert_eq!(count(), 5);
    fixture.json(4, "sweep --as atlas");
    assert_eq!(fixture.json(0, "sweep --as anadolu")["revision"], 3);
    assert_eq!(count(), 4);
    fixture.json(0, "diff customers.toml grants.toml");
});

case!(unresponsive_hosts_are_named, |fixture| {
    let (code, _, err) = fixture.run("timeline --admin 127.0.0.1:1");
    assert_eq!(code, 5);
    assert!(err.contains("127.0.0.1:1"), "{err}");
    let (code, _, err) = fixture.run("drain entry-1 --admin 127.0.0.1:1");
    assert_eq!(code, 5);
    assert!(err.contains("entry-1") && err.contains("127.0.0.1:1"), "{err}");
});

/// Serves the status and events of a process; `members` are the agents that it knows.
async fn serve(host: &str, members: &[SocketAddr]) -> (Admin, Recorder) {
    let clock = Clock::start();
    let recorder = Recorder::open(host, "citron-agent", clock);
    let members: Vec<_> =
        members.iter().map(|addr| json!({"admin": addr.to_string(), "state": "alive"})).collect();
    let status = json!({"host": host, "program": "citron-agent", "members": members});
    let drain = rocket::routes![drain];
    let registry = prometheus::Registry::new();
    let admin = bind_admin(
        LOCAL.into(),
        registry,
        recorder.clone(),
        move || status.clone(),
        |rocket| rocket.mount("/", drain),
    );
    (admin.await.unwrap(), recorder)
}

#[rocket::post("/drain")]
fn drain(recorder: &rocket::State<Recorder>) -> rocket::serde::json::Json<bool> {
    recorder.record(Kind::Leaving, "drain", &[]);
    rocket::serde::json::Json(true)
}

case!(timeline_orders_events_of_all_known_agents_by_cause, |fixture| {
    let (second, late) = serve("entry-2", &[]).await;
    let (first, early) = serve("entry-1", &[second.addr()]).await;
    // The second agent's clock lags behind the message that it has received.
    early.observe(citron::hlc::Stamp { wall_ms: u64::MAX / 2, logical: 0 });
    early.record(Kind::PolicyApplied, "1", &[("from", "platform")]);
    late.observe(early.stamp());
    late.record(Kind::PolicyApplied, "1", &[("from", "entry-1")]);
    let events = fixture.json(0, &format!("timeline --admin {}", first.addr()));
    let hosts: Vec<_> = events.as_array().unwrap().iter().map(|event| &event["host"]).collect();
    assert_eq!(hosts, ["entry-1", "entry-2"]);
    let (code, out, err) = fixture.run(&format!("timeline --admin {},127.0.0.1:1", first.addr()));
    assert_eq!(code, 0);
    assert!(out.contains("policy-applied") && out.contains("from=entry-1"), "{out}");
    assert!(err.contains("127.0.0.1:1"), "{err}");
});

case!(drain_reaches_the_agent_of_the_host, |fixture| {
    let (second, drained) = serve("entry-2", &[]).await;
    let (first, _) = serve("entry-1", &[second.addr()]).await;
    fixture.json(0, &format!("drain entry-2 --admin {}", first.addr()));
    assert_eq!(drained.since(Default::default()).len(), 1);
    let (code, _, err) = fixture.run(&format!("drain entry-9 --admin {}", first.addr()));
    assert_eq!(code, 5);
    assert!(err.contains("entry-1, entry-2"), "{err}");
});

case!(status_shows_the_revision_at_each_process, |fixture| {
    let (first, _) = serve("entry-1", &[]).await;
    let status = fixture.json(0, &format!("status --admin {}", first.addr()));
    assert_eq!(status["processes"][0]["host"], "entry-1");
});
