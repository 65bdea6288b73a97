//! The relay: what passes, what a cut drops, and what stays silent.

use std::{
    future::Future,
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use citron_stand::relay::{Cut, Relay, bind};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, UdpSocket},
    time,
};

const LOCAL: (Ipv4Addr, u16) = (Ipv4Addr::LOCALHOST, 0);
/// Far longer than loopback takes.
const LIMIT: Duration = Duration::from_secs(30);
/// How long silence is watched. A slow machine can only hide a fault, never show one.
const SILENCE: Duration = Duration::from_millis(50);

const OPEN: Cut = Cut { to_server: false, to_client: false, existing_only: false };
const TO_SERVER: Cut = Cut { to_server: true, ..OPEN };
const TO_CLIENT: Cut = Cut { to_client: true, ..OPEN };
const BOTH: Cut = Cut { to_server: true, to_client: true, existing_only: false };
const EXISTING: Cut = Cut { existing_only: true, ..BOTH };

/// A relay before a server that echoes over TCP and UDP and counts what arrives.
struct Setup {
    relay: Relay,
    arrived: Arc<AtomicUsize>,
    closed: Arc<AtomicUsize>,
}

impl Setup {
    async fn open() -> Self {
        let listener = TcpListener::bind(SocketAddr::from(LOCAL)).await.unwrap();
        let addr = listener.local_addr().unwrap();
        let socket = UdpSocket::bind(addr).await.unwrap();
        let arrived = Arc::new(AtomicUsize::new(0));
        let closed = Arc::new(AtomicUsize::new(0));
        tokio::spawn(echo_streams(listener, arrived.clone(), closed.clone()));
        tokio::spawn(echo_datagrams(socket, arrived.clone()));
        Self { relay: bind(SocketAddr::from(LOCAL), addr).await.unwrap(), arrived, closed }
    }

    async fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.relay.addr()).await.unwrap();
        stream.set_nodelay(true).unwrap();
        stream
    }

    async fn arrived(&self, count: usize) {
        reached(&self.arrived, count).await;
    }

    async fn closed(&self, count: usize) {
        reached(&self.closed, count).await;
    }

    fn count(&self) -> usize {
        self.arrived.load(Ordering::SeqCst)
    }
}

/// Waits until a counter reaches `count`.
async fn reached(counter: &AtomicUsize, count: usize) {
    within(async {
        while counter.load(Ordering::SeqCst) < count {
            time::sleep(Duration::from_millis(2)).await;
        }
    })
    .await;
}

async fn echo_streams(listener: TcpListener, arrived: Arc<AtomicUsize>, closed: Arc<AtomicUsize>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let (arrived, closed) = (arrived.clone(), closed.clone());
        tokio::spawn(async move {
            let mut buffer = [0; 1024];
            while let Ok(count @ 1..) = stream.read(&mut buffer).await {
                arrived.fetch_add(count, Ordering::SeqCst);
                if stream.write_all(&buffer[..count]).await.is_err() {
                    break;
                }
            }
            closed.fetch_add(1, Ordering::SeqCst);
        });
    }
}

async fn echo_datagrams(socket: UdpSocket, arrived: Arc<AtomicUsize>) {
    let mut buffer = [0; 1024];
    while let Ok((count, peer)) = socket.recv_from(&mut buffer).await {
        arrived.fetch_add(count, Ordering::SeqCst);
        let _ = socket.send_to(&buffer[..count], peer).await;
    }
}

async fn within<T>(future: impl Future<Output = T>) -> T {
    time::timeout(LIMIT, future).await.expect("it must come about")
}

/// Asserts that the peer sends nothing and does not close.
async fn assert_silent(stream: &mut TcpStream) {
    let mut buffer = [0; 16];
    let read = time::timeout(SILENCE, stream.read(&mut buffer)).await;
    assert!(read.is_err(), "{read:?} came through a cut");
}

async fn assert_echo(stream: &mut TcpStream, text: &[u8]) {
    stream.write_all(text).await.unwrap();
    let mut buffer = vec![0; text.len()];
    within(stream.read_exact(&mut buffer)).await.unwrap();
    assert_eq!(buffer, text);
}

