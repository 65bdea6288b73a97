//! Drives the membership's timers, and sends and receives its datagrams.

use std::{sync::Arc, time::Duration};

use prost::Message as _;
use tokio::{
    net::UdpSocket,
    sync::mpsc,
    time::{self, MissedTickBehavior},
};

use crate::core::{Core, DATAGRAM_LIMIT_BYTES};

/// The interval at which the membership's timers are checked.
const TICK: Duration = Duration::from_millis(25);

/// Advances the membership's timers until the task is aborted.
pub async fn tick(core: Arc<Core>) {
    let mut ticks = time::interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        core.tick();
    }
}

/// Sends queued datagrams until the task is aborted.
pub async fn send(
    core: Arc<Core>,
    socket: Arc<UdpSocket>,
    mut queue: mpsc::Receiver<(String, Vec<u8>)>,
) {
    while let Some((to, bytes)) = queue.recv().await {
        assert!(
            bytes.len() <= DATAGRAM_LIMIT_BYTES,
            "a queued datagram of {} bytes is too large",
            bytes.len()
        );
        if let Err(error) = socket.send_to(&bytes, &to).await {
            log::debug!("could not send a datagram to {to}: {error}");
            continue;
        }
        core.metrics.datagrams_sent.inc();
        core.metrics.bytes_sent.inc_by(bytes.len() as u64);
    }
}

/// Receives datagrams until the task is aborted.
pub async fn receive(core: Arc<Core>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; 65_536];
    loop {
        // An error reports that an earlier datagram could not be delivered.
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else { continue };
        core.metrics.datagrams_received.inc();
        core.metrics.bytes_received.inc_by(length as u64);
        match citron_wire::Gossip::decode(&buffer[..length]) {
            Ok(gossip) => core.receive(gossip),
            Err(_) => core.metrics.datagrams_bad.inc(),
        }
    }
}
