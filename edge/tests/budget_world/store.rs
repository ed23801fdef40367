//! A store that keeps rows under versions, as the platform's store does.

use std::collections::HashMap;

use cuminloom_edge::prepaid::{
    Batch,
    Commit,
    DaemonRow,
    Expect,
    Row,
    Rows,
    SumRow, //
};

/// Rows of daemons and customers in memory.
#[derive(Default)]
pub(crate) struct FakeStore {
    version: u64,
    pub(crate) daemons: HashMap<String, (u64, DaemonRow)>,
    sums: HashMap<String, (u64, SumRow)>,
}

impl FakeStore {
    fn holds(&self, expect: &Expect) -> bool {
        match expect {
            Expect::Daemon(name, v) => self.daemons.get(name).map_or(0, |r| r.0) == *v,
            Expect::Sum(name, v) => self.sums.get(name).map_or(0, |r| r.0) == *v,
        }
    }

    pub(crate) fn apply(&mut self, batch: &Batch, now: u64) -> Commit {
        if !batch.expect.iter().all(|e| self.holds(e)) {
            let rows = batch.expect.iter().filter_map(|e| self.row(e)).collect();
            return Commit::Conflict(Rows { rows, now });
        }
        self.version += 1;
        if let Some((name, row)) = &batch.daemon {
            self.daemons
                .insert(name.clone(), (self.version, row.clone()));
        }
        for (name, sum) in &batch.sums {
            self.sums.insert(name.clone(), (self.version, *sum));
        }
        Commit::Done {
            version: self.version,
            now,
        }
    }

    fn row(&self, expect: &Expect) -> Option<Row> {
        match expect {
            Expect::Daemon(name, _) => {
                let (v, row) = self.daemons.get(name)?;
                Some(Row::Daemon(name.clone(), *v, row.clone()))
            }
            Expect::Sum(name, _) => {
                let (v, sum) = self.sums.get(name)?;
                Some(Row::Sum(name.clone(), *v, *sum))
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
            .map(|(n, (v, s))| Row::Sum(n.clone(), *v, *s));
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
