//! Plays the scripts of the second review: `world-2 NAME FOLDER`, run in the repository.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. The variable
//! `TROUBLE=0` leaves the disturbance out.

#[path = "world_2_caller.rs"]
mod caller;
#[path = "world_2_fleet.rs"]
mod fleet;
#[path = "world_2_http.rs"]
mod http;
#[path = "world_2_link.rs"]
mod link;
#[path = "world_2_quota.rs"]
mod quota;
#[path = "world_2_readers.rs"]
mod readers;
#[path = "world_2_stop.rs"]
mod stop;
#[path = "world_2_store.rs"]
mod store;
#[path = "world_2_upload.rs"]
mod upload;
#[path = "world_2_upstream.rs"]
mod upstream;

use std::{path::PathBuf, process::exit};

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(name), Some(folder)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: world-2 NAME FOLDER");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = PathBuf::from(folder).join("record.txt");
    let temp = std::env::temp_dir().join(format!("world-2-{name}-{}", std::process::id()));
    if std::fs::create_dir_all(&temp).is_err() {
        exit(2);
    }
    let played = match name.as_str() {
        "quota-stale" => quota::play(quota::Trouble::StaleReads, has_trouble, &record, &temp),
        "quota-late" => quota::play(quota::Trouble::TurnedAway, has_trouble, &record, &temp),
        "slow-readers" => readers::play(has_trouble, &record, &temp),
        "slow-stop" => stop::play(has_trouble, &record, &temp),
        "slow-upstream" => upload::play(has_trouble, &record, &temp),
        other => Err(format!("there is no case {other}")),
    };
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&temp);
    }
    match played {
        Ok(Verdict::Held) => exit(0),
        Ok(Verdict::Broken) => exit(1),
        Err(reason) => {
            eprintln!("the case could not run: {reason}");
            exit(2);
        }
    }
}
