//! A peer that a test plays: it reports a state, and answers what a gateway pulls from it.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use citron_gateway::message::{Datagram, State};
use prost::Message;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, UdpSocket},
    task::JoinSet,
    time,
};

use super::store::Store;

/// The interval between two reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(50);

/// How the peer answers a path.
#[derive(Debug, Clone)]
pub enum Act {
    /// Refuses.
    Refuse,
    /// Sends this body in parts of so many bytes, with a pause after each.
    Send { body: Vec<u8>, part: usize, pause: Duration },
    /// Sends a body without end.
    Endless,
}

/// A running peer.
pub struct Peer {
    calls: Arc<AtomicUsize>,
    _tasks: JoinSet<()>,
}

impl Peer {
    /// Starts a peer that is ahead of the gateway on `host` in routes and targets.
    pub async fn bind(store: &Store, host: &str, routes: Act, targets: Act) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let calls = Arc::new(AtomicUsize::new(0));
        let mut tasks = JoinSet::new();
        tasks.spawn(serve(listener, Arc::clone(&calls), routes, targets));
        let entry = store.get("citron-gateways", host).expect("an entry");
        let to = entry["datagrams"].as_str().expect("an address").parse().expect("an address");
        tasks.spawn(report(address, to));
        Self { calls, _tasks: tasks }
    }

    /// Returns how many pulls came.
    pub fn calls(&self) -> usize {
        self.calls.load(Ordering::Relaxed)
    }
}

async fn report(peers: SocketAddr, to: SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    let datagrams = socket.local_addr().expect("an address").to_string();
    for tick in 1.. {
        let state = State {
            born_ms: 1,
            domain: "a".to_owned(),
            callers: "127.0.0.1:9".to_owned(),
            peers: peers.to_string(),
            routes_version: 1_000_000,
            targets_revision: 1_000_000,
            targets_era: 1,
            datagrams: datagrams.clone(),
            sent_ms: tick * REPORT_INTERVAL.as_millis() as u64,
            ..State::default()
        };
        let datagram =
            Datagram { host: "a-peer".to_owned(), state: Some(state), ..Datagram::default() };
        socket.send_to(&datagram.encode_to_vec(), to).await.expect("a sent datagram");
        time::sleep(REPORT_INTERVAL).await;
    }
}

async fn serve(listener: TcpListener, calls: Arc<AtomicUsize>, routes: Act, targets: Act) {
    let mut open = JoinSet::new();
    loop {
        let (stream, _) = listener.accept().await.expect("a connection");
        let (routes, targets) = (routes.clone(), targets.clone());
        let calls = Arc::clone(&calls);
        open.spawn(async move {
            // A gateway may leave at any time.
            let _ = answer(stream, &calls, &routes, &targets).await;
        });
    }
}

async fn answer(
    mut stream: TcpStream,
    calls: &AtomicUsize,
    routes: &Act,
    targets: &Act,
) -> std::io::Result<()> {
    let mut request = vec![0; 4096];
    let count = stream.read(&mut request).await?;
    calls.fetch_add(1, Ordering::Relaxed);
    let is_routes = request[..count].starts_with(b"GET /routes");
    match if is_routes { routes } else { targets } {
        Act::Refuse => {
            let refusal =
                b"HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
            stream.write_all(refusal).await
        }
        Act::Send { body, part, pause } => {
            let length = body.len();
            let head =
                format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n");
            stream.write_all(head.as_bytes()).await?;
            for bytes in body.chunks(*part) {
                stream.write_all(bytes).await?;
                time::sleep(*pause).await;
            }
            Ok(())
        }
        Act::Endless => {
            stream.write_all(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n\"").await?;
            loop {
                stream.write_all(&[b'x'; 64 * 1024]).await?;
            }
        }
    }
}
