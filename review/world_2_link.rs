//! Channels as over an ordinary link: small windows, and segments of 1,460 bytes.

use std::{
    io,
    net::{SocketAddr, TcpStream},
    os::fd::FromRawFd,
};

/// The receive buffer of a slow reader, in bytes.
const RECEIVE_BUFFER_BYTES: i32 = 16_384;
/// The segment size of an ordinary link, in bytes.
const SEGMENT_BYTES: i32 = 1_460;

/// Connects with a small window and the segment size of an ordinary link; the loopback's is 64 KiB,
/// with which the kernel would hold what a process on a real link has to hold.
pub fn connect(front: SocketAddr) -> io::Result<TcpStream> {
    #[repr(C)]
    struct Address {
        family: u16,
        port: [u8; 2],
        ip: [u8; 4],
        zero: [u8; 8],
    }
    unsafe extern "C" {
        fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
        fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
        fn connect(fd: i32, address: *const Address, length: u32) -> i32;
    }
    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    let SocketAddr::V4(front) = front else { return Err(io::ErrorKind::Unsupported.into()) };
    let address = Address {
        family: AF_INET as u16,
        port: front.port().to_be_bytes(),
        ip: front.ip().octets(),
        zero: [0; 8],
    };
    // SAFETY: the arguments are valid for the calls, and the descriptor has no other owner.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &RECEIVE_BUFFER_BYTES, 4);
        setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &SEGMENT_BYTES, 4);
        if connect(fd, &address, size_of::<Address>() as u32) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}
