//! Validation of a contract.

use std::collections::BTreeSet;
use std::ops::RangeInclusive;
use std::time::Duration;

use hitch_settings::Field;
use hitch_settings::Report;
use hitch_settings::report::Scope;

use crate::model::Contract;
use crate::model::Rank;
use crate::model::Route;
use crate::model::Service;
use crate::model::WhenStale;
use crate::read::RawContract;
use crate::read::RawRank;
use crate::read::RawRoute;
use crate::read::RawService;
use crate::read::RawWhenStale;

/// Bounds of `lands_within`. Dissemination takes a few exchanges between nodes even without load.
const LANDS_WITHIN: RangeInclusive<Duration> =
    Duration::from_millis(100)..=Duration::from_secs(3600);
/// Bounds of `stale_after`. Readers confirm the end of the log about once a second.
const STALE_AFTER: RangeInclusive<Duration> =
    Duration::from_secs(1)..=Duration::from_secs(24 * 3600);
/// Bounds of `key_interval`. Each service appends two ownership records per interval, and the log
/// accepts several hundred appends a second for all services together.
const KEY_INTERVAL: RangeInclusive<Duration> = Duration::from_secs(1)..=Duration::from_secs(3600);
/// Bounds of `deadline` and `target_latency`.
const CALL_TIME: RangeInclusive<Duration> = Duration::from_millis(1)..=Duration::from_secs(60);
/// Default of `stale_after` and `key_interval`.
const DEFAULT_INTERVAL: Duration = Duration::from_secs(60);
/// Bounds of `worth`. A call with a worth of 0 would always be shed under overload.
const WORTH: RangeInclusive<u32> = 1..=1_000_000;
/// Bounds of `slots`.
const SLOTS: RangeInclusive<u32> = 1..=65_535;
/// Maximum number of connections of a backend server: the number of TCP ports of one peer address.
const MAX_CONNECTIONS: u32 = 65_535;
/// Maximum length of the path of a route, in bytes; a request head is limited to 16 KiB in total.
const MAX_PATH_BYTES: usize = 1024;
/// Maximum length of the method of a route, in bytes.
const MAX_METHOD_BYTES: usize = 32;

/// Validates a contract and adds every problem found to `report`.
pub(crate) fn check(raw: RawContract, report: &mut Report) -> Contract {
    let ranks = ranks(&raw, report);
    let services = services(&raw, report);
    let routes = routes(&raw, &services, report);
    let mut scope = report.scope("", 0);
    Contract {
        customer: scope.name(&raw.customer, "customer"),
        lands_within: scope.duration(&raw.lands_within, "lands_within", &LANDS_WITHIN),
        stale_after: duration_or_default(&mut scope, &raw.stale_after, "stale_after", &STALE_AFTER),
        when_stale: match raw.when_stale.value {
            Some(RawWhenStale::Refuse) => WhenStale::Refuse,
            Some(RawWhenStale::Serve) | None => WhenStale::Serve,
        },
        key_interval: duration_or_default(
            &mut scope,
            &raw.key_interval,
            "key_interval",
            &KEY_INTERVAL,
        ),
        ranks,
        services,
        routes,
    }
}

fn duration_or_default(
    scope: &mut Scope<'_>,
    raw: &Field<Box<str>>,
    field: &str,
    allowed: &RangeInclusive<Duration>,
) -> Duration {
    match raw.absent {
        true => DEFAULT_INTERVAL,
        false => scope.duration(raw, field, allowed),
    }
}

fn ranks(raw: &RawContract, report: &mut Report) -> Vec<Rank> {
    let mut scope = report.scope("", 0);
    let Some(list) = scope.required(&raw.ranks, "ranks") else {
        return Vec::new();
    };
    if list.is_empty() {
        scope.add(raw.ranks.line, "ranks", "no ranks", "at least one rank");
    }
    let mut out = Vec::new();
    let mut seen = BTreeSet::new();
    let mut total = 0;
    for field in list {
        let Some(raw) = &field.value else {
            continue;
        };
        let mut scope = report.scope("ranks", field.line);
        let rank = rank(raw, &mut scope);
        check_unique(&mut scope, &raw.name, "name", &mut seen);
        total += u32::from(rank.share_percent);
        if total > 100 {
            let value = format!("{total}% in total");
            scope.add(raw.share.line, "share", &value, "at most 100% in total");
        }
        out.push(rank);
    }
    out
}

fn rank(raw: &RawRank, scope: &mut Scope<'_>) -> Rank {
    Rank {
        name: scope.name(&raw.name, "name"),
        target_latency: scope.duration(&raw.target_latency, "target_latency", &CALL_TIME),
        worth: scope.number(&raw.worth, "worth", &WORTH),
        share_percent: scope.percent(&raw.share, "share"),
        admit_per_second: scope.rate(&raw.admit, "admit"),
    }
}

