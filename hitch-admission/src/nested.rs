//! Recognises the routes of nested calls: those that backend servers make while they run other calls.
//!
//! Neither the address nor the headers of a request say whether a caller or a backend server sent it. But the nested calls
//! of a route come from the instances of the service that makes them, whereas other requests enter the mesh at instances
//! of every service. [`Classifier`] looks at the calls that arrive at one backend server, and compares the services of
//! their origin, for each route, with those of the other routes. The comparison is a sequential probability ratio test
//! (Wald, "Sequential Tests of Statistical Hypotheses", 1945).

use std::collections::BTreeMap;

/// Log-likelihood ratio from which a route counts as one of nested calls: odds of 5 × 10^8 to 1, since thousands of calls of
/// hundreds of routes are looked at. With two services of equal size that takes 29 calls of the route.
const NESTED_FROM: f64 = 20.0;
/// Bound of the log-likelihood ratio, so that a route whose use changes is recognised again.
const MAX_EVIDENCE: f64 = 40.0;
/// Evidence that a call of another origin takes away. An operator's or a prober's request may come from anywhere, so one
/// of them does not decide.
const CONTRADICTION: f64 = 6.0;
/// Weight of the known instances beside the calls of other routes, in calls.
const PRIOR_CALLS: f64 = 10.0;
/// Calls after which the counts are halved, so that they follow changes of the load.
const HALVE_AFTER: f64 = 4_096.0;
/// Least fraction of the requests that is assumed to come from the instances of a service.
const MIN_SHARE: f64 = 0.01;
/// Calls of a route after which the evidence decides, whatever other nodes have found.
const MIN_CALLS: f64 = 100.0;
/// Routes for which evidence is kept at most.
const MAX_ROUTES: usize = 1_024;

/// Evidence on which routes carry nested calls, from the calls that arrive at one backend server.
#[derive(Debug, Clone, Default)]
pub struct Classifier {
    routes: BTreeMap<Box<str>, Evidence>,
    /// Calls of all routes by the service of their origin.
    by_origin: BTreeMap<Box<str>, f64>,
    calls: f64,
}

#[derive(Debug, Clone, Default)]
struct Evidence {
    /// Service that the nested calls would come from.
    origin: Box<str>,
    log_ratio: f64,
    /// Calls of the route by the service of their origin.
    by_origin: BTreeMap<Box<str>, f64>,
    calls: f64,
}

impl Classifier {
    /// Records a call that came from an instance of `origin`, and returns whether its route carries nested calls.
    ///
    /// `instance_share` is the fraction of the known instances that are of that service.
    ///
    /// ```
    /// let mut classifier = hitch_admission::nested::Classifier::default();
    /// for _ in 0..100 {
    ///     classifier.arrived("tariffs", "wallet", 0.4);
    ///     classifier.arrived("orders", "wallet", 0.4);
    ///     classifier.arrived("orders", "portal", 0.6);
    /// }
    /// assert!(classifier.is_nested("tariffs"));
    /// assert!(!classifier.is_nested("orders"));
    /// ```
    pub fn arrived(&mut self, route: &str, origin: &str, instance_share: f64) -> bool {
        if !self.routes.contains_key(route) {
            if self.routes.len() >= MAX_ROUTES {
                return false;
            }
            self.routes.insert(route.into(), Evidence::default());
        }
        let total_from_origin = count(&self.by_origin, origin);
        let total = self.calls;
        let Some(evidence) = self.routes.get_mut(route) else {
            return false;
        };
        let others_from_origin = total_from_origin - count(&evidence.by_origin, origin);
        let others = total - evidence.calls;
        let seen = (others_from_origin + PRIOR_CALLS * instance_share) / (others + PRIOR_CALLS);
        // Other routes may carry nested calls of another service, so a service that they rarely come from is no evidence.
        let share = seen.max(instance_share);
        evidence.observe(origin, share.clamp(MIN_SHARE, 1.0));
        let is_nested = evidence.log_ratio >= NESTED_FROM;
        *self.by_origin.entry(origin.into()).or_default() += 1.0;
        self.calls += 1.0;
        if self.calls >= HALVE_AFTER {
            self.halve();
        }
        is_nested
    }

    /// Returns whether a route carries nested calls.
    ///
    /// ```
    /// assert!(!hitch_admission::nested::Classifier::default().is_nested("tariffs"));
    /// ```
    pub fn is_nested(&self, route: &str) -> bool {
        let evidence = self.routes.get(route);
        evidence.is_some_and(|evidence| evidence.log_ratio >= NESTED_FROM)
    }

    /// Returns whether too few calls of a route have arrived to tell.
    ///
    /// ```
    /// assert!(hitch_admission::nested::Classifier::default().is_undecided("tariffs"));
    /// ```
    pub fn is_undecided(&self, route: &str) -> bool {
        let evidence = self.routes.get(route);
        evidence.is_none_or(|evidence| evidence.calls < MIN_CALLS)
    }

    /// Returns the routes that carry nested calls.
    ///
    /// ```
    /// assert_eq!(hitch_admission::nested::Classifier::default().nested_routes().count(), 0);
    /// ```
    pub fn nested_routes(&self) -> impl Iterator<Item = &str> {
        let routes = self.routes.iter();
        routes
            .filter(|(_, evidence)| evidence.log_ratio >= NESTED_FROM)
            .map(|(route, _)| &**route)
    }

    fn halve(&mut self) {
        self.calls /= 2.0;
        self.by_origin.values_mut().for_each(|count| *count /= 2.0);
        for evidence in self.routes.values_mut() {
            evidence.calls /= 2.0;
            let counts = evidence.by_origin.values_mut();
            counts.for_each(|count| *count /= 2.0);
        }
    }
}

impl Evidence {
    /// Adds a call from `origin`, from which a fraction `share` of the requests of callers would come.
    fn observe(&mut self, origin: &str, share: f64) {
        if *self.origin == *origin {
            self.log_ratio = (self.log_ratio - share.ln()).min(MAX_EVIDENCE);
        } else {
            self.log_ratio -= CONTRADICTION;
            if self.log_ratio <= 0.0 {
                self.origin = origin.into();
                self.log_ratio = 0.0;
            }
        }
        *self.by_origin.entry(origin.into()).or_default() += 1.0;
        self.calls += 1.0;
    }
}

fn count(counts: &BTreeMap<Box<str>, f64>, origin: &str) -> f64 {
    counts.get(origin).copied().unwrap_or_default()
}
