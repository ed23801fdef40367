//! When an overloaded VM leaves the rotation of the load balancer.

use std::time::Duration;

use super::super::FleetTime;

/// Time for which a VM is out of the rotation. The load balancer asks once a second, and needs two responses.
const OUT_MS: FleetTime = 3000;

/// Slots of a cycle, each as long as [`OUT_MS`]: a VM is out for one of them, less than an eighth of the time.
const SLOTS: u64 = 9;

/// Latest time in its slot at which a VM leaves. Later ones would not suffice for two responses.
const LEAVE_WITHIN_MS: FleetTime = 400;

/// Daemons of a data centre from which one may leave: more than half of them must stay.
const MIN_MEMBERS: usize = 3;

/// Time for which requests must have been refused.
const MIN_OVERLOAD: Duration = Duration::from_secs(4);

/// Share of refused requests from which new connections are kept away. Refusals alone suffice below it.
const MIN_REFUSED: f64 = 0.4;

/// Whether a VM is out of the rotation. The VMs of a data centre take turns by their ranks, so that they never
/// leave together.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cuminloom_edge::decide::Rotation;
///
/// let mut rotation = Rotation::default();
/// let overload = Some(Duration::from_secs(10));
/// // The slots of the first of four VMs begin every 27 s.
/// assert!(rotation.is_out(27_000, (0, 4), overload, 0.9));
/// assert!(rotation.is_out(29_900, (0, 4), None, 0.0));
/// assert!(!rotation.is_out(30_000, (0, 4), overload, 0.9));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Rotation {
    /// Slot in which the VM is out.
    out_in: Option<u64>,
}

impl Rotation {
    /// Whether the VM is out of the rotation at `now`. `place` is its rank among the daemons of its data centre
    /// that run, and their number; `overload` and `refused` are the time for which requests have been refused
    /// and their share.
    pub fn is_out(
        &mut self,
        now: FleetTime,
        place: (usize, usize),
        overload: Option<Duration>,
        refused: f64,
    ) -> bool {
        let slot = now / OUT_MS;
        if self.out_in == Some(slot) {
            return true;
        }
        let (rank, members) = place;
        let own = slot % SLOTS == rank as u64 % SLOTS && now % OUT_MS <= LEAVE_WITHIN_MS;
        let lasting = overload.is_some_and(|time| time >= MIN_OVERLOAD);
        let leaves = own && lasting && refused >= MIN_REFUSED && members >= MIN_MEMBERS;
        self.out_in = leaves.then_some(slot);
        leaves
    }
}
