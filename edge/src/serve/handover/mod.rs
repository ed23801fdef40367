//! Hands requests that this daemon can't serve to other daemons, and takes theirs.
//!
//! A request that is handed over travels over a connection to the port for other daemons that begins with [`GREETING`].
//! What follows is HTTP as between caller and daemon; instead of an answer, the other daemon may decline a request with
//! a line. See `docs/design/handover.md`.

mod answer;
mod links;
mod taken;

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use tokio::net::TcpStream;

pub(crate) use self::taken::{
    begins_handover,
    serve_handed_over, //
};
use self::{
    answer::relay_answer,
    links::{
        AskError,
        ask, //
    },
};
pub(super) use self::{
    links::HopLinks,
    taken::{
        TakenRequests,
        declined_line, //
    },
};
use super::{
    Core,
    attempts::ServeError,
    call::{
        Call,
        RUNNER_RETRY_AFTER, //
    },
    relay::Relay,
    response::Refusal, //
};
use crate::{
    adapter::Dialect,
    decide::{
        AskOutcome,
        Distance,
        Neighbour,
        ReachState,
        fingerprint,
        retry_after, //
    },
};

/// First bytes of a connection over which requests are handed over; no HTTP request begins with them.
const GREETING: &[u8] = b"cuminloom-handover/1\r\n";

/// Begin of the line with which a daemon declines a request; its end is the reason.
const DECLINED: &[u8] = b"declined ";

/// Code of requests for a service whose runners this VM and the neighbours it asked can't reach.
const NO_PATH_CODE: &str = "no_path";

/// Code of requests whose connection to a neighbour broke after they were sent.
const HOP_CODE: &str = "neighbour_lost";

/// Silence of all runners of a service from which its open connections are no way to serve a request either.
const MAX_SILENCE: Duration = Duration::from_secs(1);

/// Where a request comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// A caller.
    Caller,
    /// Another daemon, which has handed it over.
    Neighbour,
}

impl Origin {
    /// Name in log lines.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Origin::Caller => "caller",
            Origin::Neighbour => "neighbour",
        }
    }
}

impl<D> Core<D> {
    /// Whether a request for `service` is to be served by another daemon. One hop is all that a request makes.
    pub(super) fn hands_over(&self, call: &Call, service: &str) -> bool {
        call.origin == Origin::Caller && self.reach_state(service) != ReachState::Open
    }

    /// Whether no runner of `service` can be used from here, over open connections neither.
    fn is_unreachable(&self, service: &str, now: Instant) -> bool {
        let directory = self.directory.borrow();
        let is_silent = |runner| self.upstream(runner).silence(now) > MAX_SILENCE;
        self.is_path_lost(service) && directory.ready(service, now).all(is_silent)
    }

    /// The daemons that may be asked: those of the own region.
    fn known_neighbours(&self, now: Instant) -> Vec<Neighbour> {
        let (ledger, regions) = (self.ledger.borrow(), self.regions.borrow());
        let own = regions.get(&*self.zone);
        let members = ledger.running_members(now);
        let neighbours = members.filter_map(|member| {
            let distance = if *member.zone == *self.zone {
                Distance::DataCentre
            } else if regions.get(member.zone) == own {
                Distance::Region
            } else {
                return None;
            };
            Some(Neighbour {
                address: member.address,
                distance,
                capacity: member.capacity,
            })
        });
        neighbours.collect()
    }

    /// Records what came of asking the daemon at `address` to serve `call`, since `asked`.
    fn record_ask(
        &self,
        call: &Call,
        service: &str,
        address: SocketAddr,
        outcome: AskOutcome,
        asked: Instant,
    ) {
        let now = Instant::now();
        let mut neighbours = self.neighbours.borrow_mut();
        neighbours.record(address, outcome, now);
        let outcome = outcome.as_str();
        self.metrics.handovers.with_label_values(&[outcome]).inc();
        log::info!(
            "event=handed_over id={} service={service} neighbour={address} outcome={outcome} ms={}",
            call.meta.id,
            now.saturating_duration_since(asked).as_millis()
        );
    }
}

/// Asks neighbours to serve the request, one after the other, and relays the answer of the one that does. Returns its
/// status, or `None` if they decline and own runners may be tried.
///
/// # Errors
///
/// Fails if the connection to the neighbour breaks, if the caller leaves, or if no runner can be used from here either.
pub(super) async fn hand_over<D: Dialect>(
    core: &Rc<Core<D>>,
    call: &Call,
    service: &str,
    relay: &mut Relay,
    out: &TcpStream,
) -> Result<Option<u16>, ServeError> {
    let now = Instant::now();
    let known = core.known_neighbours(now);
    let request = fingerprint("", &call.meta.id, b"");
    let order = core.neighbours.borrow().order(request, &known, now);
    for address in order {
        let asked = Instant::now();
        match ask(core, call, address).await {
            Ok(reply) => {
                core.record_ask(call, service, address, AskOutcome::Taken, asked);
                return relay_answer(core, call, reply, relay, out).await.map(Some);
            }
            Err(AskError::Declined(outcome)) => {
                core.record_ask(call, service, address, outcome, asked);
            }
            Err(AskError::Lost(error)) => {
                log::info!("event=neighbour_lost id={} error=\"{error}\"", call.meta.id);
                core.record_ask(call, service, address, AskOutcome::Unreachable, asked);
                let refusal = Refusal::may_have_run(502, HOP_CODE);
                return Err(ServeError::Refused(refusal));
            }
        }
    }
    let now = Instant::now();
    if !core.is_unreachable(service, now) {
        return Ok(None);
    }
    let wait = retry_after(RUNNER_RETRY_AFTER, call.time_left(now));
    let refusal = Refusal::not_run(NO_PATH_CODE, wait);
    Err(ServeError::Refused(refusal))
}
