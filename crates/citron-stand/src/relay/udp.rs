//! Relays UDP datagrams.

use std::{
    collections::{HashMap, hash_map::Entry},
    io,
    net::SocketAddr,
    sync::Arc,
};

use tokio::{
    net::UdpSocket,
    task::{JoinSet, yield_now},
};

use super::cut::{Direction, Flow, Switch};

/// The largest datagram.
const DATAGRAM_LIMIT_BYTES: usize = 64 * 1024;

/// The datagrams of one client, which the server sees from an address of their own.
struct Session {
    flow: Arc<Flow>,
    server: Arc<UdpSocket>,
}

/// Relays the datagrams of each client to `to` and the answers back.
pub(super) async fn serve(socket: UdpSocket, to: SocketAddr, switch: Arc<Switch>) {
    let socket = Arc::new(socket);
    let mut sessions = HashMap::new();
    let mut answers = JoinSet::new();
    let mut buffer = vec![0; DATAGRAM_LIMIT_BYTES];
    loop {
        let Ok((count, client)) = socket.recv_from(&mut buffer).await else {
            // An earlier answer met a closed port.
            yield_now().await;
            continue;
        };
        if let Entry::Vacant(entry) = sessions.entry(client) {
            let flow = switch.open();
            match open(&socket, client, to, flow, &mut answers).await {
                Ok(session) => {
                    entry.insert(session);
                }
                Err(error) => log::warn!("cannot relay datagrams of {client}: {error}"),
            }
        }
        if let Some(session) = sessions.get(&client)
            && !session.flow.is_cut(Direction::ToServer)
        {
            // A closed port shows as a lost datagram.
            let _ = session.server.send(&buffer[..count]).await;
        }
    }
}

async fn open(
    socket: &Arc<UdpSocket>,
    client: SocketAddr,
    to: SocketAddr,
    flow: Arc<Flow>,
    answers: &mut JoinSet<()>,
) -> io::Result<Session> {
    let server = Arc::new(UdpSocket::bind(SocketAddr::new(socket.local_addr()?.ip(), 0)).await?);
    server.connect(to).await?;
    answers.spawn(answer(server.clone(), socket.clone(), client, flow.clone()));
    Ok(Session { flow, server })
}

async fn answer(
    server: Arc<UdpSocket>,
    socket: Arc<UdpSocket>,
    client: SocketAddr,
    flow: Arc<Flow>,
) {
    let mut buffer = vec![0; DATAGRAM_LIMIT_BYTES];
    loop {
        let Ok(count) = server.recv(&mut buffer).await else {
            yield_now().await;
            continue;
        };
        if !flow.is_cut(Direction::ToClient) {
            let _ = socket.send_to(&buffer[..count], client).await;
        }
    }
}
