//! The flags and environment variables of the program.

use std::{
    net::{TcpListener, UdpSocket},
    process::{Command, Output},
};

fn run(args: &[&str], variables: &[(&str, &str)]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_citron-proxy"))
        .args(args)
        .env_clear()
        .envs(variables.iter().copied())
        .output()
        .expect("the program must run")
}

const REQUIRED_ARGS: [&str; 12] = [
    "--host",
    "h1",
    "--domain",
    "a",
    "--listen",
    "127.0.0.1:0",
    "--loans",
    "127.0.0.1:0",
    "--admin",
    "127.0.0.1:0",
    "--agent",
    "127.0.0.1:1",
];

#[test]
fn help_names_every_setting() {
    let output = run(&["--help"], &[]);
    assert!(output.status.success());
    let text = String::from_utf8_lossy(&output.stdout);
    for flag in
        ["host", "domain", "listen", "loans", "admin", "agent", "platform", "leave-ms", "log"]
    {
        let variable = format!("CITRON_{}", flag.to_uppercase().replace('-', "_"));
        assert!(text.contains(&format!("--{flag} ")) && text.contains(&variable), "{flag}: {text}");
    }
}

#[test]
fn version_is_printed() {
    let output = run(&["--version"], &[]);
    assert!(output.status.success());
    assert!(String::from_utf8_lossy(&output.stdout).starts_with("citron-proxy "));
}

/// Tests that an invalid setting ends the program before it binds an address, with a message that
/// names the setting.
macro_rules! rejects_setting {
    ($name:ident, $flag:literal, $value:literal) => {
        #[test]
        fn $name() {
            let mut args = REQUIRED_ARGS.to_vec();
            args.extend([concat!("--", $flag), $value]);
            let output = run(&args, &[]);
            assert_eq!(output.status.code(), Some(2));
            assert!(output.stdout.is_empty(), "nothing may be ready");
            let text = String::from_utf8_lossy(&output.stderr);
            let variable = format!("CITRON_{}", $flag.to_uppercase().replace('-', "_"));
            for part in [concat!("--", $flag), &variable, &format!("{:?}", $value), "use "] {
                assert!(text.contains(part), "{part} is missing in {text}");
            }
        }
    };
}

rejects_setting!(bad_host, "host", "a b");
rejects_setting!(empty_domain, "domain", "");
rejects_setting!(bad_listen, "listen", "localhost");
rejects_setting!(bad_agent, "agent", "127.0.0.1");
rejects_setting!(bad_platform, "platform", "ftp://x");
rejects_setting!(bad_leave, "leave-ms", "600001");
rejects_setting!(bad_limit, "customer-limit", "0");
rejects_setting!(bad_log, "log", "loud");

#[test]
fn missing_setting_is_named() {
    let output = run(&REQUIRED_ARGS[..10], &[]);
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains("--agent is missing") && text.contains("CITRON_AGENT"), "{text}");
}

#[test]
fn variables_are_read() {
    let output = run(&REQUIRED_ARGS[..10], &[("CITRON_AGENT", "nowhere")]);
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("\"nowhere\""));
}

#[test]
fn unknown_flag_and_extra_word_are_refused() {
    for word in ["--colour", "word"] {
        let mut args = REQUIRED_ARGS.to_vec();
        args.push(word);
        let output = run(&args, &[]);
        assert_eq!(output.status.code(), Some(2));
        assert!(String::from_utf8_lossy(&output.stderr).contains(word));
    }
}

#[test]
fn an_address_in_use_is_named() {
    let tcp = TcpListener::bind("127.0.0.1:0").expect("bind");
    let udp = UdpSocket::bind("127.0.0.1:0").expect("bind");
    let addrs = [
        ("--listen", tcp.local_addr().expect("address")),
        ("--admin", tcp.local_addr().expect("address")),
        ("--loans", udp.local_addr().expect("address")),
    ];
    for (flag, addr) in addrs {
        let addr = addr.to_string();
        let mut args = REQUIRED_ARGS.to_vec();
        args.extend([flag, &addr]);
        let output = run(&args, &[]);
        assert_eq!(output.status.code(), Some(1), "{flag}");
        assert!(output.stdout.is_empty(), "nothing may be ready");
        assert!(String::from_utf8_lossy(&output.stderr).contains(&addr), "{flag}");
    }
}
