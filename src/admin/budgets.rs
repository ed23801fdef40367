//! Budgets: create, show, top up, lower, size and settle.

use serde_json::Value;

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
    request::{
        Match,
        Request, //
    },
    server::Shared,
};
use crate::{
    budget::{
        Row, //
        RowError,
    },
    config::{
        self,
        is_valid_name, //
    },
    model::{
        Code,
        Tokens, //
    },
    store::{
        self,
        Objects,
        Table, //
    },
    wire::admin as wire,
};

/// Budgets in one page of the list.
const PAGE: usize = 100;
/// Highest limit, in tokens; figures of the API are signed 64-bit numbers.
const MOST_TOKENS: Tokens = 1 << 62;
/// Largest `reserve`, in seconds: one week.
const LONGEST_RESERVE: u32 = 604_800;

fn key(id: &str) -> String {
    format!("budget/{id}")
}

fn signed(number: i128) -> i64 {
    i64::try_from(number).unwrap_or(if number < 0 { i64::MIN } else { i64::MAX })
}

/// A budget as the API shows it, without its shares.
fn summary(id: &str, row: &Row) -> wire::Budget {
    let figures = row.breakdown();
    let pending = Tokens::try_from(-figures.free).unwrap_or(0);
    wire::Budget {
        id: id.into(),
        customer: row.customer.to_string(),
        limit: row.limit,
        in_force: row.limit.saturating_add(pending),
        pending,
        revision: row.revision,
        billed: signed(figures.billed),
        held: signed(figures.held),
        transit: signed(row.in_transit()),
        orphaned: signed(figures.orphaned),
        free: signed(figures.free),
        reserve: row.reserve_s,
        fraction: row.draw_fraction,
        shares: Vec::new(),
    }
}

fn shares(row: &Row) -> Vec<wire::Share> {
    let shares = row.shares.iter();
    shares
        .map(|(inc, share)| wire::Share {
            incarnation: inc.to_string(),
            drawn: share.drawn,
            returned: share.returned,
            billed: share.billed,
            sent: share.sent,
            received: share.received,
            outstanding: share.outstanding().unwrap_or(0),
            sealed: share.sealed,
        })
        .collect()
}

pub(super) fn parse(row: store::Row) -> Result<Row, Failure> {
    Ok(Row::try_from(row.value)?)
}

fn missing(id: &str) -> Failure {
    refuse(Code::NotFound, format!("there is no budget {id:?}"))
}

fn effect(id: &str, row: &Row) -> Effect {
    Effect {
        value: Value::from(row),
        answer: serde_json::to_value(summary(id, row)).expect("wire types have string keys"),
    }
}

fn check_limit(limit: Tokens) -> Result<(), Failure> {
    if limit <= MOST_TOKENS {
        return Ok(());
    }
    let detail = format!("the limit would be {limit}, above {MOST_TOKENS} tokens");
    Err(refuse(Code::BadRequest, detail))
}

fn size(row: &mut Row, reserve: Option<u32>, fraction: Option<f64>) -> Result<(), Failure> {
    row.reserve_s = reserve.unwrap_or(row.reserve_s);
    row.draw_fraction = fraction.unwrap_or(row.draw_fraction);
    if !(1..=LONGEST_RESERVE).contains(&row.reserve_s) {
        let detail = format!("reserve must be from 1 to {LONGEST_RESERVE} seconds");
        return Err(refuse(Code::BadRequest, detail));
    }
    if !(row.draw_fraction > 0.0 && row.draw_fraction <= 1.0) {
        let detail = "fraction must be above 0 and at most 1";
        return Err(refuse(Code::BadRequest, detail));
    }
    Ok(())
}

/// A checked action on a budget.
enum Action {
    TopUp(Tokens),
    Lower(Tokens),
    Size(wire::Sizing),
    Settle(wire::Settle),
}

impl Action {
    fn of(name: &str, request: &Request) -> Result<Self, Failure> {
        Ok(match name {
            "topup" => Action::TopUp(request.parse::<wire::TopUp>()?.tokens),
            "lower" => Action::Lower(request.parse::<wire::Lower>()?.limit),
            "sizing" => Action::Size(request.parse()?),
            "settle" => Action::Settle(request.parse()?),
            _ => {
                let detail = format!("budgets take topup, lower, sizing and settle, not {name:?}");
                return Err(refuse(Code::NotFound, detail));
            }
        })
    }

    fn apply(&self, row: &mut Row) -> Result<(), Failure> {
        match self {
            Action::TopUp(0) => return Err(refuse(Code::BadRequest, "tokens must be above 0")),
            Action::TopUp(tokens) => {
                row.top_up(*tokens)?;
                check_limit(row.limit)?;
            }
            Action::Lower(limit) => lower(row, *limit)?,
            Action::Size(sizing) => {
                size(row, sizing.reserve, sizing.fraction)?;
                row.revision += 1;
            }
            Action::Settle(settle) => {
                release(row, settle)?;
                row.revision += 1;
            }
        }
        Ok(())
    }
}

