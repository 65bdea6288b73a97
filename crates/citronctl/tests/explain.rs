//! Which log lines `explain` selects.

use std::fs;

use assert_matches::assert_matches;
use citronctl::{Code, Command, Settings, explain, run};

const LOG: &str = r#"wall_ms=1000 level=WARN host=entry-1 program=citron-gateway event=store-lost call=config reason="the store did not answer: id=r1"
wall_ms=9000 level=INFO host=entry-1 program=citron-gateway event=targets-changed revision=7 changes=t2:ready,t1:leaving source=store
wall_ms=9100 level=INFO host=entry-1 program=citron-gateway event=targets-changed revision=8 changes=t3:ready source=store
wall_ms=9200 level=INFO host=entry-1 program=citron-gateway event=target-held target=t1 reason=store-outage left_ms=1900
wall_ms=9200 level=INFO host=entry-1 program=citron-gateway event=target-held target=t3 reason=store-outage left_ms=1900
wall_ms=9500 level=INFO host=entry-2 program=citron-gateway event=belief target=t1 verdict=failed sick=0.6 source=own
wall_ms=9500 level=INFO host=entry-2 program=citron-gateway event=belief target=t2 verdict=failed sick=0.6 source=own
wall_ms=9600 level=INFO host=entry-2 program=citron-gateway event=store-lost call=config reason="gone"
wall_ms=10000 level=WARN host=entry-1 program=citron-gateway event=attempt id=r1 target=t1 ending=broken
wall_ms=10000 level=WARN host=entry-1 program=citron-gateway event=attempt id=r11 target=t1 ending=broken
wall_ms=10001 level=WARN host=entry-1 program=citron-gateway event=request id=r1 status=502
wall_ms=10500 level=INFO host=entry-2 program=citron-gateway event=belief target=t1 verdict=failed sick=0.9 source=own
not a line of a gateway
"#;

fn texts(id: &str, log: &str) -> Vec<String> {
    explain(id, log).into_iter().map(|line| line.text).collect()
}

#[test]
fn lines_of_the_request_its_targets_and_its_host_are_selected() {
    let selected = texts("r1", LOG);
    let expected: Vec<&str> = LOG
        .lines()
        .enumerate()
        .filter(|(n, _)| [0, 1, 3, 5, 8, 10].contains(n))
        .map(|(_, l)| l)
        .collect();
    assert_eq!(selected, expected);
}

#[test]
fn lines_of_several_logs_are_sorted_by_time() {
    let (first, second) = LOG.split_at(LOG.find("wall_ms=9500").expect("the line"));
    assert_eq!(texts("r1", &format!("{second}{first}")), texts("r1", LOG));
}

#[test]
fn an_id_does_not_match_a_longer_one() {
    assert!(texts("r", LOG).is_empty());
    assert_eq!(explain("r11", LOG).iter().filter(|line| line.is_own).count(), 1);
}

async fn command(words: &[&str]) -> citronctl::Output {
    let args = words.iter().map(std::ffi::OsString::from);
    let settings = Settings::read(args, |_| None).expect("valid settings").expect("a command");
    assert_matches!(settings.command, Command::Explain { .. });
    run(&settings).await
}

#[tokio::test]
async fn the_command_reads_files_and_reports_what_is_missing() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("entry-1.log");
    fs::write(&path, LOG).expect("a written log");
    let path = path.to_str().expect("a path");
    let output = command(&["explain", "r1", path]).await;
    assert_eq!(output.code, Code::Done);
    assert_eq!(output.text.lines().filter(|line| line.starts_with("* ")).count(), 2);
    let output = command(&["explain", "r9", path]).await;
    assert_eq!(output.code, Code::Failed);
    assert!(output.problem.expect("a problem").contains("r9"));
    let output = command(&["explain", "r1", "/no/such/log"]).await;
    assert_eq!(output.code, Code::BadLists);
}

#[test]
fn explain_needs_a_request_and_a_log() {
    let args = ["explain", "r1"].iter().map(std::ffi::OsString::from);
    let error = Settings::read(args, |_| None).expect_err("a usage error");
    assert!(error.to_string().contains("REQUEST LOG"), "{error}");
}
