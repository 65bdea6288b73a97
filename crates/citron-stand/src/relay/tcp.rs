//! Relays TCP connections.

use std::{future, io, net::SocketAddr, sync::Arc};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    task::JoinSet,
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

async fn relay(client: TcpStream, to: SocketAddr, flow: Arc<Flow>) {
    let server = match TcpStream::connect(to).await {
        Ok(server) => server,
        Err(error) => return log::warn!("cannot connect to {to}: {error}"),
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    // Ends at the first failure, which closes both connections.
    let _ = tokio::try_join!(
        pass(from_client, to_server, Direction::ToServer, &flow),
        pass(from_server, to_client, Direction::ToClient, &flow),
    );
}

/// Passes one direction on until it ends; a close does not pass a cut of its direction.
async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
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
    from: &mut OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    direction: Direction,
    flow: &Flow,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = from.read(&mut buffer).await?;
        if count == 0 {
            return Ok(());
        }
        if !flow.drops_stream(direction) {
            to.write_all(&buffer[..count]).await?;
        }
    }
}
