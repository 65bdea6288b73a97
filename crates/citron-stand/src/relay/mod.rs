//! A relay of TCP connections and UDP datagrams whose directions can be cut separately.

mod cut;
mod tcp;
mod udp;

pub use self::cut::Cut;

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    net::{TcpListener, UdpSocket},
    task::JoinSet,
};

use self::cut::Switch;

/// How often a port that is free for TCP is tried for UDP.
const BIND_ATTEMPTS: usize = 16;

/// A running relay; dropping it closes its connections.
#[derive(Debug)]
pub struct Relay {
    addr: SocketAddr,
    switch: Arc<Switch>,
    _tasks: JoinSet<()>,
}

/// Starts a relay that listens on `addr`, TCP and UDP on one port, and passes on to `to`.
///
/// # Errors
/// Fails if the address cannot be bound.
pub async fn bind(addr: SocketAddr, to: SocketAddr) -> io::Result<Relay> {
    let (listener, socket) = bind_both(addr).await?;
    let addr = listener.local_addr()?;
    let switch = Arc::new(Switch::default());
    let mut tasks = JoinSet::new();
    tasks.spawn(tcp::serve(listener, to, switch.clone()));
    tasks.spawn(udp::serve(socket, to, switch.clone()));
    Ok(Relay { addr, switch, _tasks: tasks })
}

impl Relay {
    /// Returns the address it listens on, for TCP and for UDP.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets which directions are cut.
    pub fn cut(&self, cut: Cut) {
        self.switch.set(cut);
    }

    /// Sets how long each part of a TCP stream is held back, in both directions.
    pub fn delay(&self, delay: Duration) {
        self.switch.delay(delay);
    }

    /// Sets how many bytes a second all TCP streams pass together, 0 for no limit.
    pub fn limit_rate(&self, bytes_per_s: u64) {
        self.switch.limit_rate(bytes_per_s);
    }

    /// Returns how many bytes of TCP streams came so far.
    pub fn passed(&self) -> u64 {
        self.switch.passed()
    }

    /// Resets the TCP connections that are open now.
    pub fn reset(&self) {
        self.switch.reset();
    }
}

async fn bind_both(addr: SocketAddr) -> io::Result<(TcpListener, UdpSocket)> {
    let mut attempts = if addr.port() == 0 { BIND_ATTEMPTS } else { 1 };
    loop {
        let listener = TcpListener::bind(addr).await?;
        match UdpSocket::bind(listener.local_addr()?).await {
            Ok(socket) => return Ok((listener, socket)),
            Err(error) if attempts == 1 => return Err(error),
            Err(_) => attempts -= 1,
        }
    }
}
