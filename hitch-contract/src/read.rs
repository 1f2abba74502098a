//! Reading and checking of a contract.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde_saphyr::Spanned;
use snafu::Snafu;

use crate::model::Contract;
use crate::model::Rank;
use crate::model::Route;
use crate::model::Service;
use crate::model::WhenStale;

/// Largest contract that is read, in bytes.
pub const MAX_BYTES: usize = 256 * 1024;

/// A contract that was refused, with every problem found.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{file}: {} in the contract: {}", count(problems), join(problems)))]
pub struct Error {
    /// File that was read.
    pub file: Box<str>,
    /// Every problem found.
    pub problems: Vec<Problem>,
}

/// One problem in a contract.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Line of the value, from 1, or 0 where there is none.
    pub line: u64,
    /// Field that holds the value.
    pub field: Box<str>,
    /// The value seen.
    pub value: Box<str>,
    /// What is allowed.
    pub allowed: Box<str>,
}

fn count(problems: &[Problem]) -> String {
    match problems.len() {
        1 => "1 problem".to_owned(),
        n => format!("{n} problems"),
    }
}

fn join(problems: &[Problem]) -> String {
    let mut out = String::new();
    for p in problems {
        if !out.is_empty() {
            out.push_str("; ");
        }
        out.push_str(&format!(
            "line {}: {}: saw {:?}, allowed: {}",
            p.line, p.field, p.value, p.allowed
        ));
    }
    out
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawContract {
    customer: Spanned<String>,
    lands_within: Spanned<String>,
    stale_after: Option<Spanned<String>>,
    when_stale: Option<Spanned<String>>,
    key_interval: Option<Spanned<String>>,
    ranks: Vec<RawRank>,
    services: Vec<RawService>,
    routes: Vec<RawRoute>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawRank {
    name: Spanned<String>,
    target_latency: Spanned<String>,
    worth: Spanned<u32>,
    share: Spanned<String>,
    admit: Spanned<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawService {
    name: Spanned<String>,
    slots: Spanned<u32>,
    connections: Spanned<u32>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawRoute {
    method: Spanned<String>,
    path: Spanned<String>,
    service: Spanned<String>,
    idempotent: Spanned<bool>,
    deadline: Spanned<String>,
}

/// Reads a contract from YAML and checks it whole.
///
/// `file` names the source in errors. Every problem that can be found in one pass is reported.
///
/// ```
/// let err = hitch_contract::from_bytes("c.yaml", b"customer: 1").unwrap_err();
/// assert_eq!(&*err.file, "c.yaml");
/// ```
pub fn from_bytes(file: &str, bytes: &[u8]) -> Result<Contract, Error> {
    let mut problems = Vec::new();
    let contract = read(bytes, &mut problems);
    match contract {
        Some(contract) if problems.is_empty() => Ok(contract),
        _ => Err(Error {
            file: file.into(),
            problems,
        }),
    }
}

fn read(bytes: &[u8], problems: &mut Vec<Problem>) -> Option<Contract> {
    if bytes.len() > MAX_BYTES {
        let value = format!("{} bytes", bytes.len());
        problems.push(problem(0, "file", &value, "at most 262144 bytes"));
        return None;
    }
    let text = match std::str::from_utf8(bytes) {
        Ok(text) => text,
        Err(err) => {
            let value = format!("invalid byte at {}", err.valid_up_to());
            problems.push(problem(0, "file", &value, "UTF-8 text"));
            return None;
        }
    };
    let raw: RawContract = match serde_saphyr::from_str(text) {
        Ok(raw) => raw,
        Err(err) => {
            let line = err.location().map_or(0, |l| l.line());
            problems.push(problem(
                line,
                "contract",
                &err.to_string(),
                "a contract as documented",
            ));
            return None;
        }
    };
    Some(check(raw, problems))
}

fn problem(line: u64, field: &str, value: &str, allowed: &str) -> Problem {
    Problem {
        line,
        field: field.into(),
        value: value.into(),
        allowed: allowed.into(),
    }
}

fn check(raw: RawContract, problems: &mut Vec<Problem>) -> Contract {
    let mut ranks = Vec::new();
    let mut total_share = 0u32;
    for rank in raw.ranks {
        let share_percent = percent(&rank.share, "ranks.share", problems);
        total_share += u32::from(share_percent);
        if total_share > 100 {
            let value = format!("{total_share}% in all");
            problems.push(problem(
                rank.share.referenced.line(),
                "ranks.share",
                &value,
                "at most 100% in all",
            ));
        }
        ranks.push(Rank {
            name: rank.name.value.into(),
            target_latency: duration(&rank.target_latency, "ranks.target_latency", problems),
            worth: rank.worth.value,
            share_percent,
            admit_per_second: rate(&rank.admit, "ranks.admit", problems),
        });
    }
    let mut services = Vec::new();
    let mut names = BTreeSet::new();
    for service in raw.services {
        names.insert(service.name.value.clone());
        services.push(Service {
            name: service.name.value.into(),
            slots: service.slots.value,
            connections: service.connections.value,
        });
    }
    let mut routes = Vec::new();
    for route in raw.routes {
        if !names.contains(&route.service.value) {
            let line = route.service.referenced.line();
            problems.push(problem(
                line,
                "routes.service",
                &route.service.value,
                "a service of this contract",
            ));
        }
        routes.push(Route {
            method: route.method.value.into(),
            path: route.path.value.into(),
            service: route.service.value.into(),
            idempotent: route.idempotent.value,
            deadline: duration(&route.deadline, "routes.deadline", problems),
        });
    }
    Contract {
        customer: raw.customer.value.into(),
        lands_within: duration(&raw.lands_within, "lands_within", problems),
        stale_after: optional(
            raw.stale_after,
            "stale_after",
            Duration::from_secs(60),
            problems,
        ),
        when_stale: when_stale(raw.when_stale, problems),
        key_interval: optional(
            raw.key_interval,
            "key_interval",
            Duration::from_secs(60),
            problems,
        ),
        ranks,
        services,
        routes,
    }
}

fn optional(
    raw: Option<Spanned<String>>,
    field: &str,
    default: Duration,
    problems: &mut Vec<Problem>,
) -> Duration {
    raw.map_or(default, |raw| duration(&raw, field, problems))
}

fn when_stale(raw: Option<Spanned<String>>, problems: &mut Vec<Problem>) -> WhenStale {
    let Some(raw) = raw else {
        return WhenStale::Serve;
    };
    match raw.value.as_str() {
        "serve" => WhenStale::Serve,
        "refuse" => WhenStale::Refuse,
        other => {
            problems.push(problem(
                raw.referenced.line(),
                "when_stale",
                other,
                "serve or refuse",
            ));
            WhenStale::Refuse
        }
    }
}

fn duration(raw: &Spanned<String>, field: &str, problems: &mut Vec<Problem>) -> Duration {
    if let Ok(value) = humantime::parse_duration(&raw.value) {
        return value;
    }
    problems.push(problem(
        raw.referenced.line(),
        field,
        &raw.value,
        "a time such as 150ms, 2s or 1m",
    ));
    Duration::ZERO
}

fn percent(raw: &Spanned<String>, field: &str, problems: &mut Vec<Problem>) -> u8 {
    let number = raw
        .value
        .strip_suffix('%')
        .and_then(|n| n.parse::<u8>().ok());
    if let Some(n) = number.filter(|n| *n <= 100) {
        return n;
    }
    problems.push(problem(
        raw.referenced.line(),
        field,
        &raw.value,
        "a percentage from 0% to 100%",
    ));
    0
}

fn rate(raw: &Spanned<String>, field: &str, problems: &mut Vec<Problem>) -> u32 {
    if let Some(n) = raw.value.strip_suffix("/s").and_then(|n| n.parse().ok()) {
        return n;
    }
    problems.push(problem(
        raw.referenced.line(),
        field,
        &raw.value,
        "a rate such as 200/s",
    ));
    0
}
