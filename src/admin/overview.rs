//! State of the fleet and of the budgets.

use std::collections::BTreeMap;

use super::{
    budgets,
    fleet::{
        Fleet, //
        PeerStatus,
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

/// Rows read at a time.
const PAGE: usize = 500;

fn unconfirmed(peers: &[PeerStatus], version: Version) -> Vec<String> {
    let late = peers.iter().filter(|peer| peer.version < version);
    late.map(|peer| peer.daemon.to_string()).collect()
}

fn audited(audit: &Audit) -> wire::Audited {
    let signed = |number: i128| i64::try_from(number).unwrap_or(i64::MAX);
    let found = audit.discrepancies.iter();
    wire::Audited {
        budget: audit.budget.to_string(),
        billed: signed(audit.breakdown.billed),
        held: signed(audit.breakdown.held),
        orphaned: signed(audit.breakdown.orphaned),
        free: signed(audit.breakdown.free),
        discrepancies: found.map(ToString::to_string).collect(),
    }
}

impl<S: Table + Objects, F: Fleet> Shared<S, F> {
    pub(super) fn status(&self) -> Answer {
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
            unconfirmed: unconfirmed(&peers, version),
        }))
    }

    /// Answers at once; the client asks again until its own deadline, so that no worker is held.
    pub(super) fn wait(&self, request: &Request) -> Answer {
        let version = request.number("version")?;
        let detail = "name the version: config/wait?version=<number>";
        let version = version.ok_or_else(|| refuse(Code::BadRequest, detail))?;
        let mut late = unconfirmed(&self.fleet.peers(), version);
        if config::lock_config(&self.config).version() < version {
            late.insert(0, self.options.daemon.to_string());
        }
        Ok(Reply::ok(&wire::InForce {
            version,
            in_force: late.is_empty(),
            unconfirmed: late,
        }))
    }

    /// Audits all budgets. Rows and bills change while they are read, so a discrepancy counts only
    /// if a second reading shows it too.
    pub(super) fn audit(&self) -> Answer {
        let first = self.audits()?;
        let clean = |audits: &BTreeMap<BudgetId, wire::Audited>| {
            audits.values().all(|audit| audit.discrepancies.is_empty())
        };
        let audits = match clean(&first) {
            true => first,
            false => confirm(&first, self.audits()?),
        };
        Ok(Reply::ok(&wire::Audit {
            clean: clean(&audits),
            budgets: audits.into_values().collect(),
        }))
    }

    fn audits(&self) -> Result<BTreeMap<BudgetId, wire::Audited>, Failure> {
        let (mut rows, mut after) = (Vec::new(), String::new());
        loop {
            let page = self.store.list("budget/", &after, PAGE)?;
            let Some(last) = page.last() else { break };
            after = last.key.to_string();
            rows.extend(page);
        }
        let bills = self.fleet.billed_tokens()?;
        let mut audits = BTreeMap::new();
        for row in rows {
            let id: BudgetId = row.key["budget/".len()..].into();
            let none = BilledTokens::new();
            let audit = match budgets::parse(row) {
                Ok(row) => {
                    let bills = bills.get(&id).unwrap_or(&none);
                    audited(&budget::audit(&id, &row, bills, &[]))
                }
                Err(_) => unreadable(&id),
            };
            audits.insert(id, audit);
        }
        Ok(audits)
    }
}

/// Audit of a row whose figures contradict each other so far that it cannot be read.
fn unreadable(id: &BudgetId) -> wire::Audited {
    wire::Audited {
        budget: id.to_string(),
        billed: 0,
        held: 0,
        orphaned: 0,
        free: 0,
        discrepancies: vec!["the row is unreadable or its figures contradict each other".into()],
    }
}

/// The second reading, with the budgets that were clean in the first one counted as clean.
fn confirm(
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
