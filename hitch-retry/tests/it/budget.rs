//! Tests of the retry budget.

use hitch_retry::Bucket;
use hitch_retry::Budget;
use hitch_retry::budget::Options;

/// Guards against credit that is spent on the node's own retries and also passed downstream with calls.
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
            "{spent_milli} thousandths spent after {call} calls"
        );
    }
    assert!(
        spent_milli > 10_000 * 80,
        "only {spent_milli} thousandths of the credit could be spent"
    );
}

/// Guards against calls that carry away the credit reserved for the retries of the entry node.
#[test]
fn grants_do_not_use_the_reserve() {
    let options = Options::default();
    let mut bucket = Bucket::new(options);
    for _ in 0..10_000 {
        bucket.earn();
        bucket.grant();
    }
    assert!(bucket.milli() >= options.reserve_milli);
}

/// Guards against a budget that is spent downstream and again by the node that passed it down.
#[test]
fn answer_without_a_budget_counts_as_spent() {
    let mut budget = Budget::from_milli(1_000);
    let mut downstream = budget.hand_down();
    assert!(downstream.try_spend());
    assert!(!budget.try_spend());
    budget.take_back(None);
    assert!(!budget.try_spend());
}
