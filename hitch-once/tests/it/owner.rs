//! Tests of the table of keys and answers.

use hitch_once::Decision;
use hitch_once::Key;
use hitch_once::KeyTable;
use hitch_once::OwnershipMap;
use hitch_once::Refusal;
use hitch_once::Source;
use hitch_once::owner::Options;

use crate::grant;
use crate::holder;
use crate::record;

const HOUR_MS: u64 = 3_600_000;

fn owned_by(instance: &str, run: u8) -> OwnershipMap {
    let mut map = OwnershipMap::new(0);
    map.mark_caught_up();
    let all = record(0, vec![grant(&holder(instance, run), 0, 100 * HOUR_MS)]);
    map.apply(0, &all, Source::Log).unwrap();
    map
}

fn table(max_keys: usize) -> KeyTable<&'static str> {
    let options = Options {
        max_keys,
        max_answer_bytes: 100,
    };
    KeyTable::new(holder("a", 2), options)
}

/// Guards against a call that runs again after it was sent to the backend server, whether its answer was
/// lost or stored.
#[test]
fn only_an_unsent_call_runs_again() {
    let (map, mut table, key) = (owned_by("a", 2), table(9), Key::generate(5, 0));
    assert_eq!(table.offer(&map, key, 1), Decision::Run);
    table.remove_unsent(key);
    assert_eq!(table.offer(&map, key, 1), Decision::Run);
    table.mark_unknown(key);
    table.remove_unsent(key);
    table.record_answer(key, "late", 1);
    assert_eq!(
        table.offer(&map, key, 1),
        Decision::Refused(Refusal::Unknown)
    );
    assert_eq!(table.offer(&map, key, 2), Decision::KeyReused);
}

/// Guards against a node that runs keys of another incarnation, or reports keys of its own previous
/// incarnation as not-run.
#[test]
fn keys_of_other_incarnations_are_refused() {
    let key = Key::generate(5, 0);
    let owner = Some(holder("b", 1));
    let refused = Decision::Refused(Refusal::NotRun { owner });
    assert_eq!(table(9).offer(&owned_by("b", 1), key, 1), refused);
    let previous = table(9).offer(&owned_by("a", 1), key, 1);
    assert_eq!(previous, Decision::Refused(Refusal::Unknown));
}

/// Guards against an evicted key that runs again. Keys are evicted by age, by number of keys and by size of
/// answers.
#[test]
fn evicted_keys_stay_refused() {
    let map = owned_by("a", 2);
    let by_age = [Key::generate(5, 0), Key::generate(HOUR_MS + 6, 0)];
    let by_number = [Key::generate(5, 0), Key::generate(6, 0)];
    for (keys, max_keys, bytes) in [(by_age, 9, 1), (by_number, 1, 1), (by_number, 9, 60)] {
        let mut table = table(max_keys);
        for key in keys {
            assert_eq!(table.offer(&map, key, 1), Decision::Run);
            table.record_answer(key, "paid", bytes);
        }
        assert_eq!((table.len(), table.watermark_ms()), (1, 6));
        assert_eq!(
            table.offer(&map, keys[0], 1),
            Decision::Refused(Refusal::Unknown)
        );
        assert_eq!(table.offer(&map, keys[1], 1), Decision::Answer("paid"));
    }
}

/// Guards against a node that runs keys after it released them to other nodes.
#[test]
fn released_keys_stay_refused() {
    let (map, mut table) = (owned_by("a", 2), table(9));
    assert_eq!(table.offer(&map, Key::generate(50, 0), 1), Decision::Run);
    assert_eq!(table.release(10).from_ms, 51);
    assert_eq!(table.release(90).from_ms, 51);
    let refused = Decision::Refused(Refusal::NotRun { owner: None });
    assert_eq!(table.offer(&map, Key::generate(51, 0), 1), refused);
    assert_eq!(table.offer(&map, Key::generate(49, 0), 1), Decision::Run);
}
