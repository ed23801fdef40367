//! Data centres that the operator has evacuated: their runners get no requests.

use std::collections::BTreeSet;

use super::ZoneId;
use crate::adapter::StoreVersion;

/// Evacuation of a data centre, or its return to service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationChange {
    /// The data centre.
    pub zone: ZoneId,
    /// Whether it is evacuated from now on.
    pub evacuated: bool,
}

/// The evacuated data centres as of one version of the store.
///
/// States of an older version never replace a newer one, whether they come from the store or from another
/// daemon.
///
/// # Examples
///
/// ```
/// use cuminloom_edge::{adapter::StoreVersion, catalog::{EvacuationChange, Evacuations}};
///
/// let at = |era, number| StoreVersion { era, number };
/// let mut evacuations = Evacuations::default();
/// let change = EvacuationChange { zone: "z-1".into(), evacuated: true };
/// evacuations.update(vec![change], at(1, 7));
/// assert!(evacuations.contains("z-1"));
/// // A daemon that has missed the change reports an older state.
/// assert!(evacuations.replace(Vec::new(), at(1, 6)).is_empty());
/// assert!(evacuations.contains("z-1"));
/// // The store came back from a copy, and the operator has ended it since.
/// assert_eq!(evacuations.replace(Vec::new(), at(2, 3)).len(), 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    /// Version of the store for which the data centres are complete; `None` before the first state.
    version: Option<StoreVersion>,
    zones: BTreeSet<ZoneId>,
}

impl Evacuations {
    /// Replaces the state by the complete one of `version`, unless a newer one is known. Returns what has
    /// changed.
    pub fn replace(
        &mut self,
        zones: impl IntoIterator<Item = ZoneId>,
        version: StoreVersion,
    ) -> Vec<EvacuationChange> {
        if self.is_newer_than(version) {
            return Vec::new();
        }
        let old = std::mem::replace(&mut self.zones, zones.into_iter().collect());
        self.version = Some(version);
        let returned = old.difference(&self.zones).map(|zone| (zone, false));
        let begun = self.zones.difference(&old).map(|zone| (zone, true));
        returned
            .chain(begun)
            .map(|(zone, evacuated)| EvacuationChange {
                zone: zone.clone(),
                evacuated,
            })
            .collect()
    }

    /// Adds `zones` to the state, as the complete one of `version` but for data centres whose evacuation the store may
    /// have lost. Returns what has changed.
    pub fn extend(
        &mut self,
        zones: impl IntoIterator<Item = ZoneId>,
        version: StoreVersion,
    ) -> Vec<EvacuationChange> {
        let all: Vec<ZoneId> = self.zones.iter().cloned().chain(zones).collect();
        self.replace(all, version)
    }

    /// Applies all changes up to `version` in their order, unless a newer state is known. Returns those that
    /// change something.
    pub fn update(
        &mut self,
        changes: impl IntoIterator<Item = EvacuationChange>,
        version: StoreVersion,
    ) -> Vec<EvacuationChange> {
        let mut zones = self.zones.clone();
        for change in changes {
            if change.evacuated {
                zones.insert(change.zone);
            } else {
                zones.remove(&change.zone);
            }
        }
        self.replace(zones, version)
    }

    /// Whether a state newer than `version` is known.
    fn is_newer_than(&self, version: StoreVersion) -> bool {
        self.version.is_some_and(|known| version < known)
    }

    /// Whether `zone` is evacuated.
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.contains(zone)
    }

    /// The evacuated data centres.
    pub fn zones(&self) -> impl Iterator<Item = &ZoneId> {
        self.zones.iter()
    }

    /// Version of the store up to which the state is complete; `None` before the first state.
    pub fn version(&self) -> Option<StoreVersion> {
        self.version
    }
}
