//! Nested calls: requests that a backend server makes while it runs others.
//!
//! The node beside the backend server that runs the calls of a route recognises them ([`hitch_admission::nested`]), and
//! tells the node where they enter with its answers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Mutex;
use std::time::Duration;

use hitch_admission::nested::Classifier;
use hitch_gate::shards::lock;

use crate::frame::Answer;
use crate::frame::Call;
use crate::mesh::Mesh;

/// Routes of nested calls for which answers are remembered at most.
const MAX_ROUTES: usize = 1_024;
/// Time for which the counts of the instances are kept, since counting thousands of members for each call is expensive.
const SHARES_TTL: Duration = Duration::from_secs(1);

/// What a node knows of the routes of nested calls.
#[derive(Debug, Default)]
pub(crate) struct NestedRoutes {
    /// Evidence from the calls for the local backend server.
    classifier: Mutex<Classifier>,
    /// Routes that answers of other nodes named.
    reported: Mutex<BTreeSet<Box<str>>>,
    shares: Mutex<Shares>,
}

/// Fraction of the instances that are of each service.
#[derive(Debug, Default)]
struct Shares {
    by_service: BTreeMap<Box<str>, f64>,
    computed_at: Option<Duration>,
}

impl NestedRoutes {
    /// Returns the fraction of the known instances that are of a service; 1 if there is none, which is no evidence.
    fn instance_share(&self, mesh: &Mesh, service: &str) -> f64 {
        let now = mesh.now();
        let mut shares = lock(&self.shares);
        let is_recent = |at: Duration| now < at + SHARES_TTL;
        if !shares.computed_at.is_some_and(is_recent) {
            shares.by_service = lock(&mesh.members).service_shares();
            shares.computed_at = Some(now);
        }
        shares.by_service.get(service).copied().unwrap_or(1.0)
    }
}

/// Returns whether a request that enters here is a nested call; never without measured admission.
pub(crate) fn is_nested(mesh: &Mesh, route: &str) -> bool {
    is_measured(mesh) && lock(&mesh.nested_routes.reported).contains(route)
}

/// Takes over what the answer to a call says of its route.
///
/// A node that cannot tell yet repeats what the call said. So only the answer to a call that was marked as nested says that
/// the route carries no nested calls; without this rule, answers to earlier calls withdrew what others had found.
pub(crate) fn learn(mesh: &Mesh, route: &str, call: &Call, answer: &Answer) {
    if !is_measured(mesh) {
        return;
    }
    let mut reported = lock(&mesh.nested_routes.reported);
    if !answer.nested {
        if call.nested {
            reported.remove(route);
        }
    } else if !reported.contains(route) && reported.len() < MAX_ROUTES {
        reported.insert(route.into());
    }
}

/// Decides whether a call for the local backend server is a nested one. `is_remote` is false for a request that entered at
/// this node: an instance that is cut off gets all its calls from itself, which is no evidence.
pub(crate) fn classify(mesh: &Mesh, call: &mut Call, is_remote: bool) {
    if !is_measured(mesh) {
        return;
    }
    let table = mesh.table.load();
    let route = table
        .as_ref()
        .and_then(|table| table.try_find(&call.host, &call.path));
    let Some(route) = route else { return };
    let mut classifier = lock(&mesh.nested_routes.classifier);
    if is_remote {
        let share = mesh.nested_routes.instance_share(mesh, &call.caller);
        classifier.arrived(&route.name, &call.caller, share);
    }
    // The node where the call entered knows what other nodes have found out.
    let is_reported = call.nested && classifier.is_undecided(&route.name);
    call.nested = is_reported || classifier.is_nested(&route.name);
}

fn is_measured(mesh: &Mesh) -> bool {
    mesh.runtime.load().measured_admission
}
