//! Access to the TCP sockets of this process, which Rocket does not expose.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    os::fd::{BorrowedFd, OwnedFd, RawFd},
};

use parking_lot::Mutex;
use rustix::{
    fs::{Dir, Mode, OFlags},
    io::Errno,
    net::{Shutdown, getpeername, getsockname, sockopt},
};
use tokio::{io::Interest, net::TcpStream};

/// The directory that lists the open file descriptors of this process.
const FD_DIRECTORY: &str = "/proc/self/fd";

/// The kernel's tables of TCP connections.
const CONNECTION_TABLES: [&str; 2] = ["/proc/self/net/tcp", "/proc/self/net/tcp6"];

/// The connection of one caller: a duplicate descriptor of the socket that the HTTP server uses.
#[derive(Debug)]
pub struct Connection {
    fd: OwnedFd,
}

/// Finds callers' connections, and caches the file descriptors that it has seen.
///
/// One scan of the open descriptors covers all connections that are open at that time. A cached
/// descriptor is checked before it is used, as it may have been closed and reused since.
#[derive(Debug)]
pub struct ConnectionFinder {
    local: SocketAddr,
    fd_cache: Mutex<HashMap<SocketAddr, RawFd>>,
}

impl ConnectionFinder {
    /// Creates a finder for connections to the listening address `local`.
    pub fn new(local: SocketAddr) -> Self {
        Self { local, fd_cache: Mutex::default() }
    }

    /// Finds the connection from `peer`, or returns `None` if the HTTP server has closed it.
    ///
    /// # Errors
    /// Fails if the open descriptors of this process cannot be listed or duplicated.
    pub fn find(&self, peer: SocketAddr) -> io::Result<Option<Connection>> {
        let cached_fd = self.fd_cache.lock().get(&peer).copied();
        if let Some(Ok(fd)) = cached_fd.map(duplicate)
            && self.peer_of(&fd) == Some(peer)
        {
            return Ok(Some(Connection { fd }));
        }
        let mut connection = None;
        let mut seen = HashMap::new();
        scan(|raw, fd| {
            if let Some(other) = self.peer_of(&fd) {
                seen.insert(other, raw);
                if other == peer {
                    connection = Some(Connection { fd });
                }
            }
            true
        })?;
        *self.fd_cache.lock() = seen;
        Ok(connection)
    }

    /// Returns the peer if `fd` is a connection to the listening address.
    fn peer_of(&self, fd: &OwnedFd) -> Option<SocketAddr> {
        let is_accepted = local_addr(fd).is_some_and(|addr| addr.port() == self.local.port());
        if is_accepted { getpeername(fd).ok()??.try_into().ok() } else { None }
    }
}

impl Connection {
    /// Shuts the connection down in both directions, so that an unfinished response cannot end
    /// cleanly.
    pub fn shut_down(&self) {
        if let Err(error) = rustix::net::shutdown(&self.fd, Shutdown::Both) {
            log::debug!("cannot shut down a caller's connection: {error}");
        }
    }

    /// Waits until the caller has closed the connection.
    pub async fn closed(self) -> io::Result<()> {
        let stream = TcpStream::from_std(self.fd.into())?;
        loop {
            if stream.ready(Interest::READABLE).await?.is_read_closed() {
                return Ok(());
            }
            // Nothing is read here; the error only clears the readiness, so that the loop waits for
            // the next change of the socket.
            let _ = stream
                .try_io(Interest::READABLE, || Err::<(), _>(io::ErrorKind::WouldBlock.into()));
        }
    }
}

/// Stops accepting connections on the listening address `local`.
pub fn stop_listening(local: SocketAddr) {
    let mut listener = None;
    let scan_result = scan(|_, fd| {
        let matches =
            sockopt::socket_acceptconn(&fd).unwrap_or(false) && local_addr(&fd) == Some(local);
        if matches {
            listener = Some(fd);
        }
        !matches
    });
    match scan_result.map(|()| listener) {
        Ok(Some(fd)) => {
            if let Err(error) = rustix::net::shutdown(&fd, Shutdown::Both) {
                log::warn!("cannot stop listening on {local}: {error}");
            }
        }
        Ok(None) => log::warn!("cannot find the socket that listens on {local}"),
        Err(error) => log::warn!("cannot search for the socket that listens on {local}: {error}"),
    }
}

/// Returns how many bytes on connections to the listening address `local` the callers have not yet
/// acknowledged.
pub fn unacknowledged_bytes(local: SocketAddr) -> u64 {
    CONNECTION_TABLES
        .iter()
        .filter_map(|table| std::fs::read_to_string(table).ok())
        .map(|table| {
            table.lines().filter_map(|line| parse_unacknowledged(line, local.port())).sum::<u64>()
        })
        .sum()
}

/// Parses the send queue's length from one line of the kernel's connection table, if the local port
/// is `port`.
fn parse_unacknowledged(line: &str, port: u16) -> Option<u64> {
    let mut fields = line.split_ascii_whitespace().skip(1);
    let (_, local_port) = fields.next()?.rsplit_once(':')?;
    if u16::from_str_radix(local_port, 16).ok()? != port {
        return None;
    }
    let (unacknowledged, _) = fields.nth(2)?.split_once(':')?;
    u64::from_str_radix(unacknowledged, 16).ok()
}

fn local_addr(fd: &OwnedFd) -> Option<SocketAddr> {
    getsockname(fd).ok()?.try_into().ok()
}

/// Calls `visit` with each open descriptor and a duplicate of it, until it returns false.
fn scan(mut visit: impl FnMut(RawFd, OwnedFd) -> bool) -> io::Result<()> {
    let flags = OFlags::RDONLY | OFlags::DIRECTORY | OFlags::CLOEXEC;
    let directory = rustix::fs::open(FD_DIRECTORY, flags, Mode::empty())?;
    for entry in Dir::read_from(&directory)? {
        let entry = entry?;
        let Some(raw) = entry.file_name().to_str().ok().and_then(|name| name.parse().ok()) else {
            continue;
        };
        match duplicate(raw) {
            Ok(fd) => {
                if !visit(raw, fd) {
                    return Ok(());
                }
            }
            // Another thread has closed it since the directory was read.
            Err(Errno::BADF) => {}
            Err(error) => return Err(error.into()),
        }
    }
    Ok(())
}

#[allow(unsafe_code)]
fn duplicate(raw: RawFd) -> Result<OwnedFd, Errno> {
    if raw < 0 {
        return Err(Errno::BADF);
    }
    // SAFETY: the descriptor was open when the directory was read. If another thread has closed it
    // since, the duplication fails; if it has been reused, the duplicate refers to the new file,
    // whose addresses the caller compares. The borrow ends before this function returns.
    let borrowed = unsafe { BorrowedFd::borrow_raw(raw) };
    rustix::io::fcntl_dupfd_cloexec(borrowed, 0)
}
