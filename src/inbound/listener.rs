//! The thread that owns the connections of a listener.

use std::{
    io,
    net::SocketAddr,
    rc::Rc,
    sync::{
        Arc,
        atomic::{
            AtomicUsize,
            Ordering, //
        }, //
    },
    thread::JoinHandle,
    time::{
        Duration,
        Instant, //
    },
};

use bytes::Bytes;
use cuminloom_edge::{
    accept::{
        self,
        Handler,
        Rejection, //
        Shutdown,
    },
    catalog::Limits,
    http::{
        RequestHead,
        write_all, //
    },
};
use tokio::{
    net::TcpStream,
    sync::{
        OwnedSemaphorePermit,
        Semaphore, //
    },
    task::LocalSet, //
};

use super::request::{
    PARTS,
    Part,
    Reply,
    Request, //
};
use crate::model::{
    Code,
    RequestError, //
};

/// Longest wait for requests in progress when a listener stops.
const STOP_WAIT: Duration = Duration::from_secs(5);

/// Wait between two looks at the requests in progress.
const STOP_POLL: Duration = Duration::from_millis(10);

/// What is behind a listener.
pub(crate) trait HttpService: Send + Sync + 'static {
    /// Name of the listener's thread.
    const NAME: &'static str;
    /// Requests that are handled at the same time.
    const MAX_OPEN: usize;
    /// Stack of a thread that handles a request, in bytes.
    const STACK_BYTES: usize;

    /// Limits on callers.
    fn limits(&self) -> Limits;

    /// Checks a head before its body is read.
    ///
    /// # Errors
    ///
    /// Fails with the answer after which the connection closes.
    fn check_head(&self, head: &RequestHead) -> Result<(), Reply>;

    /// The answer to a request that is rejected before it is handled.
    fn reject(&self, rejection: Rejection) -> Reply;

    /// Handles a request on a thread of its own.
    fn serve(&self, request: Request);

    /// Notes that a request is in progress.
    fn request_opened(&self) {}

    /// Notes that a request is over, for its caller and for its thread.
    fn request_closed(&self) {}
}

/// The fault that a rejection tells the caller.
pub(crate) fn rejection_error(rejection: Rejection) -> RequestError {
    let detail = format!("the request was rejected: {}", rejection.code);
    match rejection.status {
        // The thread may have failed after it sent the request.
        500 => RequestError::may_have_run(Code::Internal, detail),
        413 => RequestError::not_run(Code::TooLarge, detail),
        503 => RequestError::not_run(Code::Stopping, detail),
        _ => RequestError::not_run(Code::BadRequest, detail),
    }
}

