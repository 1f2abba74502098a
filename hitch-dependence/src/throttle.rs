//! Refuses requests where they enter, as far as the nodes that would run them refuse them.
//!
//! A throttle has no opinion of its own on the room behind: it admits somewhat more than what was not refused lately
//! (client-side throttling; Beyer and others, "Site Reliability Engineering", 2016, chapter 21). So only the controls of
//! the nodes that run requests regulate, and two regulators do not work against each other.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::control::Refusal;
use crate::decay::DecayingSum;
use crate::demand;
use crate::demand::Demand;
use crate::demand::RATE_TIME;
use crate::learn::entry;

/// Ratio of the admitted requests to those that were not refused by the nodes that run them. The excess is refused there,
/// which costs a message each way, and shows when there is room again.
const EXCESS: f64 = 2.0;
/// Time since the last refusal by a node that runs requests after which all are admitted.
const MEMORY: Duration = Duration::from_secs(1);

/// Admission of the requests that enter at a node.
#[derive(Debug, Clone, Default)]
pub struct Throttle {
    /// Service for whose lack of room a request of each route was refused last.
    routes: BTreeMap<Box<str>, Box<str>>,
    services: BTreeMap<Box<str>, Behind>,
}

/// Requests of the routes that one service bounds. They share what is admitted, the more urgent ones first.
#[derive(Debug, Clone, Default)]
struct Behind {
    demand: Demand,
    accepted: DecayingSum,
    refused_at: Duration,
}

impl Throttle {
    /// Decides on a new request of a route. `random` is uniform from 0 to 1.
    ///
    /// ```
    /// let mut throttle = hitch_dependence::Throttle::default();
    /// assert_eq!(throttle.admit(Default::default(), "/balance/", 0, 0.9), Ok(()));
    /// ```
    pub fn admit(
        &mut self,
        now: Duration,
        route: &str,
        rank: u32,
        random: f64,
    ) -> Result<(), Refusal> {
        let Some(service) = self.routes.get(route) else {
            return Ok(());
        };
        let Some(behind) = self.services.get_mut(service) else {
            return Ok(());
        };
        behind.demand.add(now, rank, 1.0);
        if now > behind.refused_at + MEMORY {
            return Ok(());
        }
        let bound = behind.accepted.rate(now, RATE_TIME) * EXCESS;
        let admitted = behind.demand.admitted_fraction(now, rank, Some(bound));
        match random < admitted {
            true => Ok(()),
            false => Err(Refusal {
                service: service.clone(),
                retry_after: demand::retry_after(admitted),
            }),
        }
    }

    /// Records that a node which runs requests did not refuse one of the route for lack of room behind.
    ///
    /// ```
    /// hitch_dependence::Throttle::default().accepted(Default::default(), "/balance/");
    /// ```
    pub fn accepted(&mut self, now: Duration, route: &str) {
        let service = self.routes.get(route);
        if let Some(behind) = service.and_then(|service| self.services.get_mut(service)) {
            behind.accepted.add(now, 1.0, RATE_TIME);
        }
    }

    /// Records that a node which runs requests refused one of the route, because `service` has no room.
    ///
    /// ```
    /// hitch_dependence::Throttle::default().refused(Default::default(), "/balance/", "wallet");
    /// ```
    pub fn refused(&mut self, now: Duration, route: &str, service: &str) {
        let (Some(known), Some(behind)) = (
            entry(&mut self.routes, route),
            entry(&mut self.services, service),
        ) else {
            return;
        };
        if **known != *service {
            *known = service.into();
        }
        behind.refused_at = now;
    }
}
