//! Tests of the example contracts in this repository.

use hitch_contract::Contract;

fn example(customer: &str) -> Contract {
    let path = format!("{}/../examples/{customer}.yaml", env!("CARGO_MANIFEST_DIR"));
    let bytes = std::fs::read(&path).unwrap();
    hitch_contract::from_bytes(&path, &bytes).unwrap_or_else(|err| panic!("{err}"))
}

fn ranks(contract: &Contract) -> Vec<&str> {
    contract.ranks.iter().map(|r| &*r.name).collect()
}

/// Guards against an example that is invalid or whose capacities differ from the deployment.
#[test]
fn association_matches_its_deployment() {
    let contract = example("association");
    assert_eq!(&*contract.customer, "association");
    assert_eq!(ranks(&contract), ["fee", "commission", "lookup", "enquiry"]);
    for service in &contract.services {
        assert_eq!((service.slots, service.connections), (13, 130));
    }
    let names: Vec<_> = contract.services.iter().map(|s| &*s.name).collect();
    assert_eq!(names, ["registry", "workshop", "ledger"]);
}

/// Guards against an example that is invalid or whose capacities differ from the deployment.
#[test]
fn tbilisi_matches_its_deployment() {
    let contract = example("tbilisi");
    assert_eq!(&*contract.customer, "tbilisi");
    assert_eq!(ranks(&contract), ["booking", "claim", "lookup", "reading"]);
    for service in &contract.services {
        assert_eq!((service.slots, service.connections), (18, 110));
    }
    let names: Vec<_> = contract.services.iter().map(|s| &*s.name).collect();
    assert_eq!(names, ["readings", "subsidy", "booking"]);
}
