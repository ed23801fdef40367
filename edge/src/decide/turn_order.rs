//! Order of the requests that wait for a turn at runners with limits, against patient requests that take the
//! turns of urgent ones.

use std::{
    collections::BTreeSet,
    sync::Arc, //
};

use crate::catalog::ServiceId;

/// Place in the order: service, rank of the request, number.
pub type TurnPlace = (ServiceId, u8, u64);

/// Requests that wait for a turn, by service: those with the lowest rank first, and of these the first come.
///
/// # Examples
///
/// ```
/// use cuminloom_edge::decide::TurnOrder;
///
/// let mut order = TurnOrder::default();
/// let patient = order.enter(&"s".into(), 2);
/// let urgent = order.enter(&"s".into(), 0);
/// assert_eq!((order.ahead(&urgent), order.ahead(&patient)), (0, 1));
/// assert_eq!(order.ahead_of_new(&"s".into(), 0), 1);
/// order.leave(&urgent);
/// assert_eq!(order.ahead(&patient), 0);
/// ```
#[derive(Debug, Default)]
pub struct TurnOrder {
    places: BTreeSet<TurnPlace>,
    last_number: u64,
}

impl TurnOrder {
    /// Adds a request of `rank` for `service`, behind those of the same rank.
    pub fn enter(&mut self, service: &ServiceId, rank: u8) -> TurnPlace {
        self.last_number += 1;
        let place = (Arc::clone(service), rank, self.last_number);
        self.places.insert(place.clone());
        place
    }

    /// Removes a request.
    pub fn leave(&mut self, place: &TurnPlace) {
        self.places.remove(place);
    }

    /// Number of waiting requests that come before `place`.
    pub fn ahead(&self, place: &TurnPlace) -> usize {
        let first = (Arc::clone(&place.0), 0, 0);
        self.places.range(first..place.clone()).count()
    }

    /// Number of waiting requests that come before a new one of `rank` for `service`.
    pub fn ahead_of_new(&self, service: &ServiceId, rank: u8) -> usize {
        self.ahead(&(Arc::clone(service), rank, u64::MAX))
    }
}
