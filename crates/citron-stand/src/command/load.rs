//! `citron-stand load`: callers that check every answer and every order.

use std::{process::ExitCode, time::Duration};

use citron_daemon::setting::{Spec, Values, check::milliseconds};
use eyre::eyre;

use super::{block_on, read};
use crate::{
    load::{self, Audit, Report, Settings, Told, Workload},
    target::Ledger,
};

const SPECS: &[Spec] = &[
    Spec {
        flag: "agents",
        variable: "CITRON_LOAD_AGENTS",
        default: None,
        help: "HTTP addresses of agents that are asked where to connect",
        valid: "addresses such as 127.0.0.1:7001,127.0.0.1:7002",
    },
    Spec {
        flag: "workloads",
        variable: "CITRON_LOAD_WORKLOADS",
        default: None,
        help: "what is requested, comma separated KIND:CUSTOMER:SERVICE:PREFIX:RATE:SIZE",
        valid: "entries such as lookup:izmir-roasters:lot-desk:/lots/:20:200",
    },
    Spec {
        flag: "ledgers",
        variable: "CITRON_LOAD_LEDGERS",
        default: Some(""),
        help: "addresses of the targets' switches, where orders are checked at the end",
        valid: "addresses such as 127.0.0.1:9001,127.0.0.1:9002",
    },
    Spec {
        flag: "seconds",
        variable: "CITRON_LOAD_SECONDS",
        default: Some("10"),
        help: "how long new requests are sent, seconds",
        valid: "a number from 1 to 600",
    },
    Spec {
        flag: "call-timeout-ms",
        variable: "CITRON_LOAD_CALL_TIMEOUT_MS",
        default: Some("10000"),
        help: "how long a caller waits for an answer before it sends the request again, milliseconds",
        valid: "a number from 1 to 600000",
    },
    Spec {
        flag: "seed",
        variable: "CITRON_LOAD_SEED",
        default: Some("1"),
        help: "seed of arrival times",
        valid: "a number from 0",
    },
    Spec {
        flag: "name",
        variable: "CITRON_LOAD_NAME",
        default: Some("load"),
        help: "tells the orders of one load from those of another",
        valid: "a name of letters and digits",
    },
];

/// Runs a load; the last line is a JSON summary.
///
/// The exit code is 1 if any request was answered wrongly, or any order was lost, doubled or denied.
///
/// # Errors
/// Fails on a bad setting or a ledger that cannot be read.
pub fn run(words: &[String]) -> eyre::Result<ExitCode> {
    let Some(values) = read("citron-stand load", "a load of callers", SPECS, words)? else {
        return Ok(ExitCode::SUCCESS);
    };
    let settings = settings(&values)?;
    let ledgers = list(&values, "ledgers")?;
    let (report, audit) = block_on(async {
        let report = load::run(&settings).await?;
        let audit = load::audit(&report.orders, &read_ledgers(&ledgers).await?);
        Ok((report, audit))
    })?;
    Ok(conclude(&report, &audit))
}

fn conclude(report: &Report, audit: &Audit) -> ExitCode {
    let total = report.total();
    print!("{report}");
    for fault in &report.faults {
        println!("fault: {fault}");
    }
    let summary = serde_json::json!({
        "answered": total.answered,
        "target_errors": total.target_errors,
        "refused": total.refused.values().sum::<u64>(),
        "refused_by_reason": total.refused,
        "orders_answered": report.orders.values().filter(|told| **told == Told::Ran).count(),
        "unknown": total.unknown,
        "unreached": total.unreached,
        "wrong": total.wrong,
        "run_twice": audit.doubled.len(),
        "lost": audit.lost.len(),
        "denied": audit.denied.len(),
    });
    println!("{summary}");
    if audit.is_clean() && report.faults.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

async fn read_ledgers(addresses: &[String]) -> eyre::Result<Ledger> {
    let client = reqwest::Client::builder().no_proxy().build()?;
    let mut ledger = Ledger::default();
    for address in addresses {
        let part: Ledger =
            client.get(format!("http://{address}/ledger")).send().await?.json().await?;
        ledger.merge(part);
    }
    Ok(ledger)
}

fn settings(values: &Values) -> eyre::Result<Settings> {
    let workloads = list(values, "workloads")?
        .iter()
        .map(|text| text.parse::<Workload>())
        .collect::<Result<Vec<_>, _>>()
        .map_err(|reason| {
            eyre!("--workloads (or CITRON_LOAD_WORKLOADS): {reason}; use KIND:CUSTOMER:SERVICE:PREFIX:RATE:SIZE")
        })?;
    let seconds = values.get_with("seconds", |text| match text.parse::<u64>() {
        Ok(seconds @ 1..=600) => Ok(seconds),
        _ => Err("it is not a number from 1 to 600".to_owned()),
    })?;
    Ok(Settings {
        agents: list(values, "agents")?,
        workloads,
        duration: Duration::from_secs(seconds),
        call_timeout: values.get_with("call-timeout-ms", |text| milliseconds(text, 1, 600_000))?,
        seed: values.get("seed")?,
        name: values.get("name")?,
    })
}

fn list(values: &Values, flag: &'static str) -> eyre::Result<Vec<String>> {
    let text: String = values.get(flag)?;
    Ok(text.split(',').filter(|part| !part.is_empty()).map(str::to_owned).collect())
}
