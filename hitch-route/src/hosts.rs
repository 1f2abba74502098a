//! Routes by host and path prefix, and the weighted traffic split of a route among services.
//!
//! Deployments without contracts configure their routes in this form: one numbered version contains all
//! routes, services and limits.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use crate::organisation::Organisation;
use crate::organisation::OrganisationKey;

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// Version number. A higher version replaces a lower one.
    pub version: u64,
    /// The routes, in no particular order.
    pub routes: Vec<Route>,
    /// Settings of each service, by service name.
    pub services: BTreeMap<Box<str>, Service>,
    /// Limits on the requests and connections of callers.
    pub limits: Limits,
    /// Organisations whose API keys callers present, or `None` if the deployment has no API keys.
    pub organisations: Option<Vec<Organisation>>,
}

/// A routing rule: requests that match the host and path prefix go to the services of the split.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: Box<str>,
    /// Host that the route matches, in lower case and without a port.
    pub host: Box<str>,
    /// Prefix of the paths that the route matches; it begins and ends with a slash.
    pub prefix: Box<str>,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Maximum time until a caller receives an answer.
    pub timeout: Duration,
    /// Target latency: an answer within this time is worth the most to the caller.
    pub target_latency: Duration,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u8,
    /// Maximum number of backend servers that one request is sent to.
    pub max_attempts: u32,
    /// Services that run the requests, with the weights of the traffic split. Never empty.
    pub split: Vec<WeightedService>,
    /// Whether a request needs no API key. Has no effect in a configuration without organisations.
    pub allows_anonymous: bool,
}

/// A service and its weight in the traffic split of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Box<str>,
    /// Weight of the service, relative to the sum of the weights of the route.
    pub weight: u32,
}

/// Settings of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Path of the health check of a backend server.
    pub health_path: Box<str>,
    /// Maximum number of connections that a backend server accepts from all callers together.
    pub max_connections: u32,
}

/// Limits on the requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time that a caller may take to send a request head.
    pub head_timeout: Duration,
    /// Maximum time that a caller may keep a connection idle.
    pub idle_timeout: Duration,
}

/// Identifies a route within its [`Table`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RouteKey(u32);

/// The routes of one configuration version, indexed by host.
#[derive(Clone)]
pub struct Table {
    config: Config,
    // Routes of each host, the longest prefix first.
    by_host: BTreeMap<Box<str>, Vec<RouteKey>>,
    // Organisation of each API key.
    by_api_key: BTreeMap<Box<[u8]>, OrganisationKey>,
}

/// Leaves the API keys out, so that they reach no log line or panic message.
impl fmt::Debug for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Table")
            .field("config", &self.config)
            .finish_non_exhaustive()
    }
}

impl Table {
    /// Builds the table of a configuration.
    ///
    /// ```
    /// # use hitch_route::hosts::*;
    /// # let limits = Limits { max_head_bytes: 1, max_body_bytes: 1, head_timeout: Default::default(),
    /// #     idle_timeout: Default::default() };
    /// # let services = Default::default();
    /// let config = Config { version: 7, routes: Vec::new(), services, limits, organisations: None };
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
        let mut by_api_key = BTreeMap::new();
        for (i, organisation) in config.organisations.iter().flatten().enumerate() {
            for api_key in &organisation.api_keys {
                by_api_key.insert(api_key.as_bytes().into(), OrganisationKey(i as u32));
            }
        }
        Table {
            config,
            by_host,
            by_api_key,
        }
    }

    /// Returns the organisation that an API key belongs to.
    pub(crate) fn organisation_of(&self, api_key: &[u8]) -> Option<OrganisationKey> {
        self.by_api_key.get(api_key).copied()
    }

    /// Returns an organisation of this table, or `None` if the key is one of another table.
    ///
    /// ```
    /// # fn run(table: hitch_route::hosts::Table, key: hitch_route::organisation::OrganisationKey) {
    /// let name = table.organisation(key).map(|organisation| &*organisation.name);
    /// # }
    /// ```
    pub fn organisation(&self, key: OrganisationKey) -> Option<&Organisation> {
        self.config.organisations.as_ref()?.get(key.0 as usize)
    }

    /// Returns the configuration that the table was built from.
    ///
    /// ```
    /// # fn run(table: hitch_route::hosts::Table) {
    /// assert!(table.config().version > 0);
    /// # }
    /// ```
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Finds the route of the host with the longest prefix that matches the path.
    ///
    /// `host` may include a port and is compared without regard to case; `path` has no query.
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

/// Splits the requests of one route among its services, in proportion to their weights.
///
/// Smooth weighted round robin: each request adds the weight of every service to its credit and goes to
/// the service with the highest credit, which then pays the sum of the weights. At any time, the number of
/// requests of each service is within one request of its exact share.
#[derive(Debug, Clone, Default)]
pub struct WeightedRoundRobin {
    credits: BTreeMap<Box<str>, i64>,
}

impl WeightedRoundRobin {
    /// Returns the service that runs the next request, or `None` if none of several services has a weight
    /// above 0. A single service is returned whatever its weight.
    ///
    /// ```
    /// # use hitch_route::hosts::*;
    /// let weighted = |service: &str, weight| WeightedService { service: service.into(), weight };
    /// let mut balancer = WeightedRoundRobin::default();
    /// let split = [weighted("a", 3), weighted("b", 1)];
    /// let to_b = (0..100).filter(|_| balancer.next(&split) == Some("b")).count();
    /// assert_eq!(to_b, 25);
    /// ```
    pub fn next<'a>(&mut self, split: &'a [WeightedService]) -> Option<&'a str> {
        if let [only] = split {
            return Some(&only.service);
        }
        self.credits
            .retain(|name, _| split.iter().any(|s| s.service == *name));
        let mut total_weight = 0;
        let mut best: Option<(&WeightedService, i64)> = None;
        for candidate in split {
            if candidate.weight == 0 {
                continue;
            }
            let weight = i64::from(candidate.weight);
            total_weight += weight;
            let credit = self.credits.entry(candidate.service.clone()).or_insert(0);
            *credit += weight;
            if best.is_none_or(|(_, highest)| *credit > highest) {
                best = Some((candidate, *credit));
            }
        }
        let (chosen, _) = best?;
        if let Some(credit) = self.credits.get_mut(&chosen.service) {
            *credit -= total_weight;
        }
        Some(&chosen.service)
    }
}
