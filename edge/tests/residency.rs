//! Requests that may be handled only in some regions.

use cuminloom_edge::{
    catalog::RegionId,
    decide::is_home_region, //
};

fn homes(names: &[&str]) -> Vec<RegionId> {
    names.iter().map(|n| RegionId::from(*n)).collect()
}

/// The lists of route and customer are united, or an empty intersection counts as no restriction.
#[test]
fn the_intersection_of_route_and_customer_counts() {
    let cases: [(&[&str], &[&str], &[&str]); 5] = [
        (&[], &[], &["a", "b", "c"]),
        (&["a", "b"], &[], &["a", "b"]),
        (&[], &["c"], &["c"]),
        (&["a", "b"], &["b", "c"], &["b"]),
        (&["a"], &["b"], &[]),
    ];
    for (route, customer, expected) in cases {
        let lists = (homes(route), homes(customer));
        let allowed = ["a", "b", "c"].map(|r| is_home_region([&lists.0, &lists.1], Some(r)));
        assert_eq!(allowed, ["a", "b", "c"].map(|r| expected.contains(&r)));
        let unknown = is_home_region([&lists.0, &lists.1], None);
        assert_eq!(unknown, route.is_empty() && customer.is_empty());
    }
}
