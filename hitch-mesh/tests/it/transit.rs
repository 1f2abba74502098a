//! Tests of the time that calls were on their way.

use std::time::Duration;

use hitch_mesh::transit::Transit;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against a call that waited behind a narrow link or a frozen node and runs after its caller has left.
#[test]
fn delay_beyond_the_smallest_is_found_with_any_clocks() {
    for offset in [0, 40, 1_000_000] {
        let mut transit = Transit::default();
        assert_eq!(transit.held_up(ms(500), ms(offset + 503)), ms(0));
        assert_eq!(transit.held_up(ms(600), ms(offset + 601)), ms(0));
        assert_eq!(transit.held_up(ms(700), ms(offset + 2_201)), ms(1_500));
        assert_eq!(transit.held_up(ms(2_300), ms(offset + 2_302)), ms(1));
    }
    // A receiver that started after the sender has the smaller clock.
    let mut transit = Transit::default();
    transit.held_up(ms(90_000), ms(10));
    assert_eq!(transit.held_up(ms(91_000), ms(1_310)), ms(300));
}
