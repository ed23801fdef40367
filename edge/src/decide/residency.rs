//! Data residency, against requests that leave the regions in which they may be handled.

use crate::catalog::RegionId;

/// Whether a request may be handled in `region`, `None` for a data centre of no known region. `homes` are the
/// regions that its route and its customer each allow; an empty list allows all, and all lists must allow it.
///
/// # Examples
///
/// ```
/// use cuminloom_edge::{catalog::RegionId, decide::is_home_region};
///
/// let route: Vec<RegionId> = vec!["eu".into(), "us".into()];
/// let customer: Vec<RegionId> = vec!["eu".into()];
/// assert!(is_home_region([&route, &customer], Some("eu")));
/// assert!(!is_home_region([&route, &customer], Some("us")));
/// assert!(!is_home_region([&route, &[]], None));
/// ```
pub fn is_home_region(homes: [&[RegionId]; 2], region: Option<&str>) -> bool {
    homes
        .iter()
        .filter(|list| !list.is_empty())
        .all(|list| region.is_some_and(|region| list.iter().any(|home| **home == *region)))
}
