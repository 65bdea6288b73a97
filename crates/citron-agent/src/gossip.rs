//! Sends and receives the datagrams of the membership.

use std::{sync::Arc, time::Duration};

use prost::Message as _;
use tokio::{
    net::UdpSocket,
    sync::mpsc,
    time::{self, MissedTickBehavior},
};

use crate::core::{Core, DATAGRAM_LIMIT_BYTES};

/// The time between two looks at the membership's timers.
const TICK: Duration = Duration::from_millis(25);

/// Advances the membership for good.
pub async fn tick(core: Arc<Core>) {
    let mut ticks = time::interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        core.tick();
    }
}

/// Sends what is queued for good.
pub async fn send(
    core: Arc<Core>,
    socket: Arc<UdpSocket>,
    mut queue: mpsc::Receiver<(String, Vec<u8>)>,
) {
    while let Some((to, bytes)) = queue.recv().await {
        assert!(bytes.len() <= DATAGRAM_LIMIT_BYTES, "a datagram of {} bytes", bytes.len());
        if let Err(error) = socket.send_to(&bytes, &to).await {
            log::debug!("a datagram to {to} was not sent: {error}");
            continue;
        }
        core.metrics.datagrams_sent.inc();
        core.metrics.bytes_sent.inc_by(bytes.len() as u64);
    }
}

/// Receives for good.
pub async fn receive(core: Arc<Core>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; 65_536];
    loop {
        // An error tells that an earlier datagram could not be delivered.
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else { continue };
        core.metrics.datagrams_received.inc();
        core.metrics.bytes_received.inc_by(length as u64);
        match citron_wire::Gossip::decode(&buffer[..length]) {
            Ok(gossip) => core.receive(gossip),
            Err(_) => core.metrics.datagrams_bad.inc(),
        }
    }
}
