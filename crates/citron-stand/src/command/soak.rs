//! `citron-stand soak`: randomised runs of real gateways with faults.

use std::{collections::BTreeMap, process::ExitCode, time::Duration};

use citron_daemon::setting::{Spec, Values, check::number};

use super::{LOG, block_on, read, stopped};
use crate::soak::{self, Report, Settings, plan::Kind};

const PROGRAM: &str = "citron-stand soak";

const SPECS: &[Spec] = &[
    Spec {
        flag: "seed",
        variable: "CITRON_SOAK_SEED",
        default: Some("1"),
        help: "seed of the first run's faults and traffic",
        valid: "a number from 0",
    },
    Spec {
        flag: "runs",
        variable: "CITRON_SOAK_RUNS",
        default: Some("1"),
        help: "number of runs, each with the next seed",
        valid: "a number from 1 to 1000",
    },
    Spec {
        flag: "at-once",
        variable: "CITRON_SOAK_AT_ONCE",
        default: Some("1"),
        help: "number of runs that are played at the same time",
        valid: "a number from 1 to 16",
    },
    Spec {
        flag: "seconds",
        variable: "CITRON_SOAK_SECONDS",
        default: Some("30"),
        help: "how long faults are put in, seconds",
        valid: "a number from 5 to 3600",
    },
    Spec {
        flag: "gateways",
        variable: "CITRON_SOAK_GATEWAYS",
        default: Some("6"),
        help: "number of gateways",
        valid: "a number from 1 to 300",
    },
    Spec {
        flag: "targets",
        variable: "CITRON_SOAK_TARGETS",
        default: Some("24"),
        help: "number of targets, over four services",
        valid: "a number from 4 to 1000",
    },
    Spec {
        flag: "callers",
        variable: "CITRON_SOAK_CALLERS",
        default: Some("24"),
        help: "number of callers",
        valid: "a number from 1 to 1000",
    },
    Spec {
        flag: "folder",
        variable: "CITRON_SOAK_FOLDER",
        default: Some("target/soak"),
        help: "where the logs of runs with findings are kept",
        valid: "a folder that can be created",
    },
    LOG,
];

/// Plays runs and prints a line for each, with its findings, and a table of all faults.
///
/// The exit code is 1 if a promise was broken in any run.
///
/// # Errors
/// Fails on a bad setting or if the system cannot be started.
pub fn run(words: &[String]) -> eyre::Result<ExitCode> {
    let Some(values) = read(PROGRAM, "a soak of gateways with faults", SPECS, words)? else {
        return Ok(ExitCode::SUCCESS);
    };
    let first = settings(&values)?;
    let runs = values.get_with("runs", |text| number(text, 1, 1000))?;
    let at_once = values.get_with("at-once", |text| number(text, 1, 16))?;
    citron_daemon::init_log(values.get("log")?, "soak", PROGRAM, citron_daemon::Clock::start())?;
    let seeds: Vec<u64> = (first.seed..first.seed + runs).collect();
    let mut reports = Vec::new();
    block_on(async {
        let all = async {
            for part in seeds.chunks(at_once as usize) {
                let plays = part.iter().map(|seed| play(Settings { seed: *seed, ..first.clone() }));
                reports.extend(futures::future::try_join_all(plays).await?);
            }
            Ok(())
        };
        // Dropping the runs ends their processes.
        tokio::select! {
            ended = all => ended,
            stop = stopped() => stop.and_then(|()| Err(eyre::eyre!("the soak was interrupted"))),
        }
    })?;
    Ok(conclude(&reports))
}

async fn play(settings: Settings) -> eyre::Result<Report> {
    let report = soak::run(&settings).await?;
    println!("{report}");
    for finding in report.findings.iter().take(20) {
        println!("  {finding}");
    }
    if !report.findings.is_empty() {
        println!("  again: {}", report.command(&settings));
        println!("  logs: {}", report.folder.display());
    }
    report.clean();
    Ok(report)
}

fn conclude(reports: &[Report]) -> ExitCode {
    let mut faults: BTreeMap<Kind, usize> = BTreeMap::new();
    for (kind, count) in reports.iter().flat_map(|report| &report.faults) {
        *faults.entry(*kind).or_default() += count;
    }
    for (kind, count) in faults {
        println!("{:<16} {count}", <&str>::from(kind));
    }
    let requests: usize = reports.iter().map(|report| report.requests.0).sum();
    let failed = reports.iter().filter(|report| !report.findings.is_empty()).count();
    println!("{} runs, {requests} requests, {failed} runs with findings", reports.len());
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn settings(values: &Values) -> eyre::Result<Settings> {
    let count = |flag, min, max| values.get_with(flag, |text| number(text, min, max));
    Ok(Settings {
        seed: values.get("seed")?,
        length: Duration::from_secs(count("seconds", 5, 3600)?),
        gateways: count("gateways", 1, 300)? as usize,
        targets: count("targets", 4, 1000)? as usize,
        callers: count("callers", 1, 1000)? as usize,
        folder: values.get("folder")?,
    })
}
