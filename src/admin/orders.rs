//! Handler for orders to targets. Each order carries a new fencing number.

use std::sync::PoisonError;

use serde_json::{
    Value,
    json, //
};

use super::{
    fleet::Fleet,
    idempotency::{
        IdempotentRequest,
        RowUpdate, //
    },
    reply::{
        Failure,
        HandlerResult,
        Reply,
        refuse, //
    },
    request::Request,
    server::Shared,
};
use crate::{
    config,
    model::{
        Code,
        Target,
        TargetKind, //
    },
    store::{
        Objects,
        Row,
        Table, //
    },
    target::{
        Order,
        OrderOutcome, //
    },
    wire::admin as wire,
};

fn parse_order(body: &wire::Ordering) -> Order {
    let argument = body.argument.as_str().into();
    match body.order {
        wire::OrderingOrder::LoadModel => Order::LoadModel(argument),
        wire::OrderingOrder::LoadAdapter => Order::LoadAdapter(argument),
        wire::OrderingOrder::ChangeRole => Order::ChangeRole(argument),
    }
}

fn wire_outcome(obeyed: OrderOutcome) -> wire::OrderedOutcome {
    match obeyed {
        OrderOutcome::Done => wire::OrderedOutcome::Done,
        OrderOutcome::Stale => wire::OrderedOutcome::Stale,
        OrderOutcome::Refused => wire::OrderedOutcome::Refused,
        OrderOutcome::Uncertain => wire::OrderedOutcome::Uncertain,
    }
}

/// Update that takes the next fencing number. The recorded outcome is uncertain until the target
/// has answered.
fn next_fencing(target: &Target, row: Option<&Row>) -> Result<RowUpdate, Failure> {
    let last = match row {
        None => 0,
        Some(row) => row.value["number"].as_u64().ok_or_else(|| {
            let detail = format!("row {} holds no fencing number", row.key);
            refuse(Code::Internal, detail)
        })?,
    };
    let answer = wire::Ordered {
        target: target.id.to_string(),
        fencing: last + 1,
        outcome: wire::OrderedOutcome::Uncertain,
    };
    Ok(RowUpdate {
        value: json!({ "number": last + 1 }),
        answer: to_value(&answer),
    })
}

fn to_value(answer: &wire::Ordered) -> Value {
    serde_json::to_value(answer).expect("wire types have string keys")
}

impl<S: Table + Objects, F: Fleet> Shared<S, F> {
    /// Sends an order to an engine, once for each request id.
    pub(super) fn order_target(&self, request: &Request, name: &str) -> HandlerResult {
        let body: wire::Ordering = request.parse_body()?;
        let target = self.find_engine(name)?;
        let recorded = IdempotentRequest::new(request, format!("fencing/{name}"))?;
        let busy_targets = || {
            self.busy_targets
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
        };
        // One order at a time: a target that ignores fencing numbers obeys whichever arrives last.
        if !busy_targets().insert(target.id.clone()) {
            let detail = format!("another order to {name:?} is still being sent");
            return Err(refuse(Code::Conflict, detail));
        }
        let answer = self.send_recorded(&recorded, &target, &parse_order(&body));
        busy_targets().remove(&target.id);
        let answer = answer?;
        log::info!(
            "operator {} ordered {} of {name:?}: fencing number {}, {}",
            request.operator,
            body.order,
            answer.fencing,
            answer.outcome
        );
        Ok(Reply::ok(&answer))
    }

    /// Engine of that name in any service.
    fn find_engine(&self, name: &str) -> Result<Target, Failure> {
        let current = config::lock_config(&self.config).current();
        let engines = current
            .services
            .values()
            .filter(|service| service.kind == TargetKind::Engine);
        let mut targets = engines.flat_map(|service| &service.targets);
        let target = targets.find(|target| *target.id == *name).cloned();
        let detail = || format!("no engine service has a target {name:?}");
        target.ok_or_else(|| refuse(Code::NotFound, detail()))
    }

    /// Sends the order, or returns the recorded answer when the request is repeated.
    fn send_recorded(
        &self,
        recorded: &IdempotentRequest,
        target: &Target,
        order: &Order,
    ) -> Result<wire::Ordered, Failure> {
        let result = recorded.execute(&self.store, |row| next_fencing(target, row.as_ref()))?;
        let mut answer: wire::Ordered = serde_json::from_value(result.answer).map_err(|err| {
            refuse(
                Code::Internal,
                format!("the recorded answer is malformed: {err}"),
            )
        })?;
        if result.is_repeat {
            return Ok(answer);
        }
        let obeyed = self.fleet.send_order(target.addr, order, answer.fencing);
        answer.outcome = wire_outcome(obeyed);
        recorded.replace_answer(&self.store, &to_value(&answer));
        Ok(answer)
    }
}
