//! Tests of the retry budget.

use hitch_retry::Bucket;
use hitch_retry::Budget;
use hitch_retry::budget::Options;

/// Guards against credit that is both kept for own retries and handed down with calls.
#[test]
fn own_retries_and_grants_together_stay_within_a_tenth() {
    let mut bucket = Bucket::new(Options::default());
    let mut spent_milli = 0;
    for call in 1..=10_000_u32 {
        bucket.earn();
        spent_milli += bucket.grant().milli();
        if call % 3 == 0 && bucket.try_spend() {
            spent_milli += 1_000;
        }
        assert!(
            spent_milli <= call * 100,
            "{spent_milli} after {call} calls"
        );
    }
    assert!(
        spent_milli > 10_000 * 80,
        "only {spent_milli} of the credit is usable"
    );
}

/// Guards against calls that take down the credit needed at the first node.
#[test]
fn grants_leave_the_reserve() {
    let options = Options::default();
    let mut bucket = Bucket::new(options);
    for _ in 0..10_000 {
        bucket.earn();
        bucket.grant();
    }
    assert!(bucket.milli() >= options.reserve_milli);
}

/// Guards against a budget that is spent at one level and again above it.
#[test]
fn answer_without_a_budget_leaves_none() {
    let mut budget = Budget::from_milli(1_000);
    let mut below = budget.hand_down();
    assert!(below.try_spend());
    assert!(!budget.try_spend());
    budget.take_back(None);
    assert!(!budget.try_spend());
}
