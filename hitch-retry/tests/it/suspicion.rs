//! Tests of the detection of requests that crash backend servers.

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

fn crashed_backend(instance: &str) -> CrashedBackend {
    let incarnation = [1; 16];
    CrashedBackend {
        instance: instance.into(),
        incarnation,
    }
}

/// Guards against the refusal of requests that only ran at the same time as one that crashes backend
/// servers.
#[test]
fn only_the_culprit_is_refused_after_two_crashes() {
    let (mut first, mut second) = (
        Suspicion::new(Default::default()),
        Suspicion::new(Default::default()),
    );
    for fingerprint in [CULPRIT, INNOCENT] {
        assert_eq!(first.begin(fingerprint, START), Verdict::Run);
    }
    for evidence in first.crashed(&crashed_backend("a"), START) {
        assert!(second.merge(&evidence, START));
    }
    assert_eq!(second.begin(CULPRIT, START), Verdict::Run);
    assert_eq!(second.begin(CULPRIT, START), Verdict::Wait);
    assert_eq!(second.begin(INNOCENT, START), Verdict::Wait);
    assert_eq!(second.begin(Fingerprint(3), START), Verdict::Run);
    second.crashed(&crashed_backend("b"), START);
    assert_eq!(second.begin(CULPRIT, START), Verdict::Refuse);
    assert_eq!(second.begin(INNOCENT, START), Verdict::Run);
    assert_eq!(second.begin(Fingerprint(3), START), Verdict::Wait);
}

/// Guards against a refusal after two crashes of one backend server, or because of a crash whose evidence
/// has expired.
#[test]
fn crashes_of_one_server_and_expired_crashes_do_not_add_up() {
    let ttl = hitch_retry::suspicion::Options::default().evidence_ttl;
    let mut suspicion = Suspicion::new(Default::default());
    for (instance, now, crashes) in [
        ("a", START, 1),
        ("a", START, 1),
        ("b", ttl, 1),
        ("a", ttl, 1),
    ] {
        assert_eq!(suspicion.begin(CULPRIT, now), Verdict::Run);
        suspicion.crashed(&crashed_backend(instance), now);
        assert_eq!(
            suspicion.crashes(CULPRIT, now),
            crashes,
            "{instance} at {now:?}"
        );
    }
}

/// Guards against a request that remains a suspect after it was answered, at the same node or at a peer.
#[test]
fn answer_clears_the_request_at_every_node() {
    let (mut local, mut remote) = (
        Suspicion::new(Default::default()),
        Suspicion::new(Default::default()),
    );
    local.begin(INNOCENT, START);
    let crash = local.crashed(&crashed_backend("a"), START);
    remote.merge(&crash[0], START);
    local.begin(INNOCENT, START);
    assert!(local.end(INNOCENT, false, START).is_empty());
    local.begin(INNOCENT, START);
    for evidence in local.end(INNOCENT, true, START) {
        assert!(remote.merge(&evidence, START));
    }
    remote.merge(&crash[0], START);
    assert_eq!(
        (
            local.crashes(INNOCENT, START),
            remote.crashes(INNOCENT, START)
        ),
        (0, 0)
    );
}

/// Guards against nodes that disagree because evidence reached them in another order or twice, and
/// against evidence that never expires because nodes keep sending it to each other.
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
                    backend: crashed_backend(&instance.to_string()),
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
