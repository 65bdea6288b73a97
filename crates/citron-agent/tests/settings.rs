//! The program's settings, ready line and shutdown.

use std::{
    io::{BufRead, BufReader},
    process::{Command, Output, Stdio},
};

const VALID: &[&str] = &[
    "--host=entry-1",
    "--domain=rack-1",
    "--listen=127.0.0.1:0",
    "--control=127.0.0.1:0",
    "--gossip=127.0.0.1:0",
    "--platform=http://127.0.0.1:9",
];

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_citron-agent")).env_clear().args(args).output().unwrap()
}

/// Runs with valid settings, of which `changed` replaces one or adds one.
fn run_with(changed: &str) -> Output {
    let (flag, _) = changed.split_once('=').unwrap();
    let kept = VALID.iter().copied().filter(|arg| !arg.starts_with(flag));
    run(&kept.chain([changed]).collect::<Vec<_>>())
}

macro_rules! rejects {
    ($name:ident, $changed:literal, $($word:literal),+) => {
        #[test]
        fn $name() {
            let output = run_with($changed);
            assert_eq!(output.status.code(), Some(2));
            assert!(output.stdout.is_empty(), "nothing is bound");
            let text = String::from_utf8(output.stderr).unwrap();
            $(assert!(text.contains($word), "{text}");)+
        }
    };
}

rejects!(empty_host, "--host=", "--host", "CITRON_HOST", "letters");
rejects!(host_with_space, "--host=entry 1", "--host", "entry 1");
rejects!(bad_domain, "--domain=a/b", "CITRON_DOMAIN", "a/b");
rejects!(listen_without_port, "--listen=127.0.0.1", "CITRON_LISTEN", "IP:PORT");
rejects!(control_on_any_address, "--control=0.0.0.0:0", "CITRON_CONTROL", "cannot reach");
rejects!(gossip_by_name, "--gossip=localhost:1", "CITRON_GOSSIP", "localhost:1");
rejects!(platform_without_scheme, "--platform=127.0.0.1:9", "CITRON_PLATFORM", "http://");
rejects!(bad_seed, "--seeds=127.0.0.1:1,here", "CITRON_GOSSIP_SEEDS", "127.0.0.1:1,here");
rejects!(ttl_too_short, "--ttl-ms=1", "CITRON_TTL_MS", "600000");
rejects!(bad_grace, "--grace-ms=soon", "CITRON_GRACE_MS", "soon");
rejects!(bad_level, "--log=loud", "CITRON_LOG", "loud");
rejects!(unknown_flag, "--colour=red", "--colour", "--help");

#[test]
fn missing_setting_names_flag_and_variable() {
    let output = run(&VALID[1..]);
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains("--host") && text.contains("CITRON_HOST"), "{text}");
}

#[test]
fn help_and_version_are_printed() {
    for flag in ["--help", "--version"] {
        let output = run(&[flag]);
        assert!(output.status.success());
        assert!(String::from_utf8(output.stdout).unwrap().contains("citron-agent"));
    }
}

#[test]
fn ready_line_names_the_bound_addresses_and_sigterm_stops_the_agent() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_citron-agent"))
        .env_clear()
        .args(VALID)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
    let ready: serde_json::Value = serde_json::from_str(&line).unwrap();
    assert_eq!(ready["ready"], true);
    for address in ["listen", "control", "gossip"] {
        let bound: std::net::SocketAddr = ready[address].as_str().unwrap().parse().unwrap();
        assert_ne!(bound.port(), 0);
    }
    let pid = child.id().to_string();
    assert!(Command::new("kill").args(["-TERM", &pid]).status().unwrap().success());
    assert!(child.wait().unwrap().success());
}
