//! Relays TCP connections.

use std::{future, io, net::SocketAddr, sync::Arc, time::Duration};

use socket2::SockRef;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{ReadHalf, WriteHalf},
    },
    task::JoinSet,
    time,
};

use super::cut::{Direction, Flow, Switch};

const BUFFER_BYTES: usize = 16 * 1024;

/// Accepts connections and relays each to `to`.
pub(super) async fn serve(listener: TcpListener, to: SocketAddr, switch: Arc<Switch>) {
    // Dropping the set ends the connections with the relay.
    let mut open = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((client, _)) => {
                    open.spawn(relay(client, to, switch.open()));
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

async fn relay(mut client: TcpStream, to: SocketAddr, flow: Arc<Flow>) {
    let mut server = match TcpStream::connect(to).await {
        Ok(server) => server,
        Err(error) => return log::warn!("cannot connect to {to}: {error}"),
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let is_reset = {
        let (from_client, to_client) = client.split();
        let (from_server, to_server) = server.split();
        // Ends at the first failure, which closes both connections.
        let both = async {
            tokio::try_join!(
                pass(from_client, to_server, Direction::ToServer, &flow),
                pass(from_server, to_client, Direction::ToClient, &flow),
            )
        };
        tokio::select! {
            _ = both => false,
            () = flow.reset() => true,
        }
    };
    if is_reset {
        for stream in [&client, &server] {
            if let Err(error) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
                log::warn!("a connection to {to} is closed instead of reset: {error}");
            }
        }
    }
}

/// Passes one direction on until it ends; a close does not pass a cut of its direction.
async fn pass(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    direction: Direction,
    flow: &Flow,
) -> io::Result<()> {
    let ended = pass_bytes(&mut from, &mut to, direction, flow).await;
    if flow.is_cut(direction) {
        // Keeps both halves open.
        return future::pending().await;
    }
    ended?;
    to.shutdown().await
}

async fn pass_bytes(
    from: &mut ReadHalf<'_>,
    to: &mut WriteHalf<'_>,
    direction: Direction,
    flow: &Flow,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = from.read(&mut buffer).await?;
        if count == 0 {
            return Ok(());
        }
        time::sleep_until(flow.hold_until(count)).await;
        if !flow.drops_stream(direction) {
            to.write_all(&buffer[..count]).await?;
        }
    }
}
