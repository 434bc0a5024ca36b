//! Requests that change the region of their object.

use coltsfootkeel_steering::SpillBudget;

/// Guards against a full region whose requests all leave it at once.
#[test]
fn few_requests_leave_their_region() {
    let budget = SpillBudget::default();
    assert!(!budget.has_spill());
    let mut spills = 0;
    for _ in 0..1_000 {
        budget.count_request();
        if budget.has_spill() {
            budget.charge();
            spills += 1;
        }
    }
    assert!((25..=35).contains(&spills), "{spills}");
}
