//! One request of a caller, with its route and customer.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use bytes::Bytes;

use super::{
    Core,
    answer::Refusal, //
};
use crate::{
    border::{
        Ask,
        Dialect, //
    },
    catalog::{
        Config,
        Customer,
        Lookup,
        Route, //
    },
    decide::{
        Fingerprint,
        fingerprint,
        retry_after, //
    },
    http::RequestHead,
    telemetry::{
        Hop,
        Trace, //
    },
};

/// Deadline of a request that names none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// Shortest time for which callers wait for the first event of a stream.
const LEAST_PATIENCE: Duration = Duration::from_millis(1600);

/// Time after which a caller is asked to come back when the configuration may be old: the time for
/// which it counts as fresh, and a part of a cut.
const CONFIG_RETRY: Duration = Duration::from_millis(1500);

/// Time after which a caller is asked to come back when no runner can be reached.
pub(super) const RUNNER_RETRY: Duration = Duration::from_millis(400);

/// One request of a caller with what was found out about it.
pub(super) struct Call {
    pub head: RequestHead,
    pub body: Bytes,
    pub ask: Ask,
    pub route: Arc<Route>,
    pub customer: Option<Arc<Customer>>,
    pub config: Arc<Config>,
    pub rank: u8,
    pub at: Instant,
    pub deadline: Instant,
    pub keep: bool,
    pub print: Fingerprint,
    pub sent: Cell<Option<Instant>>,
    /// The hop of the whole request, if its caller asked for a trace.
    pub hop: Option<RefCell<Hop>>,
}

impl Call {
    /// Time that is left.
    pub(super) fn left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Time for which the caller is likely to wait for the first byte.
    pub(super) fn patience(&self) -> Duration {
        let stay = (self.route.objective * 3).max(LEAST_PATIENCE);
        stay.min(self.deadline.duration_since(self.at).mul_f64(0.8))
    }

    /// Prompt tokens.
    pub(super) fn prompt(&self) -> u64 {
        self.ask.tokens.map_or(0, |t| t.prompt)
    }

    /// Starts a hop inside the request.
    pub(super) fn hop(&self, name: &'static str) -> Option<Hop> {
        let hop = self.hop.as_ref()?.borrow();
        Some(hop.trace().hop(name))
    }

    /// Notes that a byte may have left for a runner.
    pub(super) fn note_sent(&self, now: Instant) {
        if self.sent.get().is_none() {
            self.sent.set(Some(now));
        }
    }

    /// Tokens that one event of the answer holds at most.
    pub(super) fn stride(&self) -> u64 {
        self.route
            .services
            .iter()
            .filter_map(|(s, _)| self.config.services.get(s))
            .map(|s| s.event_tokens)
            .max()
            .unwrap_or(1)
    }
}

pub(super) fn open_call<D: Dialect>(
    core: &Rc<Core<D>>,
    head: RequestHead,
    body: Bytes,
    at: Instant,
    keep: bool,
) -> Result<Call, (Refusal, Option<Arc<str>>)> {
    let ask = D::ask(&head).map_err(|_| (Refusal::rejected(400, "bad_fields"), None))?;
    let id = Arc::clone(&ask.id);
    let fail = |refusal| (refusal, Some(Arc::clone(&id)));
    let patience = ask.deadline.unwrap_or(DEFAULT_DEADLINE);
    let Some(config) = core.config() else {
        let retry = retry_after(RUNNER_RETRY, patience);
        return Err(fail(Refusal::not_run("no_configuration", retry)));
    };
    let fresh = core.is_fresh(at);
    let unknown = |status, code| {
        if fresh {
            Refusal::rejected(status, code)
        } else {
            // A newer configuration that has not arrived may allow the request.
            Refusal::not_run(
                "configuration_may_be_old",
                retry_after(CONFIG_RETRY, patience),
            )
        }
    };
    let (route, customer) = match config.find(head.host(), head.path(), ask.key.as_deref()) {
        Lookup::Found(route, customer) => (route, customer),
        Lookup::NoRoute => return Err(fail(unknown(404, "no_route"))),
        Lookup::NoKey => return Err(fail(unknown(401, "unknown_key"))),
    };
    let name = customer.as_ref().map_or("", |c| &*c.name);
    let print = fingerprint(name, &head.target, &body);
    if core.strikes.borrow().is_refused(print, at) {
        return Err(fail(Refusal::not_run("crashes_runners", patience / 3)));
    }
    let rank = customer.as_ref().and_then(|c| c.rank).unwrap_or(route.rank);
    let deadline = at + patience.min(route.timeout);
    let field = head.fields.get("traceparent");
    let trace = field.and_then(|field| Trace::of(id, field));
    Ok(Call {
        hop: trace.map(|trace| RefCell::new(trace.hop("request"))),
        head,
        body,
        ask,
        route,
        customer,
        config,
        rank,
        at,
        deadline,
        keep,
        print,
        sent: Cell::new(None),
    })
}
