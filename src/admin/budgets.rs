//! Handlers for budgets: list, show, create, top up, lower, size and settle.

use serde_json::Value;

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
    request::{
        Precondition,
        Request, //
    },
    server::Shared,
};
use crate::{
    budget::{
        Row,
        RowError, //
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
const MAX_PAGE: usize = 100;
/// Highest limit of a budget; token counts of the API are signed 64-bit numbers.
const MAX_LIMIT_TOKENS: Tokens = 1 << 62;
/// Longest `reserve` of a budget: one week.
const MAX_RESERVE_S: u32 = 604_800;

/// Key of the row of a budget.
fn row_key(id: &str) -> String {
    format!("budget/{id}")
}

/// Converts to the nearest number that 64 bits hold.
fn to_i64(number: i128) -> i64 {
    i64::try_from(number).unwrap_or(if number < 0 { i64::MIN } else { i64::MAX })
}

/// Wire form of a budget without its shares.
fn wire_budget(id: &str, row: &Row) -> wire::Budget {
    let breakdown = row.breakdown();
    let pending = Tokens::try_from(-breakdown.free).unwrap_or(0);
    wire::Budget {
        id: id.into(),
        customer: row.customer.to_string(),
        limit: row.limit,
        in_force: row.limit.saturating_add(pending),
        pending,
        revision: row.revision,
        billed: to_i64(breakdown.billed),
        held: to_i64(breakdown.held),
        transit: to_i64(row.in_transit()),
        orphaned: to_i64(breakdown.orphaned),
        free: to_i64(breakdown.free),
        reserve: row.reserve_s,
        fraction: row.draw_fraction,
        shares: Vec::new(),
    }
}

/// Wire form of the shares of a budget.
fn wire_shares(row: &Row) -> Vec<wire::Share> {
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

/// Decodes a row of the table.
pub(super) fn parse_row(row: store::Row) -> Result<Row, Failure> {
    Ok(Row::try_from(row.value)?)
}

fn not_found(id: &str) -> Failure {
    refuse(Code::NotFound, format!("there is no budget {id:?}"))
}

/// Update that writes the row and answers with the budget.
fn row_update(id: &str, row: &Row) -> RowUpdate {
    RowUpdate {
        value: Value::from(row),
        answer: serde_json::to_value(wire_budget(id, row)).expect("wire types have string keys"),
    }
}

fn check_limit(limit: Tokens) -> Result<(), Failure> {
    if limit <= MAX_LIMIT_TOKENS {
        return Ok(());
    }
    let detail =
        format!("the limit would be {limit} tokens; at most {MAX_LIMIT_TOKENS} are allowed");
    Err(refuse(Code::BadRequest, detail))
}

/// Changes the sizing that is given, and checks the result.
fn set_sizing(row: &mut Row, reserve: Option<u32>, fraction: Option<f64>) -> Result<(), Failure> {
    row.reserve_s = reserve.unwrap_or(row.reserve_s);
    row.draw_fraction = fraction.unwrap_or(row.draw_fraction);
    if !(1..=MAX_RESERVE_S).contains(&row.reserve_s) {
        let detail = format!("reserve must be from 1 to {MAX_RESERVE_S} seconds");
        return Err(refuse(Code::BadRequest, detail));
    }
    if !(row.draw_fraction > 0.0 && row.draw_fraction <= 1.0) {
        let detail = "fraction must be above 0 and at most 1";
        return Err(refuse(Code::BadRequest, detail));
    }
    Ok(())
}

/// A parsed `POST` to a budget.
enum Action {
    TopUp(Tokens),
    Lower(Tokens),
    Size(wire::Sizing),
    Settle(wire::Settle),
}

impl Action {
    /// Parses the action `name` and the body of the request.
    fn parse(name: &str, request: &Request) -> Result<Self, Failure> {
        Ok(match name {
            "topup" => Action::TopUp(request.parse_body::<wire::TopUp>()?.tokens),
            "lower" => Action::Lower(request.parse_body::<wire::Lower>()?.limit),
            "sizing" => Action::Size(request.parse_body()?),
            "settle" => Action::Settle(request.parse_body()?),
            _ => {
                let detail =
                    format!("budgets support topup, lower, sizing and settle, not {name:?}");
                return Err(refuse(Code::NotFound, detail));
            }
        })
    }

    /// Applies the action to the row. Each action advances the revision.
    fn apply(&self, row: &mut Row) -> Result<(), Failure> {
        match self {
            Action::TopUp(0) => return Err(refuse(Code::BadRequest, "tokens must be above 0")),
            Action::TopUp(tokens) => {
                row.top_up(*tokens)?;
                check_limit(row.limit)?;
            }
            Action::Lower(limit) => lower_limit(row, *limit)?,
            Action::Size(sizing) => {
                set_sizing(row, sizing.reserve, sizing.fraction)?;
                row.revision += 1;
            }
            Action::Settle(settle) => {
                settle_tokens(row, settle)?;
                row.revision += 1;
            }
        }
        Ok(())
    }
}

fn lower_limit(row: &mut Row, limit: Tokens) -> Result<(), Failure> {
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
        Err(err) => Err(err.into()),
    }
}

/// Releases orphaned tokens of a sealed share, or tokens in transit when no share is named.
fn settle_tokens(row: &mut Row, settle: &wire::Settle) -> Result<(), Failure> {
    let Some(inc) = &settle.incarnation else {
        let Some(tokens) = settle.tokens else {
            let detail =
                "name the incarnation of a sealed share, or the number of tokens in transit";
            return Err(refuse(Code::BadRequest, detail));
        };
        return Ok(row.reclaim_transit(tokens)?);
    };
    let share = row.shares.get(inc.as_str()).ok_or(RowError::NoShare)?;
    let outstanding = share.outstanding().unwrap_or(0);
    Ok(row.release_orphaned(inc, settle.tokens.unwrap_or(outstanding))?)
}

impl<S: Table + Objects, F: Fleet> Shared<S, F> {
    /// One page of the budgets, in the order of their names.
    pub(super) fn list_budgets(&self, request: &Request) -> HandlerResult {
        let after = row_key(request.query_text("after"));
        let mut rows = self.store.list("budget/", &after, MAX_PAGE + 1)?;
        let more = rows.len() > MAX_PAGE;
        rows.truncate(MAX_PAGE);
        let mut budgets = Vec::new();
        for row in rows {
            let id = row.key["budget/".len()..].to_string();
            budgets.push(wire_budget(&id, &parse_row(row)?));
        }
        let last = budgets.last().filter(|_| more);
        Ok(Reply::ok(&wire::Budgets {
            next: last.map(|budget| budget.id.clone()),
            budgets,
        }))
    }

    /// One budget with its shares.
    pub(super) fn show_budget(&self, id: &str) -> HandlerResult {
        let row = self
            .store
            .read(&row_key(id))?
            .ok_or_else(|| not_found(id))?;
        let row = parse_row(row)?;
        let mut budget = wire_budget(id, &row);
        budget.shares = wire_shares(&row);
        Ok(Reply::with_etag(&budget, row.revision))
    }

    /// Creates a budget of a customer that is configured.
    pub(super) fn create_budget(&self, request: &Request, id: &str) -> HandlerResult {
        let body: wire::NewBudget = request.parse_body()?;
        if !is_valid_name(id) {
            let detail =
                format!("{id:?} is not a valid name: use letters, digits, \"-\", \"_\" or \".\"");
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
        let reserve = u32::try_from(defaults.reserve.as_secs()).unwrap_or(MAX_RESERVE_S);
        let reserve = body.reserve.unwrap_or(reserve);
        let fraction = body.fraction.unwrap_or(defaults.draw_fraction);
        set_sizing(&mut new, Some(reserve), Some(fraction))?;
        self.change_recorded(request, id, |row| match row {
            Some(_) => {
                let detail = format!("budget {id:?} already exists");
                Err(refuse(Code::Conflict, detail))
            }
            None => Ok(row_update(id, &new)),
        })
    }

    /// Applies an action to a budget, once for each request id.
    pub(super) fn change_budget(&self, request: &Request, id: &str, action: &str) -> HandlerResult {
        let action = Action::parse(action, request)?;
        self.change_recorded(request, id, |row| {
            let mut row = parse_row(row.ok_or_else(|| not_found(id))?)?;
            if let Some(Precondition::Version(revision)) = request.precondition
                && revision != row.revision
            {
                let detail = format!("budget {id:?} is at revision {}", row.revision);
                return Err(refuse(Code::Conflict, detail));
            }
            action.apply(&mut row)?;
            Ok(row_update(id, &row))
        })
    }

    /// Changes the row of a budget and records the result under the request id.
    fn change_recorded(
        &self,
        request: &Request,
        id: &str,
        change: impl FnMut(Option<store::Row>) -> Result<RowUpdate, Failure>,
    ) -> HandlerResult {
        let recorded = IdempotentRequest::new(request, row_key(id))?;
        let result = recorded.execute(&self.store, change)?;
        if !result.is_repeat {
            let action = request.path.join("/");
            log::info!("operator {}: {} {action}", request.operator, request.method);
        }
        let revision = result.answer["revision"].as_u64().unwrap_or(0);
        Ok(Reply::with_etag(&result.answer, revision))
    }
}