macro_rules! case {
    ($name:ident, |$setup:ident| $body:expr) => {
        #[tokio::test]
        async fn $name() {
            let $setup = Setup::open().await;
            $body
        }
    };
}

case!(streams_and_closes_pass, |setup| {
    let mut stream = setup.connect().await;
    assert_echo(&mut stream, b"hello").await;
    stream.shutdown().await.unwrap();
    assert_eq!(within(stream.read(&mut [0; 16])).await.unwrap(), 0);
});

case!(cut_to_the_server_drops_requests, |setup| {
    let mut stream = setup.connect().await;
    assert_echo(&mut stream, b"1").await;
    setup.relay.cut(TO_SERVER);
    stream.write_all(b"2").await.unwrap();
    assert_silent(&mut stream).await;
    assert_eq!(setup.count(), 1);
});

case!(cut_to_the_client_drops_answers_only, |setup| {
    let mut stream = setup.connect().await;
    setup.relay.cut(TO_CLIENT);
    stream.write_all(b"1").await.unwrap();
    setup.arrived(1).await;
    assert_silent(&mut stream).await;
});

case!(close_does_not_pass_a_cut, |setup| {
    let mut stream = setup.connect().await;
    assert_echo(&mut stream, b"1").await;
    setup.relay.cut(BOTH);
    stream.shutdown().await.unwrap();
    assert_silent(&mut stream).await;
});

case!(close_passes_the_direction_that_is_open, |setup| {
    let mut stream = setup.connect().await;
    setup.relay.cut(TO_CLIENT);
    stream.write_all(b"1").await.unwrap();
    stream.shutdown().await.unwrap();
    setup.closed(1).await;
    assert_silent(&mut stream).await;
});

case!(stream_that_lost_bytes_stays_silent_after_the_cut, |setup| {
    let mut stream = setup.connect().await;
    setup.relay.cut(TO_CLIENT);
    stream.write_all(b"1").await.unwrap();
    setup.arrived(1).await;
    assert_silent(&mut stream).await;
    setup.relay.cut(OPEN);
    stream.write_all(b"2").await.unwrap();
    setup.arrived(2).await;
    assert_silent(&mut stream).await;
    assert_echo(&mut setup.connect().await, b"3").await;
});

case!(stream_that_lost_nothing_goes_on_after_the_cut, |setup| {
    let mut stream = setup.connect().await;
    assert_echo(&mut stream, b"1").await;
    setup.relay.cut(BOTH);
    setup.relay.cut(OPEN);
    assert_echo(&mut stream, b"2").await;
});

case!(existing_connections_go_silent_while_new_ones_work, |setup| {
    let mut old = setup.connect().await;
    assert_echo(&mut old, b"1").await;
    setup.relay.cut(EXISTING);
    old.write_all(b"2").await.unwrap();
    assert_echo(&mut setup.connect().await, b"3").await;
    setup.relay.cut(OPEN);
    old.write_all(b"4").await.unwrap();
    assert_silent(&mut old).await;
});

case!(datagrams_pass_and_are_cut_one_way, |setup| {
    let socket = UdpSocket::bind(SocketAddr::from(LOCAL)).await.unwrap();
    socket.connect(setup.relay.addr()).await.unwrap();
    let mut buffer = [0; 16];
    socket.send(b"1").await.unwrap();
    assert_eq!(within(socket.recv(&mut buffer)).await.unwrap(), 1);
    setup.relay.cut(TO_CLIENT);
    socket.send(b"2").await.unwrap();
    setup.arrived(2).await;
    assert!(time::timeout(SILENCE, socket.recv(&mut buffer)).await.is_err());
    setup.relay.cut(TO_SERVER);
    socket.send(b"3").await.unwrap();
    assert!(time::timeout(SILENCE, socket.recv(&mut buffer)).await.is_err());
    assert_eq!(setup.count(), 2);
    setup.relay.cut(OPEN);
    socket.send(b"4").await.unwrap();
    within(socket.recv(&mut buffer)).await.unwrap();
    assert_eq!(buffer[0], b'4');
});
