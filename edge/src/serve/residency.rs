//! Keeps requests in the regions in which they may be handled.

use std::{
    collections::HashMap,
    sync::Arc, //
};

use super::{
    Core,
    call::Call, //
};
use crate::{
    catalog::{
        RegionId,
        Runner, //
    },
    decide::is_home_region,
};

impl<D> Core<D> {
    /// Sets the region of each data centre.
    pub fn set_regions(&self, regions: HashMap<String, RegionId>) {
        *self.regions.borrow_mut() = regions;
    }

    /// Whether the request may be handled by `runner`.
    pub(super) fn is_allowed_region(&self, call: &Call, runner: &Runner) -> bool {
        let regions = self.regions.borrow();
        let region = regions.get(&*runner.zone).map(Arc::as_ref);
        is_home_region(call.homes(), region)
    }
}

impl Call {
    /// Regions that the route and the customer each allow; empty for all.
    fn homes(&self) -> [&[RegionId]; 2] {
        let customer = self.customer.as_ref().map(|c| &*c.homes);
        [&self.route.homes, customer.unwrap_or_default()]
    }

    /// Whether the request may not be handled in all regions.
    pub(super) fn has_homes(&self) -> bool {
        self.homes().iter().any(|list| !list.is_empty())
    }
}
