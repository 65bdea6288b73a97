//! A server that answers every HTTP request with the same body, for bodies that no JSON library
//! writes.

use std::net::{Ipv4Addr, SocketAddr};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    task::JoinSet,
};

/// A running server; dropping it closes its socket.
#[derive(Debug)]
pub struct Canned {
    addr: SocketAddr,
    _accepting: JoinSet<()>,
}

/// Starts a server that answers with `body` on a free port.
///
/// # Errors
/// Fails if no port is free.
pub async fn bind(body: Vec<u8>) -> std::io::Result<Canned> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let addr = listener.local_addr()?;
    let mut accepting = JoinSet::new();
    accepting.spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 4096];
            // A request without a body arrives in one part here.
            let _ = stream.read(&mut request).await;
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
                body.len()
            );
            let _ = stream.write_all(head.as_bytes()).await;
            let _ = stream.write_all(&body).await;
        }
    });
    Ok(Canned { addr, _accepting: accepting })
}

impl Canned {
    /// Returns the address that it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

/// Odd JSON values that another writer may leave, by name.
pub fn odd_values() -> Vec<(&'static str, Vec<u8>)> {
    let nested = format!("{}1{}", "[".repeat(5000), "]".repeat(5000));
    vec![
        ("deeply nested", nested.into_bytes()),
        ("a number that is too large", b"1e999".to_vec()),
        ("a long integer", "9".repeat(400).into_bytes()),
        ("half of a surrogate pair", br#""\ud800""#.to_vec()),
        ("bytes that are no UTF-8", b"\"\xff\xfe\"".to_vec()),
        ("nothing", b"null".to_vec()),
    ]
}
