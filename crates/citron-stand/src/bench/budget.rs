//! The fleet's retry budget with real gateways as processes, while targets reject requests for long.

use std::{
    path::PathBuf,
    sync::Arc,
    time::{Duration, Instant as StdInstant},
};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use strum::IntoEnumIterator;
use tokio::{
    task::JoinSet,
    time::{self, Instant},
};

use super::{Summary, number};
use crate::{
    command::block_on,
    soak::{
        self, Settings, budget,
        promise::Bounds,
        record::{End, Record},
        world::World,
    },
};

/// How long requests flow before targets reject them, so that every process has a share.
const WARM_UP: Duration = Duration::from_secs(6);
/// The pause between two troubles.
const TROUBLE_GAP: Duration = Duration::from_millis(1500);
/// The longest pause of a process.
const PAUSE_MAX_MS: u64 = 3000;

/// What happens to the gateways while targets reject requests.
#[derive(Debug, Copy, Clone, Eq, PartialEq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
enum Trouble {
    /// Nothing.
    Calm,
    /// Some are killed at once and start again, again and again.
    Kills,
    /// Some stand still at once, again and again.
    Pauses,
    /// One after the other is stopped and starts again.
    Restarts,
}

/// Plays each trouble once. The words are `--gateways N`, `--seconds N` (how long targets reject),
/// `--callers N` and `--seed N`; `CITRON_GATEWAY_PROGRAM` names another build of the gateway.
///
/// # Errors
/// Fails if a word is not valid or the system cannot be started.
pub fn run(words: &[String]) -> eyre::Result<Summary> {
    let settings = Settings {
        seed: number(words, "--seed", 1)?,
        length: Duration::from_secs(number(words, "--seconds", 30)?),
        gateways: number(words, "--gateways", 17)? as usize,
        targets: 32,
        callers: number(words, "--callers", 40)? as usize,
        folder: PathBuf::from("target/bench-budget"),
    };
    let mut summary = Summary::default();
    for trouble in Trouble::iter() {
        let figures = block_on(play(&settings, trouble))?;
        println!("{trouble:<9} {figures}");
        for (key, value) in figures.pairs() {
            summary.push(format!("{trouble}_{key}"), *value);
        }
    }
    Ok(summary)
}

async fn play(settings: &Settings, trouble: Trouble) -> eyre::Result<Summary> {
    let folder = settings.folder.join(format!("{trouble}-{}", settings.seed));
    let world = Arc::new(World::start(settings, folder).await?);
    let mut callers = soak::call(settings, &world);
    time::sleep(WARM_UP).await;
    let from = Instant::now();
    let mut troubles = JoinSet::new();
    let rejecting = Arc::clone(&world);
    let length = settings.length;
    troubles.spawn(async move { rejecting.reject(length).await });
    upset(settings, &world, trouble, from + length).await?;
    while let Some(ended) = troubles.join_next().await {
        ended?;
    }
    callers.shutdown().await;
    world.collect();
    let record = world.record.lock().clone();
    Ok(figures(&record, from, from + length))
}

/// Upsets gateways until a moment.
async fn upset(
    settings: &Settings,
    world: &Arc<World>,
    trouble: Trouble,
    until: Instant,
) -> eyre::Result<()> {
    let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
    let mut next = 0;
    while Instant::now() + TROUBLE_GAP < until {
        time::sleep(TROUBLE_GAP).await;
        let some: Vec<usize> = (0..settings.gateways).filter(|_| rng.random_bool(0.4)).collect();
        let millis = rng.random_range(300..PAUSE_MAX_MS);
        match trouble {
            Trouble::Calm => {}
            Trouble::Kills => {
                futures::future::try_join_all(some.into_iter().map(|n| world.kill(n))).await?;
            }
            Trouble::Pauses => {
                let time = Duration::from_millis(millis);
                futures::future::try_join_all(some.into_iter().map(|n| world.pause(n, time)))
                    .await?;
            }
            Trouble::Restarts => {
                world.terminate(next % settings.gateways).await?;
                next += 1;
            }
        }
    }
    Ok(())
}

fn figures(record: &Record, from: Instant, until: Instant) -> Summary {
    let bounds = Bounds::default();
    let mut summary = Summary::default();
    let started = StdInstant::now();
    let usages = budget::usages(record, &bounds);
    log::info!("judged {} services in {:?}", usages.len(), started.elapsed());
    let most = usages.iter().map(budget::Usage::part).fold(0.0, f64::max);
    let excess = usages.iter().map(|u| u.retries as f64 - u.allowed).fold(f64::MIN, f64::max);
    summary.push("most_of_allowed", most);
    summary.push("most_beyond_allowed", excess);
    summary.push("used_of_allowed", budget::mean_part(record, &bounds, from, until));
    let during = record.sent.iter().filter(|sent| sent.at >= from && sent.at < until);
    let ended: Vec<_> = during.filter_map(|sent| Some((sent.at, sent.end.as_ref()?))).collect();
    let mut times: Vec<f64> = ended
        .iter()
        .filter(|(_, (_, end))| is_served(end))
        .map(|(at, (ended, _))| ended.duration_since(*at).as_secs_f64() * 1000.0)
        .collect();
    times.sort_by(f64::total_cmp);
    summary.push("requests", ended.len() as f64);
    summary.push("served_part", times.len() as f64 / ended.len().max(1) as f64);
    for (name, part) in [("p50_ms", 0.5), ("p99_ms", 0.99)] {
        let index = (times.len() as f64 * part) as usize;
        summary.push(name, times.get(index).copied().unwrap_or(f64::NAN));
    }
    summary
}

fn is_served(end: &End) -> bool {
    matches!(end, End::Answered(answer) if (200..300).contains(&answer.status))
}
