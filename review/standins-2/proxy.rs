//! Proxy whose open connections can go silent for good, without a reset, while new ones work.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

/// A running proxy.
pub struct Proxy {
    pub address: SocketAddr,
    /// Connections with a lower number are silent.
    silent_below: Arc<AtomicU64>,
    opened: Arc<AtomicU64>,
}

impl Proxy {
    /// Starts a proxy to `target`.
    pub fn start(target: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
        let proxy = Proxy {
            address: listener.local_addr().expect("address"),
            silent_below: Arc::default(),
            opened: Arc::default(),
        };
        let (silent_below, opened) = (Arc::clone(&proxy.silent_below), Arc::clone(&proxy.opened));
        thread::spawn(move || {
            for near in listener.incoming().map_while(Result::ok) {
                let number = opened.fetch_add(1, Ordering::SeqCst);
                let Ok(far) = TcpStream::connect(target) else {
                    continue;
                };
                for (from, to) in [(&near, &far), (&far, &near)] {
                    let (from, to) = (
                        from.try_clone().expect("socket"),
                        to.try_clone().expect("socket"),
                    );
                    let silent_below = Arc::clone(&silent_below);
                    thread::spawn(move || pump(from, to, number, &silent_below));
                }
            }
        });
        proxy
    }

    /// Makes all connections that are open now silent for good. Returns their number.
    pub fn silence(&self) -> u64 {
        let opened = self.opened.load(Ordering::SeqCst);
        self.silent_below.store(opened, Ordering::SeqCst);
        opened
    }
}

/// Copies bytes until the connection ends or is silent. A silent one stays open, and nothing more is passed on.
fn pump(mut from: TcpStream, mut to: TcpStream, number: u64, silent_below: &AtomicU64) {
    let _ = from.set_nodelay(true);
    let _ = from.set_read_timeout(Some(Duration::from_millis(200)));
    let mut piece = [0; 16 * 1024];
    loop {
        let read = from.read(&mut piece);
        if number < silent_below.load(Ordering::SeqCst) {
            // Neither bytes nor the end of the connection pass any more.
            thread::sleep(Duration::from_secs(3600));
        }
        match read {
            Ok(n) if n > 0 => {
                if to.write_all(&piece[..n]).is_err() {
                    return;
                }
            }
            Err(e)
                if matches!(
                    e.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                ) => {}
            _ => {
                let _ = to.shutdown(std::net::Shutdown::Write);
                return;
            }
        }
    }
}
