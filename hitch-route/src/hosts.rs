//! Routes by host and path prefix, and the division of a route among services by weight.
//!
//! This is the form in which a deployment without contracts configures its routes: one numbered version holds all
//! routes, services and limits.

use std::collections::BTreeMap;
use std::time::Duration;

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// Number of the version. A higher number replaces a lower one.
    pub version: u64,
    /// The routes, in no order.
    pub routes: Vec<Route>,
    /// What is said of each service, by its name.
    pub services: BTreeMap<Box<str>, Service>,
    /// What callers may send, and how long they may take.
    pub limits: Limits,
}

/// A route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: Box<str>,
    /// Host that the route belongs to, in lower case and without a port.
    pub host: Box<str>,
    /// Start of the paths that the route matches; it begins and ends with a slash.
    pub prefix: Box<str>,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is worth the most.
    pub target_latency: Duration,
    /// Rank of the requests; 0 is the most urgent.
    pub priority: u8,
    /// Most backend servers that one request may be sent to.
    pub max_attempts: u32,
    /// Services that run the requests, with the weights by which they divide them. Never empty.
    pub split: Vec<WeightedService>,
}

/// The part of a route that goes to one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Box<str>,
    /// Weight of the service among the parts of the route.
    pub weight: u32,
}

/// What the configuration says of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Path that answers whether the backend server is healthy.
    pub health_path: Box<str>,
    /// Most connections that a backend server accepts from all callers together.
    pub max_connections: u32,
}

/// What callers may send, and how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Most bytes of a request head.
    pub max_head_bytes: usize,
    /// Most bytes of a request body.
    pub max_body_bytes: usize,
    /// Longest time that a caller may take to send a head.
    pub head_timeout: Duration,
    /// Longest time that a caller may keep an idle connection.
    pub idle_timeout: Duration,
}

/// Identifies a route within its [`Table`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RouteKey(u32);

/// The routes of one version, arranged for look-ups.
#[derive(Debug, Clone)]
pub struct Table {
    config: Config,
    // Keys of the routes of a host, the longest prefix first.
    by_host: BTreeMap<Box<str>, Vec<RouteKey>>,
}

impl Table {
    /// Arranges a configuration.
    ///
    /// ```
    /// # use hitch_route::hosts::*;
    /// # let limits = Limits { max_head_bytes: 1, max_body_bytes: 1, head_timeout: Default::default(),
    /// #     idle_timeout: Default::default() };
    /// let config = Config { version: 7, routes: Vec::new(), services: Default::default(), limits };
    /// assert_eq!(Table::new(config).config().version, 7);
    /// ```
    pub fn new(config: Config) -> Table {
        let mut by_host: BTreeMap<Box<str>, Vec<RouteKey>> = BTreeMap::new();
        for (i, route) in config.routes.iter().enumerate() {
            by_host
                .entry(route.host.clone())
                .or_default()
                .push(RouteKey(i as u32));
        }
        for keys in by_host.values_mut() {
            keys.sort_by_key(|key| std::cmp::Reverse(config.routes[key.0 as usize].prefix.len()));
        }
        Table { config, by_host }
    }

    /// Returns the configuration.
    ///
    /// ```
    /// # fn run(table: hitch_route::hosts::Table) {
    /// assert!(table.config().version > 0);
    /// # }
    /// ```
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Finds the route with the longest prefix that the path begins with, among those of the host.
    ///
    /// `host` may carry a port and be in any case; `path` has no query.
    ///
    /// ```
    /// # fn run(table: hitch_route::hosts::Table) {
    /// let route = table.try_find("mesh.example:80", "/fees/7");
    /// # }
    /// ```
    pub fn try_find(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let keys = match self.by_host.get(name) {
            Some(keys) => keys,
            None => self.by_host.get(&*name.to_ascii_lowercase())?,
        };
        for key in keys {
            let route = &self.config.routes[key.0 as usize];
            if path.starts_with(&*route.prefix) {
                return Some(route);
            }
        }
        None
    }
}

/// Divides the requests of one route among its parts, in proportion to their weights.
///
/// Smooth weighted round robin: each request adds every part's weight to its credit and goes to the part with the most,
/// which pays the sum of the weights. The division stays within one request of the exact one at any time.
#[derive(Debug, Clone, Default)]
pub struct WeightedRoundRobin {
    credits: BTreeMap<Box<str>, i64>,
}

impl WeightedRoundRobin {
    /// Returns the service that runs the next request, or nothing when no part has a weight.
    ///
    /// ```
    /// # use hitch_route::hosts::*;
    /// let part = |service: &str, weight| WeightedService { service: service.into(), weight };
    /// let mut divider = WeightedRoundRobin::default();
    /// let split = [part("a", 3), part("b", 1)];
    /// let to_b = (0..100).filter(|_| divider.next(&split) == Some("b")).count();
    /// assert_eq!(to_b, 25);
    /// ```
    pub fn next<'a>(&mut self, split: &'a [WeightedService]) -> Option<&'a str> {
        if let [only] = split {
            return Some(&only.service);
        }
        self.credits
            .retain(|name, _| split.iter().any(|p| p.service == *name));
        let mut sum = 0;
        let mut best: Option<(&WeightedService, i64)> = None;
        for part in split {
            if part.weight == 0 {
                continue;
            }
            let weight = i64::from(part.weight);
            sum += weight;
            let credit = self.credits.entry(part.service.clone()).or_insert(0);
            *credit += weight;
            if best.is_none_or(|(_, most)| *credit > most) {
                best = Some((part, *credit));
            }
        }
        let (part, _) = best?;
        if let Some(credit) = self.credits.get_mut(&part.service) {
            *credit -= sum;
        }
        Some(&part.service)
    }
}
