//! Selection of the daemons of a data centre that draw from a budget.

use sha2::{
    Digest,
    Sha256, //
};

use crate::model::{
    Incarnation,
    daemon_of, //
};

/// Most daemons of one data centre that draw from the row of a budget. With 21 data centres a row
/// then has at most 84 writers.
pub const MAX_DRAWING_DAEMONS: usize = 4;

/// Returns the drawing daemons of `budget` among the live incarnations of one data centre: the
/// first [`MAX_DRAWING_DAEMONS`] by rendezvous hash. The hash uses the daemon id and not the
/// incarnation, so that a restart does not change the selection.
///
/// # Examples
///
/// ```
/// use cuminloom::{budget::drawing_daemons, model::Incarnation};
/// let members: Vec<Incarnation> = (0..9).map(|n| format!("vm-{n}.0a").into()).collect();
/// let chosen = drawing_daemons("chat", &members);
/// assert_eq!(chosen.len(), 4);
/// // Daemons that do not draw can leave without changing the selection.
/// let rest: Vec<_> = members.iter().filter(|m| chosen.contains(m)).cloned().collect();
/// assert_eq!(drawing_daemons("chat", &rest), chosen);
/// ```
pub fn drawing_daemons(budget: &str, members: &[Incarnation]) -> Vec<Incarnation> {
    let mut ranked: Vec<_> = members
        .iter()
        .map(|inc| (rendezvous_weight(budget, daemon_of(inc)), inc))
        .collect();
    ranked.sort();
    ranked
        .into_iter()
        .rev()
        .take(MAX_DRAWING_DAEMONS)
        .map(|(_, inc)| inc.clone())
        .collect()
}

// Rendezvous weight of a daemon for a budget. It uses SHA-256, because daemons of different
// releases must compute the same weights.
fn rendezvous_weight(budget: &str, daemon: &str) -> u64 {
    let mut hash = Sha256::new();
    hash.update(budget.as_bytes());
    hash.update([0]);
    hash.update(daemon.as_bytes());
    let digest = hash.finalize();
    digest
        .iter()
        .take(8)
        .fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}
