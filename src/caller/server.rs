//! The listener for callers and the dispatch of their requests.

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
    auth::customer,
    reply::{
        answer,
        fault_reply,
        refuse, //
    },
    run,
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

/// Time after which a connection is closed whose caller takes nothing of its answer. Such a caller
/// would keep its target busy.
const SILENT: Duration = Duration::from_secs(30);

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
        let listener = Listener::bind(Arc::new(Local(ctx.clone())), addr)
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

/// This daemon behind the listener.
struct Local(Arc<Context>);

impl HttpService for Local {
    const NAME: &'static str = "callers";
    const MAX_OPEN: usize = tokio::sync::Semaphore::MAX_PERMITS;
    const STACK_BYTES: usize = 256 << 10;

    fn limits(&self) -> Limits {
        let caller = &self.0.settings.caller;
        Limits {
            body_bytes: caller.body_limit,
            header_timeout: caller.read_timeout,
            idle_timeout: caller.read_timeout,
            ack_timeout: SILENT,
            ..Limits::default()
        }
    }

    /// A stranger is refused before its body takes memory.
    fn check_head(&self, head: &RequestHead) -> Result<(), Reply> {
        let path = head.path();
        if !path.starts_with("/v1/") && !path.starts_with("/s/") {
            return Ok(());
        }
        let config = self.0.config.load();
        let known = customer(&head.fields, &config);
        known.map(drop).map_err(|fault| {
            run::count(&self.0, "", Some(&fault));
            fault_reply(fault.code.status(), &fault)
        })
    }

    fn reject(&self, rejection: Rejection) -> Reply {
        let fault = rejection_error(rejection);
        run::count(&self.0, "", Some(&fault));
        fault_reply(rejection.status, &fault)
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

/// Serves one request. A caller that left can't be answered, so failures to write are not errors.
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
        ("GET", "/v1/models") => models(ctx, request),
        ("POST", "/v1/keys") => mint(ctx, request),
        ("POST", "/v1/chat/completions") => run::chat(ctx, request),
        (_, path) if path.starts_with("/s/") => run::plain(ctx, request),
        _ => refuse(
            request,
            &RequestError::not_run(Code::NotFound, "no such resource"),
        ),
    };
}

fn ready(ctx: &Context, request: Request) -> std::io::Result<()> {
    match ctx.readiness() {
        Ok(()) => answer(request, 200, "text/plain", b"ready\n"),
        Err(reason) => refuse(request, &RequestError::not_run(Code::Stopping, reason)),
    }
}

/// Lists the profiles of the customer in the form of a list of models.
fn models(ctx: &Context, request: Request) -> std::io::Result<()> {
    let config = ctx.config.load();
    let customer = match customer(request.fields(), &config) {
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
    let customer = match customer(request.fields(), &config) {
        Ok(customer) => customer,
        Err(fault) => return refuse(request, &fault),
    };
    let key = ctx.claims.issuer().mint(&customer.id, ctx.clock.unix());
    let body = json!({ "key": &*key }).to_string();
    answer(request, 201, "application/json", body.as_bytes())
}

/// Reads the `traceparent` header or starts a trace.
pub(crate) fn trace_of(ctx: &Context, request: &Request) -> (crate::telemetry::TraceContext, u64) {
    use crate::telemetry::TraceContext;
    match request.header("traceparent").and_then(TraceContext::parse) {
        Some(parent) => (parent.child(), parent.span),
        None => (
            TraceContext::root(rand::random::<f64>() < ctx.settings.trace.sample_ratio),
            0,
        ),
    }
}
