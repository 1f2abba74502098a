//! Tests of a node that joins the others.

use std::time::Duration;

use hitch_share::Options;
use hitch_share::Share;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const MILLI: Duration = Duration::from_millis(1);
const LIMIT: f64 = 2_000.0;

/// Returns whether a node without peers admits a call that is offered as soon as a condition holds.
fn first_call(phase: Duration, may_call: impl Fn(&Share, Duration) -> bool) -> bool {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let options = Options::default();
    let mut share = Share::new(Duration::ZERO, "ledger-1", 1, options.clone());
    let fees = share.set_limit(Duration::ZERO, "association", "fee", LIMIT);
    let mut next_tick = phase;
    let mut now = Duration::ZERO;
    while !may_call(&share, now) {
        now += MILLI;
        if now >= next_tick {
            share.tick(now, &mut rng);
            // Timers fire slightly late.
            next_tick = now + options.tick + MILLI;
        }
    }
    share.admit(now + MILLI, fees)
}

/// Guards against a node that counts as ready and refuses its first call because its bucket is empty.
#[test]
fn node_that_has_joined_admits_its_first_call() {
    let phases = (0..40).map(|i| i * 5 * MILLI);
    let mut refused_early = 0;
    for phase in phases {
        assert!(
            first_call(phase, |share, _| share.has_joined()),
            "{phase:?}"
        );
        refused_early += u32::from(!first_call(phase, Share::has_base_share));
    }
    // The base share alone does not suffice.
    assert!(refused_early > 0);
}
