//! The listener for callers and the dispatch of their requests.

use std::{
    net::SocketAddr,
    sync::Arc,
    thread::JoinHandle,
    time::{
        Duration,
        Instant, //
    },
};

use error_stack::{
    Report,
    ResultExt, //
};
use serde_json::json;
use socket2::{
    Domain,
    Socket,
    TcpKeepalive,
    Type, //
};
use tiny_http::{
    Request,
    Server, //
};

use super::{
    auth::{
        customer,
        header_of, //
    },
    declared::screen,
    reply::{
        answer,
        refuse, //
    },
    run,
};
use crate::{
    kernel::{
        Context,
        StartFault, //
    },
    model::{
        Code,
        Fault, //
    },
};

/// Threads that take requests off the library's queue.
const ACCEPTORS: usize = 2;

/// Stack of a thread that serves one request, in bytes.
const STACK: usize = 256 << 10;

/// Wait between two looks at the stop flag.
const POLL: Duration = Duration::from_millis(100);

/// Pending connections of the listener.
const BACKLOG: i32 = 1_024;

/// Longest wait for a caller to take a part of its answer. A caller that takes nothing would keep
/// its target busy.
const WRITE_LIMIT: Duration = Duration::from_secs(30);

/// Idle time after which a silent caller's connection is probed.
const KEEPALIVE: Duration = Duration::from_secs(30);

/// The running listener for callers.
#[derive(Debug)]
pub struct Callers {
    addr: SocketAddr,
    threads: Vec<JoinHandle<()>>,
}

impl Callers {
    /// Listens on the address of the settings and serves until `stop` is disconnected.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    ///
    /// # Examples
    ///
    /// ```no_run
    /// # fn start(ctx: std::sync::Arc<cuminloom::kernel::Context>) {
    /// let (stop, stopped) = flume::bounded(0);
    /// let callers = cuminloom::caller::Callers::bind(&ctx, stopped).unwrap();
    /// println!("listening on {}", callers.addr());
    /// drop(stop);
    /// callers.join();
    /// # }
    /// ```
    pub fn bind(ctx: &Arc<Context>, stop: flume::Receiver<()>) -> Result<Self, Report<StartFault>> {
        let listener = listener(ctx.settings.caller.listen)
            .change_context(StartFault { name: "callers" })
            .attach(format!("listening on {}", ctx.settings.caller.listen))?;
        let addr = listener
            .local_addr()
            .change_context(StartFault { name: "callers" })?;
        let server = Server::from_listener(listener, None)
            .map_err(|err| Report::new(StartFault { name: "callers" }).attach(err.to_string()))?;
        let server = Arc::new(server);
        let threads = (0..ACCEPTORS)
            .map(|_| acceptor(ctx, &server, &stop))
            .collect();
        Ok(Self { addr, threads })
    }

    /// Address of the listener.
    ///
    /// # Examples
    ///
    /// ```no_run
    /// # fn show(callers: &cuminloom::caller::Callers) {
    /// println!("{}", callers.addr());
    /// # }
    /// ```
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Waits until the listener has stopped.
    ///
    /// # Examples
    ///
    /// ```no_run
    /// # fn wait(callers: cuminloom::caller::Callers) {
    /// callers.join();
    /// # }
    /// ```
    pub fn join(self) {
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

/// Binds a listener whose accepted sockets inherit no-delay, keep-alive and the write timeout, which
/// the HTTP library does not set. A read timeout would end the library's loop of accepts.
fn listener(addr: SocketAddr) -> std::io::Result<std::net::TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_tcp_nodelay(true)?;
    socket.set_write_timeout(Some(WRITE_LIMIT))?;
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(KEEPALIVE))?;
    socket.bind(&addr.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

fn acceptor(
    ctx: &Arc<Context>,
    server: &Arc<Server>,
    stop: &flume::Receiver<()>,
) -> JoinHandle<()> {
    let (ctx, server, stop) = (ctx.clone(), server.clone(), stop.clone());
    std::thread::Builder::new()
        .name("accept".into())
        .spawn(move || {
            while !stop.is_disconnected() {
                let Ok(Some(request)) = server.recv_timeout(POLL) else {
                    continue;
                };
                if let Some(request) = screen(request, "the interface to callers") {
                    spawn_request(&ctx, request);
                }
            }
        })
        .expect("the system can start a thread")
}

fn spawn_request(ctx: &Arc<Context>, request: Request) {
    let worker = ctx.clone();
    worker.metrics.open.inc();
    let spawned = std::thread::Builder::new()
        .name("request".into())
        .stack_size(STACK)
        .spawn(move || {
            let _open = Open(&worker);
            serve(&worker, request);
        });
    if spawned.is_err() {
        // The request is dropped with the closure, and the library answers it with status 500.
        ctx.metrics.open.dec();
        log::warn!("no thread for a request");
    }
}

/// Counts a request as open until it is dropped, also when its thread panics.
struct Open<'a>(&'a Context);

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.0.metrics.open.dec();
    }
}