fn services(raw: &RawContract, report: &mut Report) -> Vec<Service> {
    let list = report.scope("", 0).required(&raw.services, "services");
    let mut out = Vec::new();
    let mut seen = BTreeSet::new();
    for field in list.into_iter().flatten() {
        let Some(raw) = &field.value else {
            continue;
        };
        let mut scope = report.scope("services", field.line);
        out.push(service(raw, &mut scope));
        check_unique(&mut scope, &raw.name, "name", &mut seen);
    }
    out
}

fn service(raw: &RawService, scope: &mut Scope<'_>) -> Service {
    let name = scope.name(&raw.name, "name");
    let slots = scope.number(&raw.slots, "slots", &SLOTS);
    let connections = scope.number(&raw.connections, "connections", &(1..=MAX_CONNECTIONS));
    // If either value is invalid, that is already reported and the comparison is meaningless.
    let both_valid = (raw.slots.value, raw.connections.value) == (Some(slots), Some(connections));
    if both_valid && connections < slots {
        let value = format!("{connections} connections for {slots} slots");
        let allowed = "at least one connection for each slot";
        scope.add(raw.connections.line, "connections", &value, allowed);
    }
    Service {
        name,
        slots,
        connections,
    }
}

fn routes(raw: &RawContract, services: &[Service], report: &mut Report) -> Vec<Route> {
    let list = report.scope("", 0).required(&raw.routes, "routes");
    let mut out = Vec::new();
    let mut seen = BTreeSet::new();
    for field in list.into_iter().flatten() {
        let Some(raw) = &field.value else {
            continue;
        };
        let mut scope = report.scope("routes", field.line);
        let route = route(raw, services, &mut scope);
        let key = (route.method.clone(), route.path.clone());
        let complete = raw.method.value.is_some() && raw.path.value.is_some();
        if complete && !seen.insert(key) {
            let value = format!("{} {} (duplicate)", route.method, route.path);
            let allowed = "each method and path once";
            scope.add(raw.path.line, "path", &value, allowed);
        }
        out.push(route);
    }
    out
}

fn route(raw: &RawRoute, services: &[Service], scope: &mut Scope<'_>) -> Route {
    let method = scope.text(&raw.method, "method");
    if raw.method.value.is_some() && !is_method(&method) {
        let allowed = "an HTTP method in upper case, such as POST";
        scope.add(raw.method.line, "method", &method, allowed);
    }
    let path = scope.text(&raw.path, "path");
    if raw.path.value.is_some() && !is_path(&path) {
        let allowed = "/ or segments such as /fees/late, without an empty segment, a slash at the \
                       end, `.`, `..`, `?`, `#` or spaces, at most 1024 bytes of ASCII";
        scope.add(raw.path.line, "path", &path, allowed);
    }
    let service = scope.text(&raw.service, "service");
    if raw.service.value.is_some() && !services.iter().any(|s| s.name == service) {
        let allowed = "a service of this contract";
        scope.add(raw.service.line, "service", &service, allowed);
    }
    let idempotent = scope.required(&raw.idempotent, "idempotent");
    Route {
        method,
        path,
        service,
        idempotent: idempotent.copied().unwrap_or_default(),
        deadline: scope.duration(&raw.deadline, "deadline", &CALL_TIME),
    }
}

fn check_unique<'a>(
    scope: &mut Scope<'_>,
    raw: &'a Field<Box<str>>,
    field: &str,
    seen: &mut BTreeSet<&'a str>,
) {
    let Some(name) = &raw.value else {
        return;
    };
    if !seen.insert(name) {
        let value = format!("{name} (duplicate)");
        scope.add(raw.line, field, &value, "each name once");
    }
}

/// Returns whether `method` is a token as defined by HTTP (RFC 9110, section 5.6.2) without
/// lower-case letters, at most [`MAX_METHOD_BYTES`] long.
fn is_method(method: &str) -> bool {
    let is_allowed =
        |c: u8| c.is_ascii_uppercase() || c.is_ascii_digit() || b"!#$%&'*+-.^_`|~".contains(&c);
    !method.is_empty() && method.len() <= MAX_METHOD_BYTES && method.bytes().all(is_allowed)
}

/// Returns whether `path` is `/` or a sequence of segments that can be matched one by one.
fn is_path(path: &str) -> bool {
    if path == "/" {
        return true;
    }
    let Some(rest) = path.strip_prefix('/') else {
        return false;
    };
    let is_allowed = |c: u8| c.is_ascii_graphic() && c != b'?' && c != b'#' && c != b'\\';
    let is_segment = |s: &str| !matches!(s, "" | "." | "..") && s.bytes().all(is_allowed);
    path.len() <= MAX_PATH_BYTES && rest.split('/').all(is_segment)
}
