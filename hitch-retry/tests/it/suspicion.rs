//! Tests of suspicion.

use std::time::Duration;

use hitch_retry::Evidence;
use hitch_retry::Fingerprint;
use hitch_retry::Suspicion;
use hitch_retry::suspicion::CrashedBackend;
use hitch_retry::suspicion::Verdict;
use proptest::prelude::any;
use proptest::prop_assert_eq;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRunner;

const START: Duration = Duration::ZERO;
const CULPRIT: Fingerprint = Fingerprint(1);
const INNOCENT: Fingerprint = Fingerprint(2);

fn site(instance: &str) -> CrashedBackend {
    let incarnation = [1; 16];
    CrashedBackend {
        instance: instance.into(),
        incarnation,
    }
}

/// Guards against calls that are refused because they ran beside a request that crashes backend servers.
#[test]
fn only_the_culprit_is_refused_after_two_crashes() {
    let (mut first, mut second) = (
        Suspicion::new(Default::default()),
        Suspicion::new(Default::default()),
    );
    for fingerprint in [CULPRIT, INNOCENT] {
        assert_eq!(first.begin(fingerprint, START), Verdict::Run);
    }
    for evidence in first.crashed(&site("a"), START) {
        assert!(second.merge(&evidence, START));
    }
    assert_eq!(second.begin(CULPRIT, START), Verdict::Run);
    assert_eq!(second.begin(CULPRIT, START), Verdict::Wait);
    assert_eq!(second.begin(INNOCENT, START), Verdict::Wait);
    assert_eq!(second.begin(Fingerprint(3), START), Verdict::Run);
    second.crashed(&site("b"), START);
    assert_eq!(second.begin(CULPRIT, START), Verdict::Refuse);
    assert_eq!(second.begin(INNOCENT, START), Verdict::Run);
    assert_eq!(second.begin(Fingerprint(3), START), Verdict::Wait);
}

/// Guards against a second refusal reason: two crashes of one backend server, or a crash long ago.
#[test]
fn crashes_of_one_server_or_that_lapsed_do_not_add_up() {
    let ttl = hitch_retry::suspicion::Options::default().time_to_live;
    let mut suspicion = Suspicion::new(Default::default());
    for (instance, now, crashes) in [
        ("a", START, 1),
        ("a", START, 1),
        ("b", ttl, 1),
        ("a", ttl, 1),
    ] {
        assert_eq!(suspicion.begin(CULPRIT, now), Verdict::Run);
        suspicion.crashed(&site(instance), now);
        assert_eq!(
            suspicion.crashes(CULPRIT, now),
            crashes,
            "{instance} at {now:?}"
        );
    }
}

/// Guards against an innocent request that stays suspected after it was answered, here or elsewhere.
#[test]
fn answer_clears_everywhere() {
    let (mut here, mut there) = (
        Suspicion::new(Default::default()),
        Suspicion::new(Default::default()),
    );
    here.begin(INNOCENT, START);
    let crash = here.crashed(&site("a"), START);
    there.merge(&crash[0], START);
    here.begin(INNOCENT, START);
    assert!(here.end(INNOCENT, false, START).is_empty());
    here.begin(INNOCENT, START);
    for evidence in here.end(INNOCENT, true, START) {
        assert!(there.merge(&evidence, START));
    }
    there.merge(&crash[0], START);
    assert_eq!(
        (
            here.crashes(INNOCENT, START),
            there.crashes(INNOCENT, START)
        ),
        (0, 0)
    );
}

/// Guards against nodes that disagree because evidence reached them in another order or twice, and
/// against evidence that lives on by being passed round.
#[test]
fn merge_is_independent_of_order_and_repetition() {
    let config = Config {
        rng_seed: RngSeed::Fixed(23),
        failure_persistence: None,
        ..Config::default()
    };
    let piece = (0..3_u64, 0..3_u8, any::<bool>(), 1..20_u64);
    let pieces = proptest::collection::vec(piece, 1..12);
    TestRunner::new(config)
        .run(&pieces, |pieces| {
            let pieces: Vec<Evidence> = pieces
                .into_iter()
                .map(|(fingerprint, instance, cleared, secs)| Evidence {
                    fingerprint: Fingerprint(fingerprint),
                    backend: site(&instance.to_string()),
                    cleared,
                    ttl: Duration::from_secs(secs),
                })
                .collect();
            let (mut one, mut other) = (
                Suspicion::new(Default::default()),
                Suspicion::new(Default::default()),
            );
            for evidence in &pieces {
                one.merge(evidence, START);
            }
            for evidence in pieces.iter().chain(&pieces).rev() {
                other.merge(evidence, START);
            }
            prop_assert_eq!(
                one.evidence(START).collect::<Vec<_>>(),
                other.evidence(START).collect::<Vec<_>>()
            );
            let later = Duration::from_secs(30);
            for evidence in other.evidence(START) {
                one.merge(&evidence, later);
            }
            prop_assert_eq!(one.evidence(later).count(), 0);
            Ok(())
        })
        .unwrap();
}
