//! `citron-stand target`: several targets of one service in one process.

use std::{net::SocketAddr, process::ExitCode, time::Duration};

use citron_daemon::{
    Clock, init_log,
    setting::{Spec, Values},
};
use eyre::bail;
use tokio::signal::unix::{SignalKind, signal};

use super::{LOG, block_on, read};
use crate::target::{self, Settings};

/// The most targets of one process.
const COUNT_LIMIT: u32 = 100;

const SPECS: &[Spec] = &[
    Spec {
        flag: "service",
        variable: "CITRON_STAND_SERVICE",
        default: None,
        help: "service that the targets serve",
        valid: "a name such as lot-desk",
    },
    Spec {
        flag: "count",
        variable: "CITRON_STAND_COUNT",
        default: Some("1"),
        help: "number of targets",
        valid: "a number from 1 to 100",
    },
    Spec {
        flag: "listen",
        variable: "CITRON_STAND_LISTEN",
        default: Some("127.0.0.1:0"),
        help: "address of the first target; later ones take the next ports",
        valid: "an IP address and port, such as 127.0.0.1:0",
    },
    Spec {
        flag: "admin",
        variable: "CITRON_STAND_ADMIN",
        default: Some("127.0.0.1:0"),
        help: "address of the first target's switches; later ones take the next ports",
        valid: "an IP address and port, such as 127.0.0.1:0",
    },
    Spec {
        flag: "slots",
        variable: "CITRON_STAND_SLOTS",
        default: Some("3"),
        help: "requests that a target runs at once",
        valid: "a number from 1",
    },
    Spec {
        flag: "waiting",
        variable: "CITRON_STAND_WAITING",
        default: Some("1"),
        help: "requests that wait for a slot at once",
        valid: "a number from 0",
    },
    Spec {
        flag: "service-ms",
        variable: "CITRON_STAND_SERVICE_MS",
        default: Some("5"),
        help: "usual time to serve a request, milliseconds",
        valid: "a number of milliseconds, such as 5 or 0.5",
    },
    Spec {
        flag: "cold-ms",
        variable: "CITRON_STAND_COLD_MS",
        default: Some("0"),
        help: "time after its start in which a target is slower, milliseconds",
        valid: "a number of milliseconds",
    },
    Spec {
        flag: "seed",
        variable: "CITRON_STAND_SEED",
        default: Some("1"),
        help: "seed of service times and faults",
        valid: "a number from 0",
    },
    LOG,
];

/// Runs targets until SIGTERM.
///
/// # Errors
/// Fails on a bad setting or an address that cannot be bound.
pub fn run(words: &[String]) -> eyre::Result<ExitCode> {
    let about = "stand-ins for targets with few slots";
    let Some(values) = read("citron-stand target", about, SPECS, words)? else {
        return Ok(ExitCode::SUCCESS);
    };
    let settings = settings(&values)?;
    init_log(values.get("log")?, &settings[0].service, "citron-stand", Clock::start())?;
    block_on(serve(settings))?;
    Ok(ExitCode::SUCCESS)
}

async fn serve(settings: Vec<Settings>) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut targets = Vec::new();
    let mut lines = Vec::new();
    for one in settings {
        let name = one.name.clone();
        let target = target::bind(one).await?;
        lines.push(serde_json::json!({
            "name": name,
            "address": target.addr().to_string(),
            "admin": target.admin_addr().to_string(),
        }));
        targets.push(target);
    }
    println!(
        "{}",
        serde_json::json!({"ready": true, "program": "citron-stand target", "targets": lines})
    );
    terminate.recv().await;
    for target in targets {
        target.stop().await;
    }
    Ok(())
}

fn settings(values: &Values) -> eyre::Result<Vec<Settings>> {
    let service: String = values.get("service")?;
    let count: u32 = values.get("count")?;
    if !(1..=COUNT_LIMIT).contains(&count) {
        bail!(
            "--count (or CITRON_STAND_COUNT) has the value {count}; use a number from 1 to {COUNT_LIMIT}"
        );
    }
    let listen: SocketAddr = values.get("listen")?;
    let admin: SocketAddr = values.get("admin")?;
    let seed: u64 = values.get("seed")?;
    let service_ms: f64 = values.get("service-ms")?;
    let service_time = Duration::try_from_secs_f64(service_ms / 1e3)?;
    let slots: u32 = values.get("slots")?;
    if slots == 0 {
        bail!("--slots (or CITRON_STAND_SLOTS) has the value 0; use a number from 1");
    }
    let waiting = values.get("waiting")?;
    let cold = Duration::from_millis(values.get("cold-ms")?);
    Ok((0..count)
        .map(|index| Settings {
            listen: offset(listen, index),
            admin: offset(admin, index),
            name: format!("{service}-{}", index + 1),
            service: service.clone(),
            slots,
            waiting,
            service_time,
            cold,
            seed: seed.wrapping_add(u64::from(index)),
        })
        .collect())
}

/// Returns the address of the target `index`; port 0 stays 0.
fn offset(mut addr: SocketAddr, index: u32) -> SocketAddr {
    if addr.port() != 0 {
        addr.set_port(addr.port().wrapping_add(index as u16));
    }
    addr
}
