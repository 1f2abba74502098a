//! The contract in force that a change or a comparison refers to.

use std::net::SocketAddr;
use std::time::Duration;

use hitch_log::Client;

use crate::admin_client::AdminClient;
use crate::replay::Replay;
use crate::run::Error;

/// The contract of a customer that is in force.
pub(crate) struct InForce {
    pub(crate) version: u64,
    pub(crate) text: Box<str>,
}

/// Finds the newest contract of `customer` that the nodes know, or the one in the log when no node
/// is given.
pub(crate) async fn find(
    nodes: &AdminClient,
    seeds: &[SocketAddr],
    log: &Client,
    patience: Duration,
    customer: &str,
) -> Result<InForce, Error> {
    let found = match seeds.is_empty() {
        true => from_log(log, patience, customer).await?,
        false => from_nodes(nodes, seeds, customer).await?,
    };
    found.ok_or_else(|| Error::UnknownCustomer {
        customer: customer.into(),
    })
}

async fn from_nodes(
    nodes: &AdminClient,
    seeds: &[SocketAddr],
    customer: &str,
) -> Result<Option<InForce>, Error> {
    let mut answers = nodes.statuses(seeds.iter().copied()).await;
    if answers.responses.is_empty() {
        return Err(Error::NodesUnreachable {
            errors: std::mem::take(&mut answers.errors),
        });
    }
    let mut newest: Option<InForce> = None;
    for (_, status) in answers.responses {
        for contract in status.contracts {
            let newer = newest.as_ref().is_none_or(|n| n.version < contract.version);
            if &*contract.customer != customer || !newer {
                continue;
            }
            newest = Some(InForce {
                version: contract.version,
                text: contract.text,
            });
        }
    }
    Ok(newest)
}

async fn from_log(
    log: &Client,
    patience: Duration,
    customer: &str,
) -> Result<Option<InForce>, Error> {
    let mut replay = Replay::of(log, patience);
    replay.advance(|_| {}).await?;
    Ok(replay.state().try_find(customer).map(|accepted| InForce {
        version: accepted.version,
        text: accepted.text.clone(),
    }))
}
