//! Listener for callers and routing of their requests to handlers.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use cuminloom_edge::{
    accept::Rejection,
    catalog::Limits,
    http::RequestHead, //
};
use error_stack::{
    Report,
    ResultExt, //
};
use serde_json::json;

use super::{
    auth::authenticate,
    handlers,
    reply::{
        answer,
        error_reply,
        refuse, //
    },
};
use crate::{
    inbound::{
        HttpService,
        Listener,
        Reply,
        Request,
        rejection_error, //
    },
    kernel::{
        Context,
        StartError, //
    },
    model::{
        Code,
        RequestError, //
    },
};

/// Time without acknowledgement from the caller after which its connection is closed. A caller that
/// does not read its answer would keep the target busy.
const ACK_TIMEOUT: Duration = Duration::from_secs(30);

/// The running listener for callers.
#[derive(Debug)]
pub struct CallerListener {
    listener: Listener,
}

impl CallerListener {
    /// Listens on the address of the settings until the value is dropped.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    ///
    /// # Examples
    ///
    /// ```no_run
    /// # fn start(ctx: std::sync::Arc<cuminloom::kernel::Context>) {
    /// let callers = cuminloom::caller::CallerListener::bind(&ctx).unwrap();
    /// println!("listening on {}", callers.addr());
    /// # }
    /// ```
    pub fn bind(ctx: &Arc<Context>) -> Result<Self, Report<StartError>> {
        let addr = ctx.settings.caller.listen;
        let listener = Listener::bind(Arc::new(CallerService(ctx.clone())), addr)
            .change_context(StartError { name: "callers" })
            .attach(format!("listening on {addr}"))?;
        Ok(Self { listener })
    }

    /// Address of the listener.
    ///
    /// # Examples
    ///
    /// ```no_run
    /// # fn show(callers: &cuminloom::caller::CallerListener) {
    /// println!("{}", callers.addr());
    /// # }
    /// ```
    pub fn addr(&self) -> SocketAddr {
        self.listener.addr()
    }
}

/// Serves the requests that the listener accepts.
struct CallerService(Arc<Context>);

impl HttpService for CallerService {
    const NAME: &'static str = "callers";
    const MAX_OPEN: usize = tokio::sync::Semaphore::MAX_PERMITS;
    const STACK_BYTES: usize = 256 << 10;

    fn limits(&self) -> Limits {
        let caller = &self.0.settings.caller;
        Limits {
            body_bytes: caller.body_limit,
            header_timeout: caller.read_timeout,
            idle_timeout: caller.read_timeout,
            ack_timeout: ACK_TIMEOUT,
            ..Limits::default()
        }
    }

    /// Refuses an unauthenticated caller before its body is read into memory.
    fn check_head(&self, head: &RequestHead) -> Result<(), Reply> {
        let path = head.path();
        if !path.starts_with("/v1/") && !path.starts_with("/s/") {
            return Ok(());
        }
        let config = self.0.config.load();
        let authenticated = authenticate(&head.fields, &config);
        authenticated.map(drop).map_err(|error| {
            handlers::count_request(&self.0, "", Some(&error));
            error_reply(error.code.status(), &error)
        })
    }

    fn reject(&self, rejection: Rejection) -> Reply {
        let error = rejection_error(rejection);
        handlers::count_request(&self.0, "", Some(&error));
        error_reply(rejection.status, &error)
    }

    fn serve(&self, request: Request) {
        serve(&self.0, request);
    }

    fn request_opened(&self) {
        self.0.metrics.open_requests.inc();
    }

    fn request_closed(&self) {
        self.0.metrics.open_requests.dec();
    }
}

/// Serves one request. Failures to write the response are ignored: the caller has disconnected.
fn serve(ctx: &Context, request: Request) {
    let _ = match (request.method(), request.path()) {
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
        ("GET", "/v1/models") => list_models(ctx, request),
        ("POST", "/v1/keys") => issue_key(ctx, request),
        ("POST", "/v1/chat/completions") => handlers::serve_chat(ctx, request),
        (_, path) if path.starts_with("/s/") => handlers::serve_plain(ctx, request),
        _ => refuse(
            request,
            &RequestError::not_run(Code::NotFound, "no such resource"),
        ),
    };
}

/// Serves `GET /readyz`.
fn ready(ctx: &Context, request: Request) -> std::io::Result<()> {
    match ctx.readiness() {
        Ok(()) => answer(request, 200, "text/plain", b"ready\n"),
        Err(reason) => refuse(request, &RequestError::not_run(Code::Stopping, reason)),
    }
}

/// Serves `GET /v1/models`: the profiles that the customer may use.
fn list_models(ctx: &Context, request: Request) -> std::io::Result<()> {
    let config = ctx.config.load();
    let customer = match authenticate(request.fields(), &config) {
        Ok(customer) => customer,
        Err(error) => return refuse(request, &error),
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

/// Serves `POST /v1/keys`: issues an idempotency key whose request only this process may run.
fn issue_key(ctx: &Context, request: Request) -> std::io::Result<()> {
    let config = ctx.config.load();
    let customer = match authenticate(request.fields(), &config) {
        Ok(customer) => customer,
        Err(error) => return refuse(request, &error),
    };
    let key = ctx.claims.issuer().issue(&customer.id, ctx.clock.unix());
    let body = json!({ "key": &*key }).to_string();
    answer(request, 201, "application/json", body.as_bytes())
}

/// Returns the trace context of the request's span and the id of its parent span, from the
/// `traceparent` header; without one it starts a trace, with parent 0.
pub(crate) fn trace_context(
    ctx: &Context,
    request: &Request,
) -> (crate::telemetry::TraceContext, u64) {
    use crate::telemetry::TraceContext;
    match request.header("traceparent").and_then(TraceContext::parse) {
        Some(parent) => (parent.child(), parent.span),
        None => (
            TraceContext::root(rand::random::<f64>() < ctx.settings.trace.sample_ratio),
            0,
        ),
    }
}