/// Serves one request. A caller that left can't be answered, so failures to write are not errors.
fn serve(ctx: &Context, request: Request) {
    let path = request
        .url()
        .split('?')
        .next()
        .unwrap_or_default()
        .to_owned();
    let method = request.method().as_str().to_owned();
    let _ = match (method.as_str(), path.as_str()) {
        ("GET", "/healthz") => answer(request, 200, "text/plain", b"ok\n"),
        ("GET", "/readyz") => ready(ctx, request),
        ("GET", "/metrics") if ctx.settings.caller.metrics => {
            ctx.refresh_metrics();
            answer(
                request,
                200,
                "text/plain; version=0.0.4",
                ctx.metrics.render().as_bytes(),
            )
        }
        ("GET", "/v1/models") => models(ctx, request),
        ("POST", "/v1/keys") => mint(ctx, request),
        ("POST", "/v1/chat/completions") => run::chat(ctx, request),
        (_, path) if path.starts_with("/s/") => run::plain(ctx, request),
        _ => refuse(request, &Fault::not_run(Code::NotFound, "no such resource")),
    };
}

fn ready(ctx: &Context, request: Request) -> std::io::Result<()> {
    match ctx.readiness() {
        Ok(()) => answer(request, 200, "text/plain", b"ready\n"),
        Err(reason) => refuse(request, &Fault::not_run(Code::Stopping, reason)),
    }
}

/// Lists the profiles of the customer in the form of a list of models.
fn models(ctx: &Context, request: Request) -> std::io::Result<()> {
    let config = ctx.config.load();
    let customer = match customer(&request, &config) {
        Ok(customer) => customer,
        Err(fault) => return refuse(request, &fault),
    };
    let usable = config
        .profiles
        .values()
        .filter(|p| p.customers.contains(&customer.id));
    let data: Vec<_> = usable
        .map(|p| json!({ "id": &*p.id, "object": "model", "owned_by": &*customer.id }))
        .collect();
    let body = json!({ "object": "list", "data": data }).to_string();
    answer(request, 200, "application/json", body.as_bytes())
}

/// Issues an idempotency key that this process alone may run.
fn mint(ctx: &Context, request: Request) -> std::io::Result<()> {
    let config = ctx.config.load();
    let customer = match customer(&request, &config) {
        Ok(customer) => customer,
        Err(fault) => return refuse(request, &fault),
    };
    let key = ctx.claims.issuer().mint(&customer.id, ctx.clock.unix());
    let body = json!({ "key": &*key }).to_string();
    answer(request, 201, "application/json", body.as_bytes())
}

/// Reads the body of a request.
///
/// # Errors
///
/// Fails with verdict not-run when the body is too large, comes too slowly or is cut off.
pub(crate) fn read_body(ctx: &Context, request: &mut Request) -> Result<Vec<u8>, Fault> {
    let limit = ctx.settings.caller.body_limit;
    let too_large = || Fault::not_run(Code::TooLarge, format!("the body exceeds {limit} bytes"));
    if request.body_length().is_some_and(|length| length > limit) {
        return Err(too_large());
    }
    let expected = request.body_length();
    let start = Instant::now();
    let mut body = Vec::new();
    let mut chunk = [0; 8192];
    let reader = request.as_reader();
    loop {
        let read = reader
            .read(&mut chunk)
            .map_err(|_| Fault::not_run(Code::BadRequest, "the body could not be read"))?;
        if read == 0 {
            break;
        }
        body.extend_from_slice(&chunk[..read]);
        if body.len() > limit {
            return Err(too_large());
        }
        if start.elapsed() > ctx.settings.caller.read_timeout {
            return Err(Fault::not_run(Code::BadRequest, "the body came too slowly"));
        }
    }
    if expected.is_some_and(|length| body.len() < length) {
        return Err(Fault::not_run(Code::BadRequest, "the body was cut off"));
    }
    Ok(body)
}

/// Reads the `traceparent` header or starts a trace.
pub(crate) fn trace_of(ctx: &Context, request: &Request) -> (crate::telemetry::TraceContext, u64) {
    use crate::telemetry::TraceContext;
    match header_of(request, "traceparent").and_then(TraceContext::parse) {
        Some(parent) => (parent.child(), parent.span),
        None => (
            TraceContext::root(rand::random::<f64>() < ctx.settings.trace.sample),
            0,
        ),
    }
}