fn lower(row: &mut Row, limit: Tokens) -> Result<(), Failure> {
    let billed = row.breakdown().billed;
    let before = row.limit;
    match row.lower_limit(limit) {
        Ok(_) => Ok(()),
        Err(RowError::OutOfRange) => {
            let detail = format!(
                "the limit can be lowered to between {billed} (billed) and {before} tokens"
            );
            Err(refuse(Code::BadRequest, detail))
        }
        Err(refusal) => Err(refusal.into()),
    }
}

fn release(row: &mut Row, settle: &wire::Settle) -> Result<(), Failure> {
    let Some(inc) = &settle.incarnation else {
        let Some(tokens) = settle.tokens else {
            let detail = "name the incarnation of a sealed share, or the tokens in transit";
            return Err(refuse(Code::BadRequest, detail));
        };
        return Ok(row.reclaim_transit(tokens)?);
    };
    let share = row.shares.get(inc.as_str()).ok_or(RowError::NoShare)?;
    let all = share.outstanding().unwrap_or(0);
    Ok(row.release_orphaned(inc, settle.tokens.unwrap_or(all))?)
}

impl<S: Table + Objects, F: Fleet> Shared<S, F> {
    pub(super) fn budgets(&self, request: &Request) -> Answer {
        let after = key(request.text("after"));
        let mut rows = self.store.list("budget/", &after, PAGE + 1)?;
        let more = rows.len() > PAGE;
        rows.truncate(PAGE);
        let mut budgets = Vec::new();
        for row in rows {
            let id = row.key["budget/".len()..].to_string();
            budgets.push(summary(&id, &parse(row)?));
        }
        let last = budgets.last().filter(|_| more);
        Ok(Reply::ok(&wire::Budgets {
            next: last.map(|budget| budget.id.clone()),
            budgets,
        }))
    }

    pub(super) fn budget(&self, id: &str) -> Answer {
        let row = self.store.read(&key(id))?.ok_or_else(|| missing(id))?;
        let row = parse(row)?;
        let mut budget = summary(id, &row);
        budget.shares = shares(&row);
        Ok(Reply::tagged(&budget, row.revision))
    }

    pub(super) fn create_budget(&self, request: &Request, id: &str) -> Answer {
        let body: wire::NewBudget = request.parse()?;
        if !is_valid_name(id) {
            let detail = format!("{id:?} is no name of letters, digits, \"-\", \"_\" or \".\"");
            return Err(refuse(Code::BadRequest, detail));
        }
        let customer = body.customer.as_str();
        let current = config::lock_config(&self.config).current();
        if !current.customers.contains_key(customer) {
            let detail = format!("there is no customer {customer:?}");
            return Err(refuse(Code::BadRequest, detail));
        }
        check_limit(body.limit)?;
        let mut new = Row::create(customer.into(), body.limit);
        let defaults = self.options.budget_defaults;
        let reserve = u32::try_from(defaults.reserve.as_secs()).unwrap_or(LONGEST_RESERVE);
        let reserve = body.reserve.unwrap_or(reserve);
        let fraction = body.fraction.unwrap_or(defaults.draw_fraction);
        size(&mut new, Some(reserve), Some(fraction))?;
        self.record(request, id, |row| match row {
            Some(_) => {
                let detail = format!("there is a budget {id:?} already");
                Err(refuse(Code::Conflict, detail))
            }
            None => Ok(effect(id, &new)),
        })
    }

    pub(super) fn change_budget(&self, request: &Request, id: &str, action: &str) -> Answer {
        let action = Action::of(action, request)?;
        self.record(request, id, |row| {
            let mut row = parse(row.ok_or_else(|| missing(id))?)?;
            if let Some(Match::Version(seen)) = request.expect
                && seen != row.revision
            {
                let detail = format!("budget {id:?} is at revision {}", row.revision);
                return Err(refuse(Code::Conflict, detail));
            }
            action.apply(&mut row)?;
            Ok(effect(id, &row))
        })
    }

    fn record(
        &self,
        request: &Request,
        id: &str,
        change: impl FnMut(Option<store::Row>) -> Result<Effect, Failure>,
    ) -> Answer {
        let asked = Asked::of(request, key(id))?;
        let told = asked.change(&self.store, change)?;
        if !told.repeated {
            let action = request.path.join("/");
            log::info!("{}: {} {action}", request.operator, request.method);
        }
        let revision = told.answer["revision"].as_u64().unwrap_or(0);
        Ok(Reply::tagged(&told.answer, revision))
    }
}
