//! Finds the TCP sockets of this process that Rocket does not hand out.

use std::{
    io,
    net::SocketAddr,
    os::fd::{BorrowedFd, OwnedFd, RawFd},
};

use rustix::{
    fs::{Dir, Mode, OFlags},
    net::{Shutdown, getpeername, getsockname, sockopt},
};
use tokio::{io::Interest, net::TcpStream};

/// The folder that names the open files of this process.
const FD_FOLDER: &str = "/proc/self/fd";

/// The kernel's tables of TCP connections.
const CONNECTION_TABLES: [&str; 2] = ["/proc/self/net/tcp", "/proc/self/net/tcp6"];

/// The connection of one caller, sharing the socket that the HTTP server uses.
#[derive(Debug)]
pub struct Connection {
    fd: OwnedFd,
}

impl Connection {
    /// Finds the connection from `peer` to the listening address `local`.
    pub fn find(local: SocketAddr, peer: SocketAddr) -> Option<Self> {
        find(|fd| {
            let has_peer =
                getpeername(fd).ok().flatten().and_then(|addr| addr.try_into().ok()) == Some(peer);
            has_peer && local_addr(fd).is_some_and(|addr| addr.port() == local.port())
        })
        .map(|fd| Self { fd })
    }

    /// Ends the connection in both directions, so that an unfinished answer cannot end cleanly.
    pub fn cut(&self) {
        if let Err(error) = rustix::net::shutdown(&self.fd, Shutdown::Both) {
            log::debug!("cannot cut a caller's connection: {error}");
        }
    }

    /// Waits until the caller has closed the connection.
    pub async fn closed(self) -> io::Result<()> {
        let stream = TcpStream::from_std(self.fd.into())?;
        loop {
            if stream.ready(Interest::READABLE).await?.is_read_closed() {
                return Ok(());
            }
            // Nothing is read here; this only waits for the next change of the socket.
            let _ = stream
                .try_io(Interest::READABLE, || Err::<(), _>(io::ErrorKind::WouldBlock.into()));
        }
    }
}

/// Stops accepting connections on the listening address `local`.
pub fn stop_listening(local: SocketAddr) {
    let listener =
        find(|fd| sockopt::socket_acceptconn(fd).unwrap_or(false) && local_addr(fd) == Some(local));
    match listener {
        Some(fd) => {
            if let Err(error) = rustix::net::shutdown(&fd, Shutdown::Both) {
                log::warn!("cannot stop listening on {local}: {error}");
            }
        }
        None => log::warn!("cannot find the socket that listens on {local}"),
    }
}

/// Returns how many bytes the connections to the listening address `local` have not yet got
/// acknowledged by their callers.
pub fn unsent_bytes(local: SocketAddr) -> u64 {
    CONNECTION_TABLES
        .iter()
        .filter_map(|table| std::fs::read_to_string(table).ok())
        .map(|table| table.lines().filter_map(|line| unsent_of(line, local.port())).sum::<u64>())
        .sum()
}

/// Reads the send queue from one line of the kernel's connection table, if its port is `port`.
fn unsent_of(line: &str, port: u16) -> Option<u64> {
    let mut fields = line.split_ascii_whitespace().skip(1);
    let (_, local_port) = fields.next()?.rsplit_once(':')?;
    if u16::from_str_radix(local_port, 16).ok()? != port {
        return None;
    }
    let (unsent, _) = fields.nth(2)?.split_once(':')?;
    u64::from_str_radix(unsent, 16).ok()
}

fn local_addr(fd: &OwnedFd) -> Option<SocketAddr> {
    getsockname(fd).ok()?.try_into().ok()
}

/// Returns a duplicate of the first open file that `matches`.
fn find(matches: impl Fn(&OwnedFd) -> bool) -> Option<OwnedFd> {
    let flags = OFlags::RDONLY | OFlags::DIRECTORY | OFlags::CLOEXEC;
    let folder = rustix::fs::open(FD_FOLDER, flags, Mode::empty()).ok()?;
    let entries = Dir::read_from(&folder).ok()?;
    entries
        .filter_map(|entry| entry.ok()?.file_name().to_str().ok()?.parse().ok())
        .filter_map(duplicate)
        .find(|fd| matches(fd))
}

#[allow(unsafe_code)]
fn duplicate(raw: RawFd) -> Option<OwnedFd> {
    if raw < 0 {
        return None;
    }
    // SAFETY: the descriptor was open when the folder was read. If another thread has closed it
    // since, the duplication fails; if it has been reused, the duplicate refers to the new file,
    // whose addresses the caller compares. The borrow ends before this function returns.
    let borrowed = unsafe { BorrowedFd::borrow_raw(raw) };
    rustix::io::fcntl_dupfd_cloexec(borrowed, 0).ok()
}
