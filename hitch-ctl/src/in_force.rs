//! Look-up of the contract in force, to which an amendment or a comparison refers.

use std::net::SocketAddr;
use std::time::Duration;

use hitch_log::Client;

use crate::admin_client::AdminClient;
use crate::replay::Replay;
use crate::run::Error;

/// The version and text of a customer's contract in force.
pub(crate) struct InForce {
    pub(crate) version: u64,
    pub(crate) text: Box<str>,
}

/// Finds the newest contract of `customer` that the nodes at `seeds` know, or the newest accepted one
/// in the log when `seeds` is empty.
pub(crate) async fn find(
    client: &AdminClient,
    seeds: &[SocketAddr],
    log: &Client,
    log_timeout: Duration,
    customer: &str,
) -> Result<InForce, Error> {
    let found = match seeds.is_empty() {
        true => from_log(log, log_timeout, customer).await?,
        false => from_nodes(client, seeds, customer).await?,
    };
    found.ok_or_else(|| Error::UnknownCustomer {
        customer: customer.into(),
    })
}

async fn from_nodes(
    client: &AdminClient,
    seeds: &[SocketAddr],
    customer: &str,
) -> Result<Option<InForce>, Error> {
    let mut polled = client.statuses(seeds.iter().copied()).await;
    if polled.responses.is_empty() {
        return Err(Error::NodesUnreachable {
            errors: std::mem::take(&mut polled.errors),
        });
    }
    let mut newest: Option<InForce> = None;
    for (_, status) in polled.responses {
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
    log_timeout: Duration,
    customer: &str,
) -> Result<Option<InForce>, Error> {
    let mut replay = Replay::new(log, log_timeout);
    replay.advance(|_| {}).await?;
    Ok(replay.state().try_find(customer).map(|accepted| InForce {
        version: accepted.version,
        text: accepted.text.clone(),
    }))
}
