//! Tests of the validation of a plan.

use assert_matches::assert_matches;
use hitch_load::plan::Error;
use hitch_load::plan::from_str;

/// Guards against load that is sent to another machine, and against runs of unlimited length or
/// size.
#[test]
fn plans_beyond_the_limits_are_invalid() {
    let stream = "name: a, customer: c, rank: r, method: GET, path: /";
    let plans = [
        "{ targets: ['10.0.0.1:80'], duration_ms: 1, streams: [] }".to_owned(),
        "{ targets: [], direct: ['10.0.0.1:80'], duration_ms: 1, streams: [] }".to_owned(),
        "{ targets: [], ledgers: ['10.0.0.1:80'], duration_ms: 1, streams: [] }".to_owned(),
        "{ targets: [], duration_ms: 99999999, streams: [] }".to_owned(),
        "{ targets: [], duration_ms: 1, in_flight: 1000000, streams: [] }".to_owned(),
        "{ targets: [], duration_ms: 1, connections: 100000, streams: [] }".to_owned(),
        format!("{{ targets: [], duration_ms: 1, streams: [{{ {stream}, rate: -1 }}] }}"),
        format!("{{ targets: [], duration_ms: 1000, streams: [{{ {stream}, rate: 1.0e9 }}] }}"),
        "{ targets: [], duration_ms: 1, streams: [], compare: { pairs: 1000000 } }".to_owned(),
    ];
    for text in plans {
        let result = from_str("plan.yaml", &text);
        assert_matches!(result, Err(Error::Invalid { .. }), "{text}");
    }
}

/// Guards against a flood that names an undefined stream and so has no effect.
#[test]
fn flood_of_an_unknown_stream_is_invalid() {
    let text = "{ targets: [], duration_ms: 9, streams: [], floods: [{ name: f, stream: x, from_ms: 1, until_ms: 2, factor: 2 }] }";
    let err = from_str("plan.yaml", text).unwrap_err();
    assert!(err.to_string().contains("no stream x"), "{err}");
}
