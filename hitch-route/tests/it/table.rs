//! Tests of the route table.

use assert_matches::assert_matches;
use hitch_route::Table;
use hitch_route::table::Error;

use crate::state;

/// Guards against a short prefix that shadows a longer one, and against a prefix that matches a part of a
/// path segment.
#[test]
fn longest_prefix_on_whole_segments_wins() {
    let table = Table::compile(&state(&[("GET", "/x", "s"), ("GET", "/x/y", "t")]));
    assert_eq!(
        &*table.try_find("a", "GET", "/x/y/z").unwrap().route.service,
        "t"
    );
    assert_eq!(
        &*table.try_find("a", "GET", "/x/yy").unwrap().route.service,
        "s"
    );
    assert_matches!(table.try_find("a", "GET", "/xy"), Err(Error::NoRoute));
    assert_matches!(table.try_find("a", "POST", "/x"), Err(Error::WrongMethod));
}

/// Guards against an active route to a service without a known backend server.
#[test]
fn route_to_missing_service_is_inactive() {
    let table = Table::compile(&state(&[("GET", "/x", "s"), ("GET", "/y", "t")]));
    let table = table.with_services(|s| s == "s");
    assert_matches!(table.try_find("a", "GET", "/x"), Ok(_));
    assert_matches!(table.try_find("a", "GET", "/y"), Err(Error::Inactive));
    assert!(table.inactive_matches(|s| s == "s"));
    assert!(!table.inactive_matches(|_| true));
}
