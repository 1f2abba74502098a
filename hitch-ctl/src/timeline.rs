//! Merged timeline of the events of all known nodes.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::UNIX_EPOCH;

use hitch_event::Event;
use hitch_event::timeline;
use hitch_event::timeline::Options;
use serde::Serialize;

use crate::admin_client::AdminClient;
use crate::admin_client::Error;
use crate::fleet::Fleet;

/// Events in causal order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Outcome {
    /// The events, causes before effects.
    pub events: Vec<Event>,
    /// Number of events that could not be decoded.
    pub malformed: usize,
    /// Failed requests; the events of these nodes are missing.
    #[serde(skip)]
    pub errors: Vec<Error>,
    /// Number of nodes whose events were received.
    pub nodes: usize,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.events.iter().map(format_event).collect();
        f.write_str(&lines.join("\n"))
    }
}

/// Reads and merges the events of `seeds` and of every node that they list.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() {
/// let client = hitch_ctl::admin_client::AdminClient::default();
/// let options = hitch_event::timeline::Options::default();
/// let outcome = hitch_ctl::timeline::read(&client, &[], &options).await;
/// assert!(outcome.events.is_empty());
/// # }
/// ```
pub async fn read(client: &AdminClient, seeds: &[SocketAddr], options: &Options) -> Outcome {
    let statuses = client.statuses(seeds.iter().copied()).await;
    let mut fleet = Fleet::default();
    for (peer, status) in &statuses.responses {
        fleet.merge_report(*peer, status);
    }
    let mut peers = seeds.to_vec();
    peers.extend(fleet.present().filter_map(|node| node.admin));
    if let Some(instance) = &options.instance {
        let node = fleet.present().find(|node| node.instance == *instance);
        peers = node.and_then(|node| node.admin).map_or(peers, |a| vec![a]);
    }
    let polled = client.all_events(peers, options).await;
    let nodes = polled.responses.len();
    let mut malformed = 0;
    let mut events = Vec::new();
    for (_, found) in polled.responses {
        malformed += found.malformed;
        events.extend(found.events);
    }
    Outcome {
        events: timeline::merge(events, options),
        malformed,
        errors: polled.errors,
        nodes,
    }
}

fn format_event(event: &Event) -> String {
    let time = UNIX_EPOCH + Duration::from_millis(event.stamp.wall_ms);
    let time = humantime::format_rfc3339_millis(time);
    let kind = serde_json::to_value(event.kind).unwrap_or_default();
    let kind = kind.as_str().unwrap_or_default();
    let mut out = format!("{time}+{} {} {kind}", event.stamp.logical, event.instance);
    if event.version > 0 {
        out.push_str(&format!(" version {}", event.version));
    }
    if !event.call_id.is_empty() {
        out.push_str(&format!(" call {}", event.call_id));
    }
    out.push_str(&format!(": {}", event.text));
    out
}
