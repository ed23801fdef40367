//! Periodic scan of the fence rows for lost incarnations that no daemon has sealed, settled or
//! released.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::Arc,
    time::Duration,
};

use crate::{
    mirror::{
        Fence,
        Peer,
        StoreReply,
        StoreRequest,
        choose_peer, //
    },
    model::{
        Incarnation,
        daemon_of, //
    },
    store::Vm,
};

/// Time between scans of the fence rows.
const SCAN_INTERVAL: Duration = Duration::from_secs(30);
/// Rows read per page.
const PAGE_ROWS: usize = 256;

/// Incarnations that a scan found.
#[derive(Debug, Default)]
pub(super) struct ScanResult {
    /// Incarnations that this daemon has to seal, or whose budget rows it has to settle.
    pub(super) to_seal: Vec<Incarnation>,
    /// Incarnations whose orphaned tokens this daemon has to return to their budgets.
    pub(super) to_release: Vec<Incarnation>,
    /// All sealed incarnations.
    pub(super) sealed: Vec<Incarnation>,
}

/// Reads the fence rows page by page and finds incarnations that would otherwise stay unsettled: those
/// that are lost together with their witness, those whose sealer was lost before it settled the budget
/// rows, and those with orphaned tokens whose VM is gone.
#[derive(Debug)]
pub(super) struct Scan {
    vm_list_lag: Duration,
    /// Time at which each VM was last in the platform's list.
    last_listed: BTreeMap<Arc<str>, Duration>,
    /// Times of the first and the last list.
    list_times: Option<(Duration, Duration)>,
    /// Fence rows of the pages read so far.
    rows: BTreeMap<Incarnation, Fence>,
    /// Time at which each incarnation with orphaned tokens was first found. Only a list read after
    /// that time proves that its VM is gone: an older one may date from before the incarnation started.
    first_found: BTreeMap<Incarnation, Duration>,
    /// Key of the last row read; `None` before the first page.
    after: Option<Arc<str>>,
    pending: bool,
    next_scan: Duration,
}

impl Scan {
    pub(super) fn new(now: Duration, lag: Duration) -> Self {
        Self {
            vm_list_lag: lag,
            last_listed: BTreeMap::new(),
            list_times: None,
            rows: BTreeMap::new(),
            first_found: BTreeMap::new(),
            after: None,
            pending: false,
            next_scan: now + SCAN_INTERVAL,
        }
    }

    /// Records the platform's list of VMs.
    pub(super) fn record_vms(&mut self, now: Duration, vms: &[Vm]) {
        let first = self.list_times.map_or(now, |(first, _)| first);
        self.list_times = Some((first, now));
        for vm in vms {
            self.last_listed.insert(vm.name.clone(), now);
        }
        // An entry is needed only until the VM has been absent for the lag of the list.
        let lag = self.vm_list_lag;
        self.last_listed.retain(|_, seen| *seen + lag + lag >= now);
    }

    /// Whether the VM has been absent from the list since `since` for longer than the list may lag.
    fn is_vm_gone(&self, vm: &Arc<str>, since: Duration) -> bool {
        let Some((first, last)) = self.list_times else {
            return false;
        };
        let seen = self.last_listed.get(vm).copied().unwrap_or(first);
        last >= seen.max(since) + self.vm_list_lag
    }

    /// Returns the read of the next page when it is due.
    pub(super) fn poll(&mut self, now: Duration) -> Option<StoreRequest> {
        if self.pending || now < self.next_scan {
            return None;
        }
        self.pending = true;
        let after = self.after.clone().unwrap_or_else(|| "".into());
        Some(StoreRequest::List("fence/".into(), after, PAGE_ROWS))
    }

    /// Records a page of rows; after the last page returns the incarnations that were found. `peers` are
    /// the live incarnations, `me` is the own one with its location.
    pub(super) fn handle_reply(
        &mut self,
        now: Duration,
        reply: StoreReply,
        peers: &BTreeMap<Incarnation, Peer>,
        me: (&Incarnation, &Peer),
    ) -> ScanResult {
        self.pending = false;
        self.next_scan = now + SCAN_INTERVAL;
        let StoreReply::Rows(page) = reply else {
            return ScanResult::default();
        };
        for row in &page {
            let inc = row.key.strip_prefix("fence/");
            if let (Some(inc), Some(fence)) = (inc, Fence::from_value(&row.value)) {
                self.rows.insert(inc.into(), fence);
            }
        }
        if page.len() == PAGE_ROWS {
            self.after = page.last().map(|row| row.key.clone());
            self.next_scan = now;
            return ScanResult::default();
        }
        self.after = None;
        let rows = std::mem::take(&mut self.rows);
        let previous = std::mem::take(&mut self.first_found);
        let mut all = peers.clone();
        all.insert(me.0.clone(), me.1.clone());
        let live: BTreeSet<&str> = all.keys().map(|inc| daemon_of(inc)).collect();
        let lost = |inc: &Incarnation| match rows.get(inc) {
            // A live incarnation of the same daemon shows that this one was replaced.
            Some(fence) => {
                let replaced = !all.contains_key(inc) && live.contains(&*fence.daemon);
                fence.sealed.is_some() || replaced || self.is_vm_gone(&fence.vm, Duration::ZERO)
            }
            None => true,
        };
        let stuck = rows.iter().filter(|(inc, fence)| match &fence.sealed {
            Some(sealed) => !sealed.settled && lost(&sealed.by),
            None => lost(inc) && fence.witness.as_ref().is_none_or(lost),
        });
        let mine = |(inc, fence): &(&Incarnation, &Fence)| {
            let home = Peer {
                vm: fence.vm.clone(),
                dc: fence.dc.clone(),
            };
            choose_peer(inc, &home, &all, |_| true).as_ref() == Some(me.0)
        };
        let orphaned = rows.iter().filter(|(_, fence)| {
            let sealed = fence.sealed.as_ref();
            sealed.is_some_and(|s| s.settled && s.attached && !s.released)
        });
        let orphaned_since: BTreeMap<Incarnation, Duration> = orphaned
            .map(|(inc, _)| (inc.clone(), previous.get(inc).copied().unwrap_or(now)))
            .collect();
        let vm_gone = rows.iter().filter(|(inc, fence)| {
            let since = orphaned_since.get(*inc);
            since.is_some_and(|since| self.is_vm_gone(&fence.vm, *since))
        });
        let sealed = rows.iter().filter(|(_, fence)| fence.sealed.is_some());
        let found = ScanResult {
            to_seal: stuck.filter(mine).map(|(inc, _)| inc.clone()).collect(),
            to_release: vm_gone.filter(mine).map(|(inc, _)| inc.clone()).collect(),
            sealed: sealed.map(|(inc, _)| inc.clone()).collect(),
        };
        self.first_found = orphaned_since;
        found
    }
}
