//! Runs a stand-in or a bench.

use std::{env, process::ExitCode};

use citron_stand::bench::BENCHES;

fn main() -> eyre::Result<ExitCode> {
    let words: Vec<String> = env::args().skip(1).collect();
    match words.first().map(String::as_str) {
        Some("bench") => bench(&words[1..]),
        _ => {
            eprintln!("usage: citron-stand bench NAME");
            Ok(ExitCode::from(2))
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
