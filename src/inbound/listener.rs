//! Listener whose thread owns its connections.

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
        Rejection,
        Shutdown, //
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
    MAX_QUEUED_PARTS,
    Reply,
    Request,
    ResponsePart, //
};
use crate::model::{
    Code,
    RequestError, //
};

/// Longest time for which a stopping listener waits for the requests in progress.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval at which a stopping listener checks for requests in progress.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Handles the requests of a listener.
pub(crate) trait HttpService: Send + Sync + 'static {
    /// Name of the listener's thread.
    const NAME: &'static str;
    /// Most requests that are handled concurrently; further ones wait.
    const MAX_OPEN: usize;
    /// Stack size of a thread that handles a request.
    const STACK_BYTES: usize;

    /// Limits on callers.
    fn limits(&self) -> Limits;

    /// Checks the head of a request before its body is read.
    ///
    /// # Errors
    ///
    /// Fails with the response to send before the connection is closed.
    fn check_head(&self, head: &RequestHead) -> Result<(), Reply>;

    /// Response to a request that is rejected before it is handled.
    fn reject(&self, rejection: Rejection) -> Reply;

    /// Handles a request; runs in its own thread.
    fn serve(&self, request: Request);

    /// Called when a request starts.
    fn request_opened(&self) {}

    /// Called when a request has ended, both for its caller and for its thread.
    fn request_closed(&self) {}
}

/// Error that tells the caller of a rejection.
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
    /// Fails when the address can't be bound or the thread can't be started.
    pub(crate) fn bind<S: HttpService>(service: Arc<S>, addr: SocketAddr) -> io::Result<Self> {
        let (stop, stopped) = flume::bounded(0);
        let (send_bound, bound) = flume::bounded(1);
        let thread = std::thread::Builder::new()
            .name(S::NAME.into())
            .spawn(move || run_listener(service, addr, &send_bound, &stopped))?;
        let bound = bound.recv();
        let addr = bound.unwrap_or_else(|_| Err(io::ErrorKind::BrokenPipe.into()))?;
        Ok(Self {
            addr,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Address on which it listens; has the port that was bound when the settings say port 0.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }
}

impl Drop for Listener {
    /// Stops listening and waits for the requests in progress.
    fn drop(&mut self) {
        drop(self.stop.take());
        // A panic of the thread was reported by the panic hook.
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

/// Runs a listener until `stopped` is disconnected; sends the bound address or the error to `bound`.
fn run_listener<S: HttpService>(
    service: Arc<S>,
    addr: SocketAddr,
    bound: &flume::Sender<io::Result<SocketAddr>>,
    stopped: &flume::Receiver<()>,
) {
    let built = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match built {
        Ok(runtime) => runtime,
        Err(err) => return drop(bound.send(Err(err))),
    };
    LocalSet::new().block_on(&runtime, async {
        let host = Rc::new(ServiceHandler::new(service));
        let listener = match accept::bind(&host, addr) {
            Ok(listener) => listener,
            Err(err) => return drop(bound.send(Err(err))),
        };
        let _ = bound.send(Ok(listener.address));
        let _ = stopped.recv_async().await;
        listener.close();
        host.shutdown.begin();
        let start = Instant::now();
        while host.open_requests.load(Ordering::Acquire) > 0 && start.elapsed() < STOP_TIMEOUT {
            tokio::time::sleep(STOP_POLL_INTERVAL).await;
        }
    });
}

/// Adapts an [`HttpService`] to the handler of the connections.
struct ServiceHandler<S> {
    service: Arc<S>,
    shutdown: Shutdown,
    open_requests: Arc<AtomicUsize>,
    /// Limits the requests that are handled concurrently.
    permits: Arc<Semaphore>,
}

/// Counts a request as open until it is dropped; shared by the connection and the thread of the
/// request, so that the request stays open until both are done, also when the thread panics.
struct OpenGuard<S: HttpService> {
    service: Arc<S>,
    count: Arc<AtomicUsize>,
}

impl<S: HttpService> Drop for OpenGuard<S> {
    fn drop(&mut self) {
        self.service.request_closed();
        self.count.fetch_sub(1, Ordering::Release);
    }
}

impl<S: HttpService> ServiceHandler<S> {
    fn new(service: Arc<S>) -> Self {
        Self {
            service,
            shutdown: Shutdown::default(),
            open_requests: Arc::default(),
            permits: Arc::new(Semaphore::new(S::MAX_OPEN)),
        }
    }

    /// Counts a request as open until the guard is dropped.
    fn track_request(&self) -> Arc<OpenGuard<S>> {
        self.service.request_opened();
        self.open_requests.fetch_add(1, Ordering::Relaxed);
        Arc::new(OpenGuard {
            service: Arc::clone(&self.service),
            count: Arc::clone(&self.open_requests),
        })
    }

    /// Handles a request in its own thread.
    fn spawn_request(
        &self,
        request: Request,
        open: Arc<OpenGuard<S>>,
        permit: OwnedSemaphorePermit,
    ) {
        let service = Arc::clone(&self.service);
        let spawned = std::thread::Builder::new()
            .name("request".into())
            .stack_size(S::STACK_BYTES)
            .spawn(move || {
                let _held = (open, permit);
                service.serve(request);
            });
        if let Err(err) = spawned {
            // The request was dropped with the closure, so the caller gets status 500.
            log::warn!("cannot start a thread for a request: {err}");
        }
    }
}

/// Joins `first` with the parts that are ready, so that events in quick succession share one write.
/// Returns the bytes and whether the response is complete.
fn join_ready(first: ResponsePart, parts: &flume::Receiver<ResponsePart>) -> (Vec<u8>, bool) {
    let mut bytes = match first {
        ResponsePart::More(bytes) => bytes,
        ResponsePart::Last(bytes) => return (bytes, true),
    };
    while let Ok(part) = parts.try_recv() {
        match part {
            ResponsePart::More(more) => bytes.extend_from_slice(&more),
            ResponsePart::Last(more) => {
                bytes.extend_from_slice(&more);
                return (bytes, true);
            }
        }
    }
    (bytes, false)
}

impl<S: HttpService> Handler for ServiceHandler<S> {
    fn limits(&self) -> Limits {
        self.service.limits()
    }

    fn shutdown(&self) -> &Shutdown {
        &self.shutdown
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
        let open = self.track_request();
        let keep = head.keep_alive();
        let Ok(permit) = Arc::clone(&self.permits).acquire_owned().await else {
            return false;
        };
        let (send, parts) = flume::bounded(MAX_QUEUED_PARTS);
        // Dropped with this future when the caller closes the connection.
        let (_connected, caller_gone) = flume::bounded(0);
        let request = Request::new(head, body, send, caller_gone);
        self.spawn_request(request, Arc::clone(&open), permit);
        let mut started = false;
        while let Ok(part) = parts.recv_async().await {
            started = true;
            let (bytes, done) = join_ready(part, &parts);
            if write_all(out, &bytes).await.is_err() {
                return false;
            }
            if done {
                return keep;
            }
        }
        if !started {
            // The thread ended without a response.
            let rejection = Rejection::new(500, "no_answer");
            let _ = write_all(out, &self.reject(rejection)).await;
        }
        false
    }
}
