//! Tests of ownership records.

use assert_matches::assert_matches;
use hitch_once::Record;
use hitch_once::record::Error;
use hitch_once::record::MAX_GRANT_AHEAD_MS;

use crate::grant;
use crate::holder;
use crate::record;

/// Guards against a record that encoding and decoding change.
#[test]
fn record_survives_encoding() {
    let mut record = record(3, vec![grant(&holder("a", 0xfe), 5, 9)]);
    record.release = Some(hitch_once::record::Release {
        from_ms: 4,
        holder: holder("b", 1),
    });
    assert_eq!(Record::from_bytes(&record.to_bytes()).unwrap(), record);
}

/// Guards against grants with invalid ranges, and against grants beyond the bound on which readers of a
/// trimmed log rely.
#[test]
fn invalid_grants_are_refused() {
    let empty = record(0, vec![grant(&holder("a", 1), 9, 9)]);
    assert_matches!(
        Record::from_bytes(&empty.to_bytes()),
        Err(Error::InvalidGrant { index: 0 })
    );
    let mut wide = record(0, vec![grant(&holder("a", 1), 5, 9)]);
    wide.grants[0].last_bucket = 64;
    assert_matches!(
        Record::from_bytes(&wide.to_bytes()),
        Err(Error::InvalidGrant { index: 0 })
    );
    let far = record(0, vec![grant(&holder("a", 1), 5, MAX_GRANT_AHEAD_MS + 8)]);
    assert_matches!(Record::from_log(&far.to_bytes(), 8), Ok(_));
    assert_matches!(
        Record::from_log(&far.to_bytes(), 7),
        Err(Error::TooFarAhead { .. })
    );
}
