//! Comparison of two contracts by their meaning, not by their text.

use std::collections::BTreeMap;
use std::fmt;

use hitch_contract::Contract;
use hitch_contract::WhenStale;
use serde::Serialize;

/// One value that differs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// Path of the value, such as `ranks.fee.admit`.
    pub field: Box<str>,
    /// Value of the old contract, if it has one.
    pub old: Option<Box<str>>,
    /// Value of the new contract, if it has one.
    pub new: Option<Box<str>>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.old, &self.new) {
            (Some(old), Some(new)) => write!(f, "~ {}: {old} -> {new}", self.field),
            (None, Some(new)) => write!(f, "+ {}: {new}", self.field),
            (Some(old), None) => write!(f, "- {}: {old}", self.field),
            (None, None) => write!(f, "  {}", self.field),
        }
    }
}

/// Lists what differs between two contracts, in the order of paths.
///
/// ```
/// let text = "
/// customer: a
/// lands_within: 10s
/// ranks: [{ name: fee, target_latency: 1s, worth: 1, share: 5%, admit: 1/s }]
/// services: []
/// routes: []
/// ";
/// let old = hitch_contract::from_bytes("a.yaml", text.as_bytes())?;
/// let new = hitch_contract::from_bytes("a.yaml", text.replace("5%", "6%").as_bytes())?;
/// let diff = hitch_ctl::diff::between(&old, &new);
/// assert_eq!(diff[0].to_string(), "~ ranks.fee.share: 5% -> 6%");
/// # Ok::<(), hitch_contract::read::Error>(())
/// ```
pub fn between(old: &Contract, new: &Contract) -> Vec<Difference> {
    let mut old = flat(old);
    let mut out = Vec::new();
    for (field, new) in flat(new) {
        let old = old.remove(&field);
        if old.as_ref() == Some(&new) {
            continue;
        }
        out.push(Difference {
            field,
            old,
            new: Some(new),
        });
    }
    for (field, old) in old {
        out.push(Difference {
            field,
            old: Some(old),
            new: None,
        });
    }
    out.sort_by(|a, b| a.field.cmp(&b.field));
    out
}

/// Lists every value of a contract by its path.
fn flat(contract: &Contract) -> BTreeMap<Box<str>, Box<str>> {
    let mut out = BTreeMap::new();
    let mut put = |path: String, value: String| {
        out.insert(Box::from(path), Box::from(value));
    };
    let time = |t| humantime::format_duration(t).to_string();
    put("customer".to_owned(), contract.customer.to_string());
    put("lands_within".to_owned(), time(contract.lands_within));
    put("stale_after".to_owned(), time(contract.stale_after));
    let when_stale = match contract.when_stale {
        WhenStale::Serve => "serve",
        WhenStale::Refuse => "refuse",
    };
    put("when_stale".to_owned(), when_stale.to_owned());
    put("key_interval".to_owned(), time(contract.key_interval));
    for (place, rank) in contract.ranks.iter().enumerate() {
        let at = format!("ranks.{}", rank.name);
        put(format!("{at}.place"), (place + 1).to_string());
        put(format!("{at}.target_latency"), time(rank.target_latency));
        put(format!("{at}.worth"), rank.worth.to_string());
        put(format!("{at}.share"), format!("{}%", rank.share_percent));
        put(
            format!("{at}.admit"),
            format!("{}/s", rank.admit_per_second),
        );
    }
    for service in &contract.services {
        let at = format!("services.{}", service.name);
        put(format!("{at}.slots"), service.slots.to_string());
        put(format!("{at}.connections"), service.connections.to_string());
    }
    for route in &contract.routes {
        let at = format!("routes.{} {}", route.method, route.path);
        put(format!("{at}.service"), route.service.to_string());
        put(format!("{at}.idempotent"), route.idempotent.to_string());
        put(format!("{at}.deadline"), time(route.deadline));
    }
    out
}
