//! Handlers for the state of the fleet and the audit of the budgets.

use std::collections::BTreeMap;

use super::{
    budgets,
    fleet::{
        Fleet,
        PeerStatus, //
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
    budget::{
        self,
        Audit,
        BilledTokens, //
    },
    config,
    model::{
        BudgetId,
        Code,
        Version, //
    },
    store::{
        Objects,
        Table, //
    },
    wire::admin as wire,
};

/// Budget rows that one call of the store returns.
const PAGE_ROWS: usize = 500;

/// Names of the daemons that have not confirmed the version.
fn unconfirmed_daemons(peers: &[PeerStatus], version: Version) -> Vec<String> {
    let late = peers.iter().filter(|peer| peer.version < version);
    late.map(|peer| peer.daemon.to_string()).collect()
}

/// Wire form of the audit of one budget.
fn wire_audit(audit: &Audit) -> wire::Audited {
    let to_i64 = |number: i128| i64::try_from(number).unwrap_or(i64::MAX);
    let found = audit.discrepancies.iter();
    wire::Audited {
        budget: audit.budget.to_string(),
        billed: to_i64(audit.breakdown.billed),
        held: to_i64(audit.breakdown.held),
        orphaned: to_i64(audit.breakdown.orphaned),
        free: to_i64(audit.breakdown.free),
        discrepancies: found.map(ToString::to_string).collect(),
    }
}

impl<S: Table + Objects, F: Fleet> Shared<S, F> {
    /// Mode, configuration version and counts of this daemon, and the state of its peers.
    pub(super) fn show_status(&self) -> HandlerResult {
        let version = config::lock_config(&self.config).version();
        let daemon_status = self.fleet.status();
        let peers = self.fleet.peers();
        let daemons = peers.iter().map(|peer| wire::Daemon {
            daemon: peer.daemon.to_string(),
            dc: peer.dc.to_string(),
            version: peer.version,
            reachable: peer.reachable,
        });
        let figures = daemon_status.stats.into_iter();
        Ok(Reply::ok(&wire::Status {
            daemon: self.options.daemon.to_string(),
            mode: daemon_status.mode.to_string(),
            version,
            figures: figures.map(|(name, it)| (name.to_string(), it)).collect(),
            daemons: daemons.collect(),
            unconfirmed: unconfirmed_daemons(&peers, version),
        }))
    }

    /// Tells which daemons have not confirmed a version. Answers at once: the client polls until
    /// its own deadline, so no worker thread is blocked.
    pub(super) fn config_wait(&self, request: &Request) -> HandlerResult {
        let version = request.query_number("version")?;
        let detail = "the version is missing: config/wait?version=<number>";
        let version = version.ok_or_else(|| refuse(Code::BadRequest, detail))?;
        let mut late = unconfirmed_daemons(&self.fleet.peers(), version);
        if config::lock_config(&self.config).version() < version {
            late.insert(0, self.options.daemon.to_string());
        }
        Ok(Reply::ok(&wire::InForce {
            version,
            in_force: late.is_empty(),
            unconfirmed: late,
        }))
    }

    /// Audits all budgets. Rows and bills change while they are read, so a discrepancy is reported
    /// only for a budget in which a second audit finds one too.
    pub(super) fn audit(&self) -> HandlerResult {
        let first = self.audit_budgets()?;
        let clean = |audits: &BTreeMap<BudgetId, wire::Audited>| {
            audits.values().all(|audit| audit.discrepancies.is_empty())
        };
        let audits = match clean(&first) {
            true => first,
            false => keep_confirmed(&first, self.audit_budgets()?),
        };
        Ok(Reply::ok(&wire::Audit {
            clean: clean(&audits),
            budgets: audits.into_values().collect(),
        }))
    }

    /// Audits every budget once.
    fn audit_budgets(&self) -> Result<BTreeMap<BudgetId, wire::Audited>, Failure> {
        let (mut rows, mut after) = (Vec::new(), String::new());
        loop {
            let page = self.store.list("budget/", &after, PAGE_ROWS)?;
            let Some(last) = page.last() else { break };
            after = last.key.to_string();
            rows.extend(page);
        }
        let bills = self.fleet.billed_tokens()?;
        let mut audits = BTreeMap::new();
        for row in rows {
            let id: BudgetId = row.key["budget/".len()..].into();
            let none = BilledTokens::new();
            let audit = match budgets::parse_row(row) {
                Ok(row) => {
                    let bills = bills.get(&id).unwrap_or(&none);
                    wire_audit(&budget::audit(&id, &row, bills, &[]))
                }
                Err(_) => unreadable_row(&id),
            };
            audits.insert(id, audit);
        }
        Ok(audits)
    }
}

/// Audit of a budget whose row cannot be decoded, or whose figures contradict each other.
fn unreadable_row(id: &BudgetId) -> wire::Audited {
    wire::Audited {
        budget: id.to_string(),
        billed: 0,
        held: 0,
        orphaned: 0,
        free: 0,
        discrepancies: vec!["the row is unreadable or its figures contradict each other".into()],
    }
}

/// Returns the second audit without the discrepancies of budgets that were clean in the first one.
fn keep_confirmed(
    first: &BTreeMap<BudgetId, wire::Audited>,
    mut second: BTreeMap<BudgetId, wire::Audited>,
) -> BTreeMap<BudgetId, wire::Audited> {
    for (id, audit) in &mut second {
        let was_clean = first.get(id).is_none_or(|it| it.discrepancies.is_empty());
        if was_clean {
            audit.discrepancies.clear();
        }
    }
    second
}
