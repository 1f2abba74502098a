//! Connections to other nodes.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use hitch_proto::peer::peer_client::PeerClient;
use snafu::ResultExt;
use snafu::Snafu;
use tonic::transport::Channel;
use tonic::transport::Endpoint;

use crate::shards::lock;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of a message between nodes, in bytes: a body, its head and room for a snapshot.
pub const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// Traffic class. Each class has a connection of its own, so that urgent calls never wait behind
/// bulk data of other classes (head-of-line blocking in TCP).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Calls of the more urgent half of the ranks.
    Urgent,
    /// Calls of the other ranks.
    Other,
    /// Membership, configuration, shares and ownership.
    Control,
}

/// Error of opening a connection. No message was sent.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The address is not valid.
    #[snafu(display("peer {peer} has an address that is not valid: {source}"))]
    Address {
        /// Address of the peer.
        peer: Box<str>,
        /// Error of parsing the address.
        source: tonic::transport::Error,
    },
    /// The connection could not be opened.
    #[snafu(display("cannot connect to peer {peer}: {source}"))]
    Connect {
        /// Address of the peer.
        peer: Box<str>,
        /// Error of the transport.
        source: tonic::transport::Error,
    },
}

/// Open connections to other nodes, by address and traffic class.
#[derive(Debug, Default)]
pub struct Peers {
    channels: Mutex<BTreeMap<(Box<str>, Class), Channel>>,
}

impl Peers {
    /// Returns a client for the peer at `address`, and opens a connection first if there is none.
    ///
    /// An error means that no message was sent.
    ///
    /// ```no_run
    /// # async fn run() -> Result<(), hitch_node::peers::Error> {
    /// let peers = hitch_node::peers::Peers::default();
    /// let client = peers.client("127.0.0.1:7102", hitch_node::peers::Class::Control).await?;
    /// # Ok(()) }
    /// ```
    pub async fn client(&self, address: &str, class: Class) -> Result<PeerClient<Channel>, Error> {
        let channel_key = (Box::from(address), class);
        let existing = lock(&self.channels).get(&channel_key).cloned();
        let channel = match existing {
            Some(channel) => channel,
            None => {
                let channel = connect(address).await?;
                lock(&self.channels)
                    .entry(channel_key)
                    .or_insert(channel)
                    .clone()
            }
        };
        Ok(PeerClient::new(channel)
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES))
    }

    /// Closes the connections to a peer, after an error or when the peer is gone.
    ///
    /// ```
    /// hitch_node::peers::Peers::default().disconnect("127.0.0.1:7102");
    /// ```
    pub fn disconnect(&self, address: &str) {
        lock(&self.channels).retain(|(peer, _), _| **peer != *address);
    }
}

async fn connect(address: &str) -> Result<Channel, Error> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))
        .context(AddressSnafu { peer: address })?
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true);
    endpoint
        .connect()
        .await
        .context(ConnectSnafu { peer: address })
}
