//! Stand-in of a client that reads at a pace of its own.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::FromRawFd;
use std::time::{Duration, Instant};

use crate::http::{head_end, parse_head};

/// Receive buffer of a client on a slow link, in bytes.
const RECEIVE_BUFFER: i32 = 16 * 1024;

/// Largest segment of a client on an ordinary network, in bytes. Loopback connections would else use 64 KiB.
const SEGMENT: i32 = 1400;

#[repr(C)]
struct SockAddr {
    family: u16,
    port: u16,
    address: u32,
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(fd: i32, address: *const SockAddr, length: u32) -> i32;
}

/// Opens a connection with the buffer and segments of a client on an ordinary network.
pub fn connect_small(address: SocketAddr) -> std::io::Result<TcpStream> {
    let SocketAddr::V4(v4) = address else {
        return Err(std::io::ErrorKind::Unsupported.into());
    };
    let to = SockAddr {
        family: 2,
        port: v4.port().to_be(),
        address: u32::from_ne_bytes(v4.ip().octets()),
        zero: [0; 8],
    };
    // SAFETY: the pointers are to values that live during the calls, and the descriptor is owned by the stream.
    unsafe {
        let fd = socket(2, 1, 0);
        if fd < 0 {
            return Err(std::io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        // SO_RCVBUF and TCP_MAXSEG.
        setsockopt(fd, 1, 8, &RECEIVE_BUFFER, 4);
        setsockopt(fd, 6, 2, &SEGMENT, 4);
        if connect(fd, &to, 16) != 0 {
            return Err(std::io::Error::last_os_error());
        }
        Ok(stream)
    }
}

/// How a client reads.
#[derive(Clone, Copy, Debug)]
pub enum Pace {
    /// As fast as bytes come.
    Fast,
    /// Nothing for this time, then as fast as bytes come.
    Pause(Duration),
}

/// What a client has got.
#[derive(Debug, Default)]
pub struct Got {
    pub status: u16,
    pub fields: Vec<(String, String)>,
    /// Bytes after the head, at most as many as the head announces.
    pub body: Vec<u8>,
    /// Announced length of the body.
    pub length: usize,
    /// Bytes after the body.
    pub rest: Vec<u8>,
    /// Whether the daemon has closed or reset the connection.
    pub closed: bool,
    pub time: Duration,
}

impl Got {
    /// Whether the answer is complete by its length.
    pub fn is_whole(&self) -> bool {
        self.status != 0 && self.body.len() == self.length
    }

    pub fn field(&self, name: &str) -> Option<&str> {
        let mut found = self.fields.iter().filter(|(n, _)| n == name);
        found.next().map(|(_, v)| v.as_str())
    }
}

/// Sends `request` and reads the answer until it is complete, the connection ends or `limit` has passed.
pub fn exchange(stream: &mut TcpStream, request: &str, pace: Pace, limit: Duration) -> Got {
    let begun = Instant::now();
    let mut got = Got::default();
    if stream.write_all(request.as_bytes()).is_err() {
        got.closed = true;
        return got;
    }
    if let Pace::Pause(time) = pace {
        std::thread::sleep(time);
    }
    let _ = stream.set_read_timeout(Some(Duration::from_millis(10)));
    let (mut bytes, mut piece) = (Vec::new(), vec![0; 64 * 1024]);
    while begun.elapsed() < limit {
        match stream.read(&mut piece) {
            Ok(0) => {
                got.closed = true;
                break;
            }
            Ok(n) => bytes.extend_from_slice(&piece[..n]),
            Err(e)
                if matches!(
                    e.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                ) => {}
            Err(_) => {
                got.closed = true;
                break;
            }
        }
        if is_complete(&bytes) {
            break;
        }
    }
    got.time = begun.elapsed();
    // Bytes that follow without a request.
    if is_complete(&bytes) {
        while let Ok(n) = stream.read(&mut piece) {
            if n == 0 {
                break;
            }
            bytes.extend_from_slice(&piece[..n]);
        }
    }
    let Some(end) = head_end(&bytes) else {
        return got;
    };
    let (first, fields) = parse_head(&String::from_utf8_lossy(&bytes[..end - 4]));
    got.status = first
        .split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(0);
    got.fields = fields;
    got.length = got
        .field("content-length")
        .and_then(|v| v.parse().ok())
        .unwrap_or(0);
    let whole = (end + got.length).min(bytes.len());
    got.body = bytes[end..whole].to_vec();
    got.rest = bytes[whole..].to_vec();
    got
}

/// Whether the answer in `bytes` is complete by its length.
fn is_complete(bytes: &[u8]) -> bool {
    let Some(end) = head_end(bytes) else {
        return false;
    };
    let (_, fields) = parse_head(&String::from_utf8_lossy(&bytes[..end - 4]));
    let length = fields.iter().find(|(n, _)| n == "content-length");
    let length: usize = length.and_then(|(_, v)| v.parse().ok()).unwrap_or(0);
    bytes.len() >= end + length
}