/// A running listener; it stops when it is dropped.
#[derive(Debug)]
pub(crate) struct Listener {
    addr: SocketAddr,
    stop: Option<flume::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Listener {
    /// Listens on `addr`.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    pub(crate) fn bind<S: HttpService>(service: Arc<S>, addr: SocketAddr) -> io::Result<Self> {
        let (stop, stopped) = flume::bounded(0);
        let (tell, told) = flume::bounded(1);
        let thread = std::thread::Builder::new()
            .name(S::NAME.into())
            .spawn(move || run(service, addr, &tell, &stopped))?;
        let bound = told.recv();
        let addr = bound.unwrap_or_else(|_| Err(io::ErrorKind::BrokenPipe.into()))?;
        Ok(Self {
            addr,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Address that is listened on; its port is the chosen one when the settings name port 0.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }
}

impl Drop for Listener {
    /// Waits for the requests in progress.
    fn drop(&mut self) {
        drop(self.stop.take());
        // A thread that panicked has reported it.
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

fn run<S: HttpService>(
    service: Arc<S>,
    addr: SocketAddr,
    tell: &flume::Sender<io::Result<SocketAddr>>,
    stopped: &flume::Receiver<()>,
) {
    let built = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match built {
        Ok(runtime) => runtime,
        Err(err) => return drop(tell.send(Err(err))),
    };
    LocalSet::new().block_on(&runtime, async {
        let host = Rc::new(Host::new(service));
        let listener = match accept::bind(&host, addr) {
            Ok(listener) => listener,
            Err(err) => return drop(tell.send(Err(err))),
        };
        let _ = tell.send(Ok(listener.address));
        let _ = stopped.recv_async().await;
        listener.close();
        host.closing.begin();
        let start = Instant::now();
        while host.open.load(Ordering::Acquire) > 0 && start.elapsed() < STOP_WAIT {
            tokio::time::sleep(STOP_POLL).await;
        }
    });
}

/// The service as the handler of the connections.
struct Host<S> {
    service: Arc<S>,
    closing: Shutdown,
    open: Arc<AtomicUsize>,
    permits: Arc<Semaphore>,
}

/// Counts a request as open until both its caller and its thread are done with it, also when the
/// thread panics.
struct Open<S: HttpService> {
    service: Arc<S>,
    count: Arc<AtomicUsize>,
}

impl<S: HttpService> Drop for Open<S> {
    fn drop(&mut self) {
        self.service.request_closed();
        self.count.fetch_sub(1, Ordering::Release);
    }
}

impl<S: HttpService> Host<S> {
    fn new(service: Arc<S>) -> Self {
        Self {
            service,
            closing: Shutdown::default(),
            open: Arc::default(),
            permits: Arc::new(Semaphore::new(S::MAX_OPEN)),
        }
    }

    fn enter(&self) -> Arc<Open<S>> {
        self.service.request_opened();
        self.open.fetch_add(1, Ordering::Relaxed);
        Arc::new(Open {
            service: Arc::clone(&self.service),
            count: Arc::clone(&self.open),
        })
    }

    fn spawn(&self, request: Request, open: Arc<Open<S>>, permit: OwnedSemaphorePermit) {
        let service = Arc::clone(&self.service);
        let spawned = std::thread::Builder::new()
            .name("request".into())
            .stack_size(S::STACK_BYTES)
            .spawn(move || {
                let _held = (open, permit);
                service.serve(request);
            });
        if let Err(err) = spawned {
            // The request was dropped with the closure, which answers it.
            log::warn!("no thread for a request: {err}");
        }
    }
}

/// Joins the parts that are ready, so that events without a pause between them share a write. Returns
/// whether the answer is complete.
fn gather(first: Part, parts: &flume::Receiver<Part>) -> (Vec<u8>, bool) {
    let mut bytes = match first {
        Part::More(bytes) => bytes,
        Part::Last(bytes) => return (bytes, true),
    };
    while let Ok(part) = parts.try_recv() {
        match part {
            Part::More(more) => bytes.extend_from_slice(&more),
            Part::Last(more) => {
                bytes.extend_from_slice(&more);
                return (bytes, true);
            }
        }
    }
    (bytes, false)
}

impl<S: HttpService> Handler for Host<S> {
    fn limits(&self) -> Limits {
        self.service.limits()
    }

    fn shutdown(&self) -> &Shutdown {
        &self.closing
    }

    fn check_head(&self, head: &RequestHead) -> Result<(), Vec<u8>> {
        let head_only = head.method == "HEAD";
        let checked = self.service.check_head(head);
        checked.map_err(|reply| reply.bytes(false, head_only))
    }

    fn reject(&self, rejection: Rejection) -> Vec<u8> {
        self.service.reject(rejection).bytes(false, false)
    }

    async fn handle(self: &Rc<Self>, head: RequestHead, body: Bytes, out: &TcpStream) -> bool {
        let open = self.enter();
        let keep = head.keep_alive();
        let Ok(permit) = Arc::clone(&self.permits).acquire_owned().await else {
            return false;
        };
        let (send, parts) = flume::bounded(PARTS);
        // Dropped with this future, when the caller leaves.
        let (_here, left) = flume::bounded(0);
        let request = Request::new(head, body, send, left);
        self.spawn(request, Arc::clone(&open), permit);
        let mut started = false;
        while let Ok(part) = parts.recv_async().await {
            started = true;
            let (bytes, done) = gather(part, &parts);
            if write_all(out, &bytes).await.is_err() {
                return false;
            }
            if done {
                return keep;
            }
        }
        if !started {
            // The thread ended without an answer.
            let rejection = Rejection::new(500, "no_answer");
            let _ = write_all(out, &self.reject(rejection)).await;
        }
        false
    }
}
