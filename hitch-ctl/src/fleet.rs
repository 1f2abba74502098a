//! Merged view of all nodes, from the status reports of several of them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hitch_admin::Status;
use serde::Serialize;

/// Member state of a node that is left out of the fleet and not waited for.
const GONE: &str = "gone";

/// One node, as its own status report or the member lists of other nodes describe it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Node {
    /// Instance of the node.
    pub instance: Box<str>,
    /// Availability zone of the instance.
    pub zone: Box<str>,
    /// Service of the node's local backend server.
    pub service: Box<str>,
    /// State of the node as a member, such as `ready`.
    pub state: Box<str>,
    /// Address of the admin listener, `None` when it is unknown.
    pub admin: Option<SocketAddr>,
    /// Highest version in force that any report gives, 0 when none does. The version of a node never
    /// decreases, so the maximum is right even when an older report arrives late.
    pub version_in_force: u64,
    /// The node's own report of the current round, `None` when only other nodes listed it.
    #[serde(skip)]
    pub own: Option<OwnReport>,
    /// Polling round in which a report last listed the node.
    #[serde(skip)]
    named_in: u64,
}

/// Values that only the node itself reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnReport {
    /// Newest version that the node knows, in force or not.
    pub version_known: u64,
    /// Why the node is not ready for calls; empty when it is ready.
    pub not_ready_reason: Box<str>,
    /// Time since a node that reads the log last confirmed its end, in milliseconds.
    pub confirmed_age_ms: Option<u64>,
}

/// All known nodes, by instance.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    nodes: BTreeMap<Box<str>, Node>,
    round: u64,
}

impl Fleet {
    /// Merges the status report of the node whose admin listener is at `peer`.
    ///
    /// ```
    /// use hitch_admin::Status;
    ///
    /// let status = Status { instance: "i-1".into(), version_in_force: 3, ..Status::default() };
    /// let mut fleet = hitch_ctl::fleet::Fleet::default();
    /// fleet.merge_report("127.0.0.1:7102".parse().unwrap(), &status);
    /// assert_eq!(fleet.present().next().unwrap().version_in_force, 3);
    /// ```
    pub fn merge_report(&mut self, peer: SocketAddr, status: &Status) {
        let round = self.round;
        for member in &status.members {
            let node = self.node_mut(&member.instance);
            node.version_in_force = node.version_in_force.max(member.version_in_force);
            if node.own.is_some() {
                continue;
            }
            node.admin = node.admin.or(member.admin.parse().ok());
            // A node counts as gone only when every report of the round says so.
            if node.named_in != round || node.state.is_empty() || &*node.state == GONE {
                node.state = member.state.clone();
            }
            node.named_in = round;
            node.zone = member.zone.clone();
            node.service = member.service.clone();
        }
        let node = self.node_mut(&status.instance);
        node.version_in_force = node.version_in_force.max(status.version_in_force);
        node.admin = Some(peer);
        node.state = status.state.clone();
        node.named_in = round;
        node.zone = status.zone.clone();
        node.service = status.service.clone();
        node.own = Some(OwnReport {
            version_known: status.version_known,
            not_ready_reason: match status.ready {
                true => Box::default(),
                false => status.not_ready_reason.clone().unwrap_or_default(),
            },
            confirmed_age_ms: status.confirmed_age_ms,
        });
    }

    /// Iterates over the nodes that are not gone, sorted by instance.
    ///
    /// ```
    /// assert_eq!(hitch_ctl::fleet::Fleet::default().present().count(), 0);
    /// ```
    pub fn present(&self) -> impl Iterator<Item = &Node> {
        self.nodes.values().filter(|node| &*node.state != GONE)
    }

    /// Starts a polling round: discards the nodes' own reports, and lets the reports of the new round
    /// replace the member states of earlier rounds. A node that all of them list as gone leaves
    /// [`Fleet::present`].
    ///
    /// A node that no report of the round lists stays in it: nodes that are starting learn of each
    /// other one by one, and the polled ones may not know it yet.
    ///
    /// ```
    /// hitch_ctl::fleet::Fleet::default().start_round();
    /// ```
    pub fn start_round(&mut self) {
        self.round += 1;
        for node in self.nodes.values_mut() {
            node.own = None;
        }
    }

    fn node_mut(&mut self, instance: &str) -> &mut Node {
        self.nodes.entry(instance.into()).or_insert_with(|| Node {
            instance: instance.into(),
            ..Node::default()
        })
    }
}
