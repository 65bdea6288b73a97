//! Runs a stand-in or a bench.

use std::{env, process::ExitCode};

use citron_stand::{bench::BENCHES, platform, relay};

fn main() -> eyre::Result<ExitCode> {
    let words: Vec<String> = env::args().skip(1).collect();
    match words.first().map(String::as_str) {
        Some("bench") => bench(&words[1..]),
        Some("platform") => run_async(platform::run(&words[1..])),
        Some("relay") => run_async(relay::run(&words[1..])),
        _ => {
            eprintln!("usage: citron-stand platform|relay|bench ...; each has --help");
            Ok(ExitCode::from(2))
        }
    }
}

fn run_async(command: impl Future<Output = eyre::Result<ExitCode>>) -> eyre::Result<ExitCode> {
    tokio::runtime::Runtime::new()?.block_on(command)
}

fn bench(words: &[String]) -> eyre::Result<ExitCode> {
    let name = words.first().map_or("", String::as_str);
    let Some((_, run)) = BENCHES.iter().find(|(known, _)| *known == name) else {
        let names: Vec<&str> = BENCHES.iter().map(|(known, _)| *known).collect();
        eprintln!("citron-stand: there is no bench {name:?}; use one of: {}", names.join(", "));
        return Ok(ExitCode::from(2));
    };
    println!("{}", run(&words[1..])?);
    Ok(ExitCode::SUCCESS)
}
