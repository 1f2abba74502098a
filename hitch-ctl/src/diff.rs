//! Comparison of two contracts by their values, regardless of formatting.

use std::collections::BTreeMap;
use std::fmt;

use hitch_contract::Contract;
use hitch_contract::WhenStale;
use serde::Serialize;

/// One value that differs between two contracts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// Path of the value, such as `ranks.fee.admit`.
    pub field: Box<str>,
    /// Value in the old contract, if present.
    pub old: Option<Box<str>>,
    /// Value in the new contract, if present.
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

/// Lists the differences between two contracts, sorted by path.
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
    let mut old = flatten(old);
    let mut differences = Vec::new();
    for (field, new) in flatten(new) {
        let old = old.remove(&field);
        if old.as_ref() == Some(&new) {
            continue;
        }
        differences.push(Difference {
            field,
            old,
            new: Some(new),
        });
    }
    for (field, old) in old {
        differences.push(Difference {
            field,
            old: Some(old),
            new: None,
        });
    }
    differences.sort_by(|a, b| a.field.cmp(&b.field));
    differences
}

/// Returns every value of a contract as text, keyed by its path.
fn flatten(contract: &Contract) -> BTreeMap<Box<str>, Box<str>> {
    let mut values = BTreeMap::new();
    let mut insert = |path: String, value: String| {
        values.insert(Box::from(path), Box::from(value));
    };
    let duration = |t| humantime::format_duration(t).to_string();
    insert("customer".to_owned(), contract.customer.to_string());
    insert("lands_within".to_owned(), duration(contract.lands_within));
    insert("stale_after".to_owned(), duration(contract.stale_after));
    let when_stale = match contract.when_stale {
        WhenStale::Serve => "serve",
        WhenStale::Refuse => "refuse",
    };
    insert("when_stale".to_owned(), when_stale.to_owned());
    insert("key_interval".to_owned(), duration(contract.key_interval));
    for (index, rank) in contract.ranks.iter().enumerate() {
        let prefix = format!("ranks.{}", rank.name);
        insert(format!("{prefix}.place"), (index + 1).to_string());
        insert(
            format!("{prefix}.target_latency"),
            duration(rank.target_latency),
        );
        insert(format!("{prefix}.worth"), rank.worth.to_string());
        insert(
            format!("{prefix}.share"),
            format!("{}%", rank.share_percent),
        );
        insert(
            format!("{prefix}.admit"),
            format!("{}/s", rank.admit_per_second),
        );
    }
    for service in &contract.services {
        let prefix = format!("services.{}", service.name);
        insert(format!("{prefix}.slots"), service.slots.to_string());
        insert(
            format!("{prefix}.connections"),
            service.connections.to_string(),
        );
    }
    for route in &contract.routes {
        let prefix = format!("routes.{} {}", route.method, route.path);
        insert(format!("{prefix}.service"), route.service.to_string());
        insert(format!("{prefix}.idempotent"), route.idempotent.to_string());
        insert(format!("{prefix}.deadline"), duration(route.deadline));
    }
    values
}
