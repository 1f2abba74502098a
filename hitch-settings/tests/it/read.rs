//! Tests of parsing.

use hitch_settings::from_bytes;
use hitch_settings::read::MAX_BYTES;
use proptest::prelude::*;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::RngSeed;

type Lists = Vec<Vec<Vec<Vec<u32>>>>;

/// Guards against files that consume excessive memory or time before parsing fails: oversized ones, ones that are not
/// UTF-8, exponentially expanding aliases and deep nesting.
#[test]
fn oversized_and_expanding_files_are_errors() {
    let mut expanding = "- &a [1,1,1,1,1,1,1,1,1,1]\n".to_owned();
    for (anchor, alias) in ["b", "c", "d", "e", "f"]
        .iter()
        .zip(["a", "b", "c", "d", "e"])
    {
        let items = vec![format!("*{alias}"); 10].join(",");
        expanding.push_str(&format!("- &{anchor} [{items}]\n"));
    }
    let cases = [
        (vec![b' '; MAX_BYTES + 1], 0),
        (b"a: 1\n\xff".to_vec(), 2),
        (expanding.into_bytes(), 4),
        ("[".repeat(60_000).into_bytes(), 1),
    ];
    for (bytes, line) in cases {
        let err = from_bytes::<Lists>("a.yaml", &bytes).unwrap_err();
        assert_eq!(err.problems()[0].line, line, "{err}");
    }
}

/// Guards against an error for many comment lines in a row, which the parser gives if it emits comments.
#[test]
fn many_comment_lines_are_allowed() {
    let comments = "  # comment\n".repeat(200);
    let text = format!("{comments}-\n{comments}  - - 1\n{comments}    - 2\n{comments}");
    let lists: Vec<Vec<Vec<u32>>> = from_bytes("a.yaml", text.as_bytes()).unwrap();
    assert_eq!(lists, [[vec![1, 2]]]);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    /// Guards against a panic, and against an error without problems, on arbitrary input.
    #[test]
    fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..512)) {
        if let Err(err) = hitch_settings::node::Settings::from_bytes("a.yaml", &bytes) {
            prop_assert!(!err.problems().is_empty());
        }
    }
}
