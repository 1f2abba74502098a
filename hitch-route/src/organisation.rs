//! Organisations and their API keys: which organisation a request belongs to, and whether the route admits it.

use std::fmt;

use crate::hosts::Route;
use crate::hosts::Table;

/// An organisation on whose behalf callers send requests.
#[derive(Clone, PartialEq, Eq)]
pub struct Organisation {
    /// Name, which the backend server receives instead of the API key.
    pub name: Box<str>,
    /// API keys. Each belongs to one organisation only.
    pub api_keys: Vec<Box<str>>,
    /// Priority of the organisation's requests, in place of the route's; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Limit over all nodes together, in requests per second; 0 for no limit.
    pub rate_per_second: u32,
    /// Requests that are admitted at once on top of the rate.
    pub burst: u32,
}

/// Leaves the API keys out, so that they reach no log line or panic message.
impl fmt::Debug for Organisation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Organisation")
            .field("name", &self.name)
            .field("api_keys", &self.api_keys.len())
            .field("priority", &self.priority)
            .field("rate_per_second", &self.rate_per_second)
            .field("burst", &self.burst)
            .finish()
    }
}

/// Identifies an organisation within its [`Table`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrganisationKey(pub(crate) u32);

/// Why a request is not authorised. It has no part of the API key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denied {
    /// The route needs an API key and the request has none.
    Missing,
    /// No organisation of the configuration has the API key.
    Unknown,
    /// The request has several different API keys.
    Ambiguous,
}

impl Denied {
    /// Returns the reason as text for the caller and for metrics.
    ///
    /// ```
    /// use hitch_route::organisation::Denied;
    /// assert_eq!(Denied::Unknown.reason(), "the API key is unknown");
    /// ```
    pub fn reason(self) -> &'static str {
        match self {
            Denied::Missing => "the route needs an API key",
            Denied::Unknown => "the API key is unknown",
            Denied::Ambiguous => "the request has several API keys",
        }
    }
}

/// Determines the organisation of a request from the values of its API key header.
///
/// Returns `None` for a request without an API key on a route that admits it, and in a configuration without
/// organisations. An empty value counts as no key. An unknown key is denied on every route: a caller that presents one
/// expects to be served on behalf of its organisation.
///
/// ```
/// # use hitch_route::hosts::*;
/// # fn run(table: Table, route: Route) {
/// use hitch_route::organisation;
/// let result = organisation::authorise(&table, &route, [&b"some key"[..]]);
/// assert_eq!(result, Err(organisation::Denied::Unknown));
/// # }
/// ```
pub fn authorise<'a>(
    table: &Table,
    route: &Route,
    api_keys: impl IntoIterator<Item = &'a [u8]>,
) -> Result<Option<OrganisationKey>, Denied> {
    if table.config().organisations.is_none() {
        return Ok(None);
    }
    let mut presented = None;
    for api_key in api_keys {
        if api_key.is_empty() {
            continue;
        }
        if presented.is_some_and(|first| first != api_key) {
            return Err(Denied::Ambiguous);
        }
        presented = Some(api_key);
    }
    match presented {
        Some(api_key) => match table.organisation_of(api_key) {
            Some(organisation) => Ok(Some(organisation)),
            None => Err(Denied::Unknown),
        },
        None if route.allows_anonymous => Ok(None),
        None => Err(Denied::Missing),
    }
}
