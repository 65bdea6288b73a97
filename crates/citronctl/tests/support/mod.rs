//! A fixture with a platform and a folder with both lists, and helpers that run the program.

#![allow(dead_code)] // Each test file uses only some of these helpers.

use std::{
    net::{Ipv4Addr, SocketAddr},
    path::Path,
    process::{Command, Output},
    time::Duration,
};

use citron_platform::Hosts;
use citron_stand::platform::{Platform, bind};
use serde_json::Value;
use tempfile::TempDir;

pub const LOCAL: (Ipv4Addr, u16) = (Ipv4Addr::LOCALHOST, 0);

/// How long a condition may take to become true.
const TIMEOUT: Duration = Duration::from_secs(60);

pub const CUSTOMERS: &str = "[[customer]]\nname = \"izmir-roasters\"\nplan = \"roaster\"\n";
pub const GRANTS: &str = r#"
    service = [{ name = "lot-desk", profile = "careful", class = "live", floor = 0.7, deadline_ms = 5000 }]
    plan = [{ name = "roaster", use = [{ service = "lot-desk", rate = 5.0, burst = 10.0 }] }]
    route = [{ prefix = "/lots/", service = "lot-desk" }]
"#;

/// A platform and a folder with both lists.
pub struct Fixture {
    pub platform: Platform,
    folder: TempDir,
}

impl Fixture {
    pub async fn open() -> Self {
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let platform = bind(addr, Hosts::default()).await.unwrap();
        let fixture = Self { platform, folder: TempDir::new().unwrap() };
        fixture.write(CUSTOMERS, GRANTS);
        fixture
    }

    pub fn write(&self, customers: &str, grants: &str) {
        std::fs::write(self.folder.path().join("customers.toml"), customers).unwrap();
        std::fs::write(self.folder.path().join("grants.toml"), grants).unwrap();
    }

    /// Runs a command line in the folder of the lists, against the platform.
    pub fn run(&self, line: &str) -> (i32, String, String) {
        output(self.command(line))
    }

    /// Returns a command that runs a command line in the folder of the lists, against the platform.
    pub fn command(&self, line: &str) -> Command {
        command(line, Some(self.folder.path()), &[("CITRON_PLATFORM", &self.platform.url())])
    }

    /// Runs a command line that must end with `code` and returns its output as JSON.
    #[track_caller]
    pub fn json(&self, code: i32, line: &str) -> Value {
        self.json_of(&[code], line)
    }

    /// Runs a command line that must end with one of `codes` and returns its output as JSON.
    #[track_caller]
    pub fn json_of(&self, codes: &[i32], line: &str) -> Value {
        let (got, out, err) = self.run(&format!("{line} --output json"));
        assert!(codes.contains(&got), "{line} ended with {got}: {out}{err}");
        serde_json::from_str(&out).unwrap()
    }
}

/// Runs a command line with only these environment variables.
pub fn run(line: &str, variables: &[(&str, &str)]) -> (i32, String, String) {
    output(command(line, None, variables))
}

fn command(line: &str, folder: Option<&Path>, variables: &[(&str, &str)]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_citronctl"));
    command.args(line.split_whitespace()).env_clear().envs(variables.iter().copied());
    if let Some(folder) = folder {
        command.current_dir(folder);
    }
    command
}

fn output(mut command: Command) -> (i32, String, String) {
    let Output { status, stdout, stderr } = command.output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (status.code().unwrap(), text(stdout), text(stderr))
}

/// Polls a condition that another process makes true.
pub async fn wait_until(condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, wait).await.expect("the condition did not become true in time");
}
