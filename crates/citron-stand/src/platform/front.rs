//! The connections in front of the HTTP server, which can be cut before an answer passes.

use std::{collections::HashMap, io, net::SocketAddr, sync::Arc};

use parking_lot::Mutex;
use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpStream},
    sync::watch,
    task::{AbortHandle, JoinSet},
};

/// Accepts connections and passes their bytes on to the HTTP server.
#[derive(Debug)]
pub(super) struct Front {
    addr: SocketAddr,
    accepting: AbortHandle,
}

/// The open connections by the address from which the HTTP server sees them.
pub(super) type Conns = Arc<Mutex<HashMap<SocketAddr, Conn>>>;

/// An open connection.
#[derive(Debug, Clone)]
pub(super) struct Conn {
    phase: Arc<watch::Sender<Phase>>,
}

#[derive(Debug, Copy, Clone, Eq, PartialEq)]
enum Phase {
    Open,
    /// To be closed before another byte passes.
    Cut,
    Closed,
}

impl Conn {
    pub(super) fn new() -> Self {
        Self { phase: Arc::new(watch::Sender::new(Phase::Open)) }
    }

    /// Closes the connection and waits until no more bytes can pass.
    pub(super) async fn cut(&self) {
        self.phase.send_if_modified(|phase| {
            let open = *phase == Phase::Open;
            if open {
                *phase = Phase::Cut;
            }
            open
        });
        self.closed().await;
    }

    /// Waits until the connection is closed from either side.
    pub(super) async fn closed(&self) {
        let mut phase = self.phase.subscribe();
        // The sender lives as long as `self`.
        let _ = phase.wait_for(|phase| *phase == Phase::Closed).await;
    }

    async fn cut_wanted(&self) {
        let mut phase = self.phase.subscribe();
        let _ = phase.wait_for(|phase| *phase == Phase::Cut).await;
    }
}

impl Front {
    /// Listens on `addr` and passes connections on to `inner`.
    pub(super) async fn bind(
        addr: SocketAddr,
        inner: SocketAddr,
        conns: Conns,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let task = tokio::spawn(accept(listener, inner, conns));
        Ok(Self { addr, accepting: task.abort_handle() })
    }

    pub(super) fn addr(&self) -> SocketAddr {
        self.addr
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

async fn accept(listener: TcpListener, inner: SocketAddr, conns: Conns) {
    // Dropping the set ends the connections with the front.
    let mut open = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    open.spawn(pass(stream, inner, conns.clone()));
                }
                Err(error) => {
                    log::warn!("cannot accept a connection: {error}");
                    tokio::task::yield_now().await;
                }
            },
            Some(_) = open.join_next() => {}
        }
    }
}

async fn pass(mut outer: TcpStream, inner: SocketAddr, conns: Conns) {
    let Ok(mut stream) = TcpStream::connect(inner).await else { return };
    let Ok(local) = stream.local_addr() else { return };
    let _ = outer.set_nodelay(true);
    let _ = stream.set_nodelay(true);
    let conn = Conn::new();
    conns.lock().insert(local, conn.clone());
    tokio::select! {
        biased;
        () = conn.cut_wanted() => {}
        _ = copy_bidirectional(&mut outer, &mut stream) => {}
    }
    drop((outer, stream));
    conns.lock().remove(&local);
    conn.phase.send_replace(Phase::Closed);
}
