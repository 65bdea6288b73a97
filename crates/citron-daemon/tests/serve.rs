//! Starting and stopping the HTTP server.

use std::{future, net::SocketAddr};

use citron_daemon::{bind, config};
use rocket::{get, routes};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time,
};

#[get("/never")]
async fn never() {
    future::pending::<()>().await;
}

#[get("/now")]
fn now() -> &'static str {
    "now"
}

async fn serve() -> citron_daemon::Server {
    let addr: SocketAddr = "127.0.0.1:0".parse().unwrap();
    bind(rocket::custom(config(addr)).mount("/", routes![never, now]), addr).await.unwrap()
}

async fn send(addr: SocketAddr, path: &str) -> TcpStream {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    stream.write_all(format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n").as_bytes()).await.unwrap();
    stream
}

macro_rules! case {
    ($name:ident, |$server:ident| $body:expr) => {
        #[tokio::test]
        async fn $name() {
            let $server = serve().await;
            $body
        }
    };
}

case!(responses_carry_no_added_headers, |server| {
    let mut stream = send(server.addr(), "/now").await;
    let mut response = [0; 1024];
    let length = stream.read(&mut response).await.unwrap();
    let text = String::from_utf8_lossy(&response[..length]).to_lowercase();
    assert!(text.ends_with("now"), "{text}");
    assert!(!text.contains("server:") && !text.contains("x-frame-options"), "{text}");
});

case!(stop_succeeds_while_a_request_is_pending, |server| {
    let _stream = send(server.addr(), "/never").await;
    // Once a later request has a response, the server has read the pending one.
    let mut other = send(server.addr(), "/now").await;
    other.read_u8().await.unwrap();
    time::pause();
    server.stop().await;
});

case!(an_address_in_use_is_an_error, |server| {
    let addr = server.addr();
    let error = bind(rocket::custom(config(addr)), addr).await.unwrap_err();
    assert!(error.to_string().contains(&addr.to_string()), "{error}");
});
