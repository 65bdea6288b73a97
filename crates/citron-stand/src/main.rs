//! Runs a stand-in or a bench.

use std::{env, process::ExitCode};

use citron_stand::{bench::BENCHES, command};

/// Runs a subcommand with the words after its name.
type Command = fn(&[String]) -> eyre::Result<ExitCode>;

const COMMANDS: &[(&str, Command)] = &[
    ("platform", command::run_platform),
    ("target", command::run_target),
    ("relay", command::run_relay),
    ("load", command::run_load),
    ("soak", command::run_soak),
    ("agent", command::run_agent),
    ("proxy", command::run_proxy),
    ("bench", bench),
];

fn main() -> ExitCode {
    let words: Vec<String> = env::args().skip(1).collect();
    let name = words.first().map_or("--help", String::as_str);
    let Some((_, run)) = COMMANDS.iter().find(|(known, _)| *known == name) else {
        return usage(name);
    };
    match run(&words[1..]) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("citron-stand {name}: {error}");
            ExitCode::from(2)
        }
    }
}

fn usage(name: &str) -> ExitCode {
    let names: Vec<&str> = COMMANDS.iter().map(|(known, _)| *known).collect();
    let text = format!("usage: citron-stand {} [--help]", names.join("|"));
    match name {
        "--help" | "-h" => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        "--version" | "-V" => {
            println!("citron-stand {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        _ => {
            eprintln!("citron-stand: there is no subcommand {name:?}; {text}");
            ExitCode::from(2)
        }
    }
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
