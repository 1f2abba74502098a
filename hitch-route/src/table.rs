//! The route table of one configuration version.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use hitch_config::State;
use hitch_contract::Contract;
use hitch_contract::Rank;
use hitch_contract::Route;
use snafu::Snafu;

/// All routes of one configuration version.
#[derive(Debug, Clone, Default)]
pub struct Table {
    version: u64,
    customers: BTreeMap<Box<str>, Customer>,
    inactive: BTreeSet<Box<str>>,
}

#[derive(Debug, Clone)]
struct Customer {
    contract: Arc<Contract>,
    routes: Vec<usize>,
}

/// The route of a call, with its contract.
#[derive(Debug, Clone, Copy)]
pub struct Target<'a> {
    /// Contract that the route belongs to.
    pub contract: &'a Arc<Contract>,
    /// Route that matches the call.
    pub route: &'a Route,
}

/// Why no route was found for a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The customer has no contract.
    #[snafu(display("the customer has no contract"))]
    UnknownCustomer,
    /// No route matches the path.
    #[snafu(display("no route matches the path"))]
    NoRoute,
    /// Routes match the path, but none of them matches the method.
    #[snafu(display("no route of the path matches the method"))]
    WrongMethod,
    /// The service of the route has no known backend server.
    #[snafu(display("the route is inactive, its service has no known backend server"))]
    Inactive,
}

impl Table {
    /// Compiles the routes of all contracts in a configuration state.
    ///
    /// ```
    /// let table = hitch_route::Table::compile(&hitch_config::State::default());
    /// assert_eq!(table.services().count(), 0);
    /// ```
    pub fn compile(state: &State) -> Table {
        let mut customers = BTreeMap::new();
        for (name, accepted) in state.customers() {
            let contract = accepted.contract.clone();
            let mut routes: Vec<usize> = (0..contract.routes.len()).collect();
            // The longest prefix is tried first.
            routes.sort_by_key(|i| std::cmp::Reverse(contract.routes[*i].path.len()));
            customers.insert(name.into(), Customer { contract, routes });
        }
        Table {
            version: state.version(),
            customers,
            inactive: BTreeSet::new(),
        }
    }

    /// Returns the version that the table was compiled from.
    ///
    /// ```
    /// assert_eq!(hitch_route::Table::default().version(), 0);
    /// ```
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Iterates over the names of all services that are the target of a route.
    ///
    /// ```
    /// assert_eq!(hitch_route::Table::default().services().count(), 0);
    /// ```
    pub fn services(&self) -> impl Iterator<Item = &str> {
        let routes = self.customers.values().flat_map(|c| &c.contract.routes);
        routes
            .map(|r| &*r.service)
            .collect::<BTreeSet<&str>>()
            .into_iter()
    }

    /// Iterates over the names of the services whose routes are inactive.
    ///
    /// ```
    /// assert_eq!(hitch_route::Table::default().inactive().count(), 0);
    /// ```
    pub fn inactive(&self) -> impl Iterator<Item = &str> {
        self.inactive.iter().map(|s| &**s)
    }

    /// Marks exactly the routes to services without a backend server as inactive. `has_backend` returns
    /// whether the named service has a known backend server.
    ///
    /// ```
    /// let table = hitch_route::Table::default().with_services(|_| false);
    /// assert_eq!(table.version(), 0);
    /// ```
    pub fn with_services(mut self, has_backend: impl Fn(&str) -> bool) -> Table {
        let missing = self
            .services()
            .filter(|s| !has_backend(s))
            .map(Box::from)
            .collect();
        self.inactive = missing;
        self
    }

    /// Returns whether the inactive routes are exactly those to services without a backend server according
    /// to `has_backend`.
    ///
    /// ```
    /// assert!(hitch_route::Table::default().inactive_matches(|_| true));
    /// ```
    pub fn inactive_matches(&self, has_backend: impl Fn(&str) -> bool) -> bool {
        for service in self.services() {
            if self.inactive.contains(service) == has_backend(service) {
                return false;
            }
        }
        true
    }

    /// Finds the contract of a customer.
    ///
    /// ```
    /// assert!(hitch_route::Table::default().try_contract("association").is_none());
    /// ```
    pub fn try_contract(&self, customer: &str) -> Option<&Arc<Contract>> {
        self.customers.get(customer).map(|c| &c.contract)
    }

    /// Finds the route of a call: among the routes with its method, the one with the longest path prefix.
    /// A prefix matches whole path segments only.
    ///
    /// ```
    /// let err = hitch_route::Table::default().try_find("a", "GET", "/").unwrap_err();
    /// assert_eq!(err, hitch_route::table::Error::UnknownCustomer);
    /// ```
    pub fn try_find(&self, customer: &str, method: &str, path: &str) -> Result<Target<'_>, Error> {
        let customer = self.customers.get(customer).ok_or(Error::UnknownCustomer)?;
        let mut matched_path = false;
        for i in &customer.routes {
            let route = &customer.contract.routes[*i];
            if !is_prefix(&route.path, path) {
                continue;
            }
            matched_path = true;
            if &*route.method != method {
                continue;
            }
            if self.inactive.contains(&route.service) {
                return Err(Error::Inactive);
            }
            return Ok(Target {
                contract: &customer.contract,
                route,
            });
        }
        Err(if matched_path {
            Error::WrongMethod
        } else {
            Error::NoRoute
        })
    }
}

/// Returns the index of the named rank in the ranks of a contract; 0 is the most urgent.
///
/// ```
/// assert!(hitch_route::table::try_rank(&[], "fee").is_none());
/// ```
pub fn try_rank(ranks: &[Rank], name: &str) -> Option<usize> {
    ranks.iter().position(|r| &*r.name == name)
}

fn is_prefix(prefix: &str, path: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    match path.strip_prefix(prefix) {
        Some(rest) => rest.is_empty() || rest.starts_with('/'),
        None => false,
    }
}
