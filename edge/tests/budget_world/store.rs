//! A store that keeps rows under versions, as the platform's store does.

use std::collections::HashMap;

use cuminloom_edge::prepaid::{
    Batch,
    CommitOutcome,
    CustomerRow,
    DaemonRow,
    Precondition,
    Row,
    Rows, //
};

/// Rows of daemons and customers in memory.
#[derive(Default)]
pub(crate) struct FakeStore {
    version: u64,
    pub(crate) daemons: HashMap<String, (u64, DaemonRow)>,
    sums: HashMap<String, (u64, CustomerRow)>,
}

impl FakeStore {
    fn holds(&self, expect: &Precondition) -> bool {
        match expect {
            Precondition::Daemon(name, v) => self.daemons.get(name).map_or(0, |r| r.0) == *v,
            Precondition::Customer(name, v) => self.sums.get(name).map_or(0, |r| r.0) == *v,
        }
    }

    pub(crate) fn apply(&mut self, batch: &Batch, now: u64) -> CommitOutcome {
        if !batch.preconditions.iter().all(|e| self.holds(e)) {
            let rows = batch
                .preconditions
                .iter()
                .filter_map(|e| self.row(e))
                .collect();
            return CommitOutcome::Conflict(Rows { rows, now });
        }
        self.version += 1;
        if let Some((name, row)) = &batch.daemon {
            self.daemons
                .insert(name.clone(), (self.version, row.clone()));
        }
        for (name, sum) in &batch.customers {
            self.sums.insert(name.clone(), (self.version, *sum));
        }
        CommitOutcome::Done {
            version: self.version,
            now,
        }
    }

    fn row(&self, expect: &Precondition) -> Option<Row> {
        match expect {
            Precondition::Daemon(name, _) => {
                let (v, row) = self.daemons.get(name)?;
                Some(Row::Daemon(name.clone(), *v, row.clone()))
            }
            Precondition::Customer(name, _) => {
                let (v, sum) = self.sums.get(name)?;
                Some(Row::Customer(name.clone(), *v, *sum))
            }
        }
    }

    pub(crate) fn rows(&self, now: u64) -> Rows {
        let daemons = self
            .daemons
            .iter()
            .map(|(n, (v, r))| Row::Daemon(n.clone(), *v, r.clone()));
        let sums = self
            .sums
            .iter()
            .map(|(n, (v, s))| Row::Customer(n.clone(), *v, *s));
        Rows {
            rows: daemons.chain(sums).collect(),
            now,
        }
    }

    /// Tokens of `customer` that are committed, and the sum of the daemons' caps.
    pub(crate) fn committed(&self, customer: &str) -> (u64, u64) {
        let sum = self.sums.get(customer).map_or(0, |(_, s)| s.committed);
        let caps = self
            .daemons
            .values()
            .filter_map(|(_, row)| row.grants.get(customer))
            .map(|g| g.cap)
            .sum();
        (sum, caps)
    }
}
