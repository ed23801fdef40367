//! Orders to targets, with fencing numbers.

use std::sync::PoisonError;

use serde_json::{
    Value,
    json, //
};

use super::{
    fleet::Fleet,
    recent::{
        Asked,
        Effect, //
    },
    reply::{
        Answer,
        Failure,
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
        Order, //
        OrderOutcome,
    },
    wire::admin as wire,
};

fn order_of(body: &wire::Ordering) -> Order {
    let argument = body.argument.as_str().into();
    match body.order {
        wire::OrderingOrder::LoadModel => Order::LoadModel(argument),
        wire::OrderingOrder::LoadAdapter => Order::LoadAdapter(argument),
        wire::OrderingOrder::ChangeRole => Order::ChangeRole(argument),
    }
}

fn outcome_of(obeyed: OrderOutcome) -> wire::OrderedOutcome {
    match obeyed {
        OrderOutcome::Done => wire::OrderedOutcome::Done,
        OrderOutcome::Stale => wire::OrderedOutcome::Stale,
        OrderOutcome::Refused => wire::OrderedOutcome::Refused,
        OrderOutcome::Uncertain => wire::OrderedOutcome::Uncertain,
    }
}

/// Raises the fencing number. The order counts as uncertain until its answer is known.
fn raise(target: &Target, row: Option<&Row>) -> Result<Effect, Failure> {
    let last = match row {
        None => 0,
        Some(row) => row.value["number"].as_u64().ok_or_else(|| {
            let detail = format!("the row {} holds no number", row.key);
            refuse(Code::Internal, detail)
        })?,
    };
    let answer = wire::Ordered {
        target: target.id.to_string(),
        fencing: last + 1,
        outcome: wire::OrderedOutcome::Uncertain,
    };
    Ok(Effect {
        value: json!({ "number": last + 1 }),
        answer: value(&answer),
    })
}

fn value(answer: &wire::Ordered) -> Value {
    serde_json::to_value(answer).expect("wire types have string keys")
}

impl<S: Table + Objects, F: Fleet> Shared<S, F> {
    pub(super) fn order(&self, request: &Request, name: &str) -> Answer {
        let body: wire::Ordering = request.parse()?;
        let target = self.engine(name)?;
        let asked = Asked::of(request, format!("fencing/{name}"))?;
        let sending = || self.sending.lock().unwrap_or_else(PoisonError::into_inner);
        // One order at a time: a target that ignores fencing numbers obeys the one that comes last.
        if !sending().insert(target.id.clone()) {
            let detail = format!("another order to {name:?} is being sent");
            return Err(refuse(Code::Conflict, detail));
        }
        let answer = self.send(&asked, &target, &order_of(&body));
        sending().remove(&target.id);
        let answer = answer?;
        log::info!(
            "{} ordered {} of {name:?}: fencing number {}, {}",
            request.operator,
            body.order,
            answer.fencing,
            answer.outcome
        );
        Ok(Reply::ok(&answer))
    }

    fn engine(&self, name: &str) -> Result<Target, Failure> {
        let current = config::lock_config(&self.config).current();
        let engines = current
            .services
            .values()
            .filter(|service| service.kind == TargetKind::Engine);
        let mut targets = engines.flat_map(|service| &service.targets);
        let target = targets.find(|target| *target.id == *name).cloned();
        let detail = || format!("no service of engines has a target {name:?}");
        target.ok_or_else(|| refuse(Code::NotFound, detail()))
    }

    fn send(
        &self,
        asked: &Asked,
        target: &Target,
        order: &Order,
    ) -> Result<wire::Ordered, Failure> {
        let told = asked.change(&self.store, |row| raise(target, row.as_ref()))?;
        let mut answer: wire::Ordered = serde_json::from_value(told.answer)
            .map_err(|err| refuse(Code::Internal, format!("a recorded answer: {err}")))?;
        if told.repeated {
            return Ok(answer);
        }
        let obeyed = self.fleet.send_order(target.addr, order, answer.fencing);
        answer.outcome = outcome_of(obeyed);
        asked.amend(&self.store, &value(&answer));
        Ok(answer)
    }
}
