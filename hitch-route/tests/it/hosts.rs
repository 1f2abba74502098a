//! Tests of routes by host and prefix.

use std::time::Duration;

use hitch_route::hosts::Config;
use hitch_route::hosts::Limits;
use hitch_route::hosts::Route;
use hitch_route::hosts::Table;
use hitch_route::hosts::WeightedRoundRobin;
use hitch_route::hosts::WeightedService;

fn part(service: &str, weight: u32) -> WeightedService {
    WeightedService {
        service: service.into(),
        weight,
    }
}

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        idempotent: true,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(100),
        priority: 0,
        max_attempts: 2,
        split: vec![part("s", 1)],
    }
}

fn table(routes: Vec<Route>) -> Table {
    Table::new(Config {
        version: 1,
        routes,
        services: Default::default(),
        limits: Limits {
            max_head_bytes: 1,
            max_body_bytes: 1,
            head_timeout: Duration::ZERO,
            idle_timeout: Duration::ZERO,
        },
    })
}

fn name<'a>(table: &'a Table, host: &str, path: &str) -> Option<&'a str> {
    table.try_find(host, path).map(|r| &*r.name)
}

/// Guards against a shorter prefix that hides a longer one, and against routes of another host.
#[test]
fn longest_prefix_of_the_host_wins() {
    let table = table(vec![
        route("all", "a", "/"),
        route("deep", "a", "/x/y/"),
        route("mid", "a", "/x/"),
        route("other", "b", "/x/y/z/"),
    ]);
    assert_eq!(name(&table, "a", "/x/y/z/1"), Some("deep"));
    assert_eq!(name(&table, "a", "/x/1"), Some("mid"));
    assert_eq!(name(&table, "a", "/xy"), Some("all"));
    assert_eq!(name(&table, "A:80", "/x/y"), Some("mid"));
    assert_eq!(name(&table, "b", "/x/y/"), None);
    assert_eq!(name(&table, "c", "/"), None);
}

/// Guards against a division that drifts from the weights, or starves a part at a change of them.
#[test]
fn division_follows_the_weights_at_any_time() {
    let mut divider = WeightedRoundRobin::default();
    let split = [part("a", 70), part("b", 25), part("c", 5), part("d", 0)];
    let mut counts = [0i32; 3];
    for n in 1..=400 {
        match divider.next(&split) {
            Some("a") => counts[0] += 1,
            Some("b") => counts[1] += 1,
            Some("c") => counts[2] += 1,
            other => panic!("{other:?} has no weight"),
        }
        for (count, weight) in counts.iter().zip([70, 25, 5]) {
            assert!((count * 100 - n * weight).abs() <= 150, "{counts:?} of {n}");
        }
    }
    let changed = [part("a", 1), part("e", 1)];
    let to_e = (0..10).filter(|_| divider.next(&changed) == Some("e"));
    assert!((4..=6).contains(&to_e.count()));
    assert_eq!(divider.next(&[part("a", 0), part("b", 0)]), None);
}
