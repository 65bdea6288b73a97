//! What a caller receives of a response that may not end, read without keeping it.

use std::{io, net::SocketAddr};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// The most bytes of a response that are searched for its head.
const HEAD_LIMIT_BYTES: usize = 2048;
/// The end of a body in chunks.
const LAST_CHUNK: &[u8] = b"\r\n0\r\n\r\n";

/// What arrived before the connection ended.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum Received {
    /// No head.
    Nothing,
    /// This status with a whole body.
    Status(u16),
    /// This status with a body that is visibly cut.
    Cut(u16),
}

/// Sends a request, which must ask for the connection to be closed, and reads until it is.
///
/// # Errors
/// Fails if the request cannot be sent.
pub async fn call(addr: SocketAddr, request: &str) -> io::Result<Received> {
    let mut stream = TcpStream::connect(addr).await?;
    stream.write_all(request.as_bytes()).await?;
    let (mut first, mut last, mut total) = (Vec::new(), Vec::new(), 0);
    let mut part = vec![0; 64 * 1024];
    while let Ok(count @ 1..) = stream.read(&mut part).await {
        let room = HEAD_LIMIT_BYTES.saturating_sub(first.len());
        first.extend_from_slice(&part[..count.min(room)]);
        last.extend_from_slice(&part[..count]);
        last.drain(..last.len().saturating_sub(LAST_CHUNK.len()));
        total += count;
    }
    let text = String::from_utf8_lossy(&first).to_ascii_lowercase();
    Ok(received(&text, &last, total).unwrap_or(Received::Nothing))
}

/// Returns the largest resident memory of this process so far, in KiB.
///
/// # Errors
/// Fails if the OS does not report it.
pub fn memory_peak_kib() -> io::Result<u64> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let number = peak.and_then(|peak| peak.trim().trim_end_matches(" kB").parse().ok());
    number.ok_or_else(|| io::Error::other("no peak of the resident memory is reported"))
}

fn received(first: &str, last: &[u8], total: usize) -> Option<Received> {
    let (head, _) = first.split_once("\r\n\r\n")?;
    let status = head.strip_prefix("http/1.1 ")?.get(..3)?.parse().ok()?;
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let is_whole = match length {
        Some(length) => total == head.len() + 4 + length.parse::<usize>().ok()?,
        None => last == LAST_CHUNK,
    };
    Some(if is_whole { Received::Status(status) } else { Received::Cut(status) })
}
