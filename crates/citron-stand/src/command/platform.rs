//! `citron-stand platform`: a platform in one process.

use std::{fs, net::SocketAddr, process::ExitCode};

use citron_daemon::{
    Clock, init_log,
    setting::{self, Spec, Values},
};
use citron_platform::Hosts;
use eyre::WrapErr;
use serde_json::json;

use super::{LOG, block_on, read, stopped};
use crate::platform;

const PROGRAM: &str = "citron-stand platform";

const SPECS: &[Spec] = &[
    Spec {
        flag: "listen",
        variable: "CITRON_STAND_LISTEN",
        default: None,
        help: "address of the object API and of its switches",
        valid: "an IP address and port; port 0 picks a free one",
    },
    Spec {
        flag: "hosts",
        variable: "CITRON_STAND_HOSTS",
        default: Some(""),
        help: "file with the first list of hosts",
        valid: "a JSON file as returned by GET /v1/hosts",
    },
    LOG,
];

struct Settings {
    listen: SocketAddr,
    hosts: Hosts,
}

/// Runs the platform until the process is asked to stop; the words are the arguments after
/// `platform`.
///
/// # Errors
/// Fails on a bad setting or if the address cannot be bound.
pub fn run(words: &[String]) -> eyre::Result<ExitCode> {
    let Some(values) =
        read(PROGRAM, "a stand-in for the platform, for tests and the demo", SPECS, words)?
    else {
        return Ok(ExitCode::SUCCESS);
    };
    let settings = parse(&values)?;
    init_log(values.get("log")?, "platform", "citron-stand", Clock::start())?;
    block_on(serve(settings))?;
    Ok(ExitCode::SUCCESS)
}

async fn serve(settings: Settings) -> eyre::Result<()> {
    let platform = platform::bind(settings.listen, settings.hosts)
        .await
        .wrap_err("the platform stand-in cannot start")?;
    println!("{}", json!({"ready": true, "program": PROGRAM, "listen": platform.addr()}));
    stopped().await?;
    platform.stop().await;
    Ok(())
}

fn parse(values: &Values) -> Result<Settings, setting::Error> {
    let hosts = if values.is_given("hosts") {
        values.get_with("hosts", |path| {
            let text = fs::read_to_string(path).map_err(|error| error.to_string())?;
            serde_json::from_str(&text).map_err(|error| error.to_string())
        })?
    } else {
        Hosts::default()
    };
    Ok(Settings { listen: values.get("listen")?, hosts })
}
