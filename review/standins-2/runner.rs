//! Stand-in of a runner: it registers itself, and a function of the case answers its requests.

use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::fleet::Record;
use crate::http::{Request, read_request};
use crate::store::Store;

/// Answers a request on its connection; returns whether the connection can go on.
pub type Answer = dyn Fn(&Request, &mut TcpStream) -> bool + Send + Sync;

/// A running runner.
pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    /// Whether the process has ended: nothing listens, and what was in progress is cut off.
    pub ended: Arc<AtomicBool>,
    /// Open connections.
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Runner {
    /// Starts a runner and writes its entry to the store.
    pub fn start(
        store: &Store,
        id: &str,
        service: &str,
        zone: &str,
        slots: u32,
        record: &Record,
        answer: Arc<Answer>,
    ) -> Runner {
        let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
        let address = listener.local_addr().expect("address");
        let (own, record) = (id.to_owned(), record.clone());
        let ended: Arc<AtomicBool> = Arc::default();
        let stop = Arc::clone(&ended);
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let open = Arc::clone(&streams);
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                open.lock().expect("lock").extend(stream.try_clone());
                let (own, record, answer) = (own.clone(), record.clone(), Arc::clone(&answer));
                thread::spawn(move || serve(&own, &record, &*answer, stream));
            }
        });
        let runner = Runner {
            id: id.to_owned(),
            address,
            ended,
            streams,
        };
        store.put("servers", id, &runner.entry(service, zone, slots, "ready"));
        runner
    }

    /// Ends the process: answers that are in progress must look at `ended` and send nothing.
    #[allow(dead_code)]
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        // Wakes the listener, which then closes.
        drop(TcpStream::connect(self.address));
        for stream in self.streams.lock().expect("lock").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Entry of the runner in the store.
    pub fn entry(&self, service: &str, zone: &str, slots: u32, state: &str) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{slots},\
             \"state\":\"{state}\",\"coldLeftMs\":0,\"sequence\":1,\"born\":1700000000000}}",
            self.address
        )
    }
}

fn serve(id: &str, record: &Record, answer: &Answer, mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut buf = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut buf) {
        let attempt = request.field("x-cuminloom-attempt-id").unwrap_or("-");
        let expected = request.field("x-cuminloom-expect-instance");
        if expected.is_some_and(|e| e != id) {
            use std::io::Write;
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Cuminloom-Attempt-Id: {attempt}\r\n\
                 X-Cuminloom-Runner-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            );
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        record.add(format!(
            "runner {id} gets {} {} {attempt}",
            request.method,
            request.path()
        ));
        if !answer(&request, &mut stream) {
            return;
        }
    }
}

/// Head of a sealed answer, up to the fields of its framing.
pub fn sealed_head(request: &Request, status: &str) -> String {
    let id = request.field("x-cuminloom-attempt-id").unwrap_or("-");
    format!(
        "HTTP/1.1 {status}\r\nX-Cuminloom-Attempt-Id: {id}\r\nX-Cuminloom-Response-Seal: seal.{id}\r\n\
         X-Cuminloom-Runner-Load: 1,0,6\r\n"
    )
}
