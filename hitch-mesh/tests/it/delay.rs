//! Tests of the delay estimate.

use std::time::Duration;

use hitch_mesh::delay::DelayEstimator;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against a call that was delayed by a narrow link or a frozen node and runs after its caller has left.
#[test]
fn excess_delay_is_independent_of_the_clock_offset() {
    for offset in [0, 40, 1_000_000] {
        let mut estimator = DelayEstimator::default();
        assert_eq!(estimator.excess_delay(ms(500), ms(offset + 503)), ms(0));
        assert_eq!(estimator.excess_delay(ms(600), ms(offset + 601)), ms(0));
        assert_eq!(
            estimator.excess_delay(ms(700), ms(offset + 2_201)),
            ms(1_500)
        );
        assert_eq!(estimator.excess_delay(ms(2_300), ms(offset + 2_302)), ms(1));
    }
    // The receiver's clock is behind the sender's if the receiver started later.
    let mut estimator = DelayEstimator::default();
    estimator.excess_delay(ms(90_000), ms(10));
    assert_eq!(estimator.excess_delay(ms(91_000), ms(1_310)), ms(300));
}
