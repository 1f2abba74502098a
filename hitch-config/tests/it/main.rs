//! Tests of the configuration state.
mod apply;
mod snapshot;

use hitch_config::Change;
use uuid::Uuid;

/// Makes a change whose contract has one service and one route.
pub fn change(id: u128, customer: &str, based_on: u64, service: &str) -> Change {
    let contract = format!(
        "customer: {customer}\nlands_within: 10s\nranks:\n  - {{ name: fee, target_latency: 150ms, worth: 1, share: 30%, admit: 9/s }}\nservices:\n  - {{ name: {service}, slots: 2, connections: 4 }}\nroutes:\n  - {{ method: GET, path: /{service}, service: {service}, idempotent: true, deadline: 1s }}\n"
    );
    Change {
        change_id: Uuid::from_u128(id),
        customer: customer.into(),
        based_on,
        operator: "test".into(),
        contract: contract.into(),
    }
}
