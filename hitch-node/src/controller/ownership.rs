//! Distributes the ownership of idempotency keys, and plans the ownership records of this node's
//! service.
//!
//! The readers of each availability zone tail the log stream and keep its latest records by
//! service. The other nodes pull the records of their service from them, so reads of the log do not
//! grow with the fleet.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use hitch_event::Kind;
use hitch_log::read::Error;
use hitch_once::Holder;
use hitch_once::Incarnation;
use hitch_once::Planner;
use hitch_once::Record;
use hitch_once::Step;
use hitch_once::map::Source;
use hitch_once::map::complete_from;
use hitch_once::plan::Options;
use hitch_proto::peer::FetchOwnershipReply;
use hitch_proto::peer::FetchOwnershipRequest;
use hitch_roster::State;
use prost::Message;
use rand::RngExt;

use crate::controller::reader::READERS_PER_ZONE;
use crate::controller::reader::is_reader;
use crate::node::Node;
use crate::peers::Class;
use crate::shards::lock;
use crate::time::wall_ms;
use crate::wire;

/// Stream of the log that holds ownership records.
pub const STREAM: &str = "ownership";
/// Maximum time that the log holds a read open for new records (long polling).
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of records of one read.
const MAX_RECORDS: u32 = 512;
/// Interval between pulls of a node that waits for no record.
const PULL_INTERVAL: Duration = Duration::from_secs(3);
/// Interval between pulls of a node that waits for a record.
const URGENT_PULL_INTERVAL: Duration = Duration::from_millis(150);
/// Maximum backoff after a failed read, and backoff after a failed append.
const BACKOFF: Duration = Duration::from_millis(500);
/// Timeout for a pull from a reader.
const PULL_TIMEOUT: Duration = Duration::from_millis(500);

/// Answers a pull with the ownership records that this node keeps as a reader.
///
/// ```no_run
/// # fn run(node: hitch_node::Node) {
/// let reply = hitch_node::controller::ownership::serve(&node, &Default::default());
/// assert!(reply.busy);
/// # }
/// ```
pub fn serve(node: &Node, req: &FetchOwnershipRequest) -> FetchOwnershipReply {
    node.metrics
        .count_control_message("ownership", "received", req.encoded_len());
    let mut reply = lock(&node.board.ownership_cache).fetch(&req.service, req.next_offset);
    reply.stamp = wire::stamp(&node.recorder);
    node.metrics
        .count_control_message("ownership", "sent", reply.encoded_len());
    reply
}

/// Tails the stream whenever this node is a reader, for as long as it runs.
///
/// ```no_run
/// # async fn run(node: std::sync::Arc<hitch_node::Node>) {
/// hitch_node::controller::ownership::tail(node).await
/// # }
/// ```
pub async fn tail(node: Arc<Node>) {
    loop {
        if !is_reader(&node) {
            lock(&node.board.ownership_cache).caught_up = false;
            tokio::time::sleep(URGENT_PULL_INTERVAL).await;
            continue;
        }
        if read_log(&node).await.is_err() {
            let jitter = rand::rng().random_range(0.5..1.0);
            tokio::time::sleep(BACKOFF.mul_f64(jitter)).await;
        }
    }
}

async fn read_log(node: &Node) -> Result<(), Error> {
    let from = lock(&node.board.ownership_cache).next_offset;
    node.metrics.log_reads.inc();
    let wait = if lock(&node.board.ownership_cache).caught_up {
        LONG_POLL_TIMEOUT
    } else {
        Duration::ZERO
    };
    let outcome = match node.log.read(STREAM, from, MAX_RECORDS, wait).await {
        Err(Error::Trimmed { first, .. }) => {
            // The content of the trimmed records is unknown, so no key that they may have granted
            // counts as covered.
            let mut cache = lock(&node.board.ownership_cache);
            cache.next_offset = first;
            cache.complete_from_ms = cache.complete_from_ms.max(complete_from(wall_ms()));
            return Ok(());
        }
        outcome => outcome?,
    };
    let mut cache = lock(&node.board.ownership_cache);
    // An answer is limited in size, so only one without records shows the end.
    cache.caught_up |= outcome.records.is_empty();
    for record in outcome.records {
        cache.push(record.offset, record.time_ms, record.data);
    }
    Ok(())
}

/// Pulls the ownership records of this node's service and appends the next one when it is this
/// node's turn, for as long as it runs.
///
/// ```no_run
/// # async fn run(node: std::sync::Arc<hitch_node::Node>) {
/// hitch_node::controller::ownership::run(node).await
/// # }
/// ```
pub async fn run(node: Arc<Node>) {
    let mut task = OwnershipTask::new(&node);
    loop {
        let pause = task.step().await;
        let _ = tokio::time::timeout(pause, node.board.ownership_wake.notified()).await;
    }
}

struct OwnershipTask<'a> {
    node: &'a Node,
    holder: Holder,
    planner: Planner,
    /// Offset up to which the records of the service are applied.
    applied_to: u64,
    /// Offset up to which records must be applied before the last append counts as read back.
    read_back_to: Option<u64>,
    released: bool,
}

impl<'a> OwnershipTask<'a> {
    fn new(node: &'a Node) -> OwnershipTask<'a> {
        let instance = node.settings.instance.clone();
        let holder = Holder {
            instance,
            incarnation: Incarnation(node.incarnation),
        };
        let planner = Planner::new(
            &node.settings.backend.service,
            holder.clone(),
            Options::default(),
        );
        OwnershipTask {
            node,
            holder,
            planner,
            applied_to: 0,
            read_back_to: None,
            released: false,
        }
    }

    async fn step(&mut self) -> Duration {
        let pulled = self.pull().await;
        if !pulled {
            return URGENT_PULL_INTERVAL;
        }
        if self
            .read_back_to
            .is_some_and(|offset| self.applied_to >= offset)
        {
            self.read_back_to = None;
            self.planner.finish_read_back();
        }
        if self.read_back_to.is_some() {
            return URGENT_PULL_INTERVAL;
        }
        if self.node.is_draining() {
            return self.release_keys().await;
        }
        self.plan().await
    }

    async fn plan(&mut self) -> Duration {
        let Some(interval) = self.key_interval() else {
            return PULL_INTERVAL;
        };
        self.planner.configure(Options {
            interval_ms: interval.as_millis() as u64,
        });
        let holders = self.ready_holders();
        let now_ms = wall_ms();
        let step = {
            let mut keys = lock(&self.node.board.keys);
            keys.ownership
                .prune(now_ms.saturating_sub(2 * hitch_once::key::MAX_AGE_MS));
            self.planner.next(&keys.ownership, &holders, now_ms)
        };
        match step {
            Step::Append(record) => self.append(&record).await,
            Step::ReadBack => self.read_back().await,
            Step::Wait { until_ms } => {
                let wait = Duration::from_millis(until_ms.saturating_sub(now_ms));
                wait.clamp(URGENT_PULL_INTERVAL, PULL_INTERVAL)
            }
        }
    }

    /// Releases the keys that this node has not accepted, once, so that other nodes can own them.
    async fn release_keys(&mut self) -> Duration {
        if self.released {
            return PULL_INTERVAL;
        }
        self.released = true;
        let holders = self.ready_holders();
        let record = {
            let mut keys = lock(&self.node.board.keys);
            let release = keys.table.release(wall_ms());
            self.planner
                .plan_release(&keys.ownership, &holders, &release)
        };
        self.append(&record).await
    }

    async fn append(&mut self, record: &Record) -> Duration {
        self.node.metrics.log_appends.inc();
        let data = record.to_bytes().into();
        match self.node.log.append(STREAM, data).await {
            Ok(offset) => {
                self.read_back_to = Some(offset + 1);
                let text = format!("ownership: appended record {}", record.sequence);
                self.node
                    .recorder
                    .record(Kind::Ownership, Default::default(), text);
                URGENT_PULL_INTERVAL
            }
            Err(err) if err.is_not_appended() => {
                slog::debug!(
                    self.node.recorder.log(),
                    "ownership: record not appended: {}",
                    err
                );
                self.planner.append_refused(wall_ms());
                BACKOFF
            }
            // The planner requests a read back, since the record may have been appended.
            Err(_) => URGENT_PULL_INTERVAL,
        }
    }

    /// Reads the log to its end, because the last read of a reader may have started before the
    /// append.
    async fn read_back(&mut self) -> Duration {
        loop {
            self.node.metrics.log_reads.inc();
            let read = self
                .node
                .log
                .read(STREAM, self.applied_to, MAX_RECORDS, Duration::ZERO)
                .await;
            let Ok(outcome) = read else { return BACKOFF };
            let at_end = outcome.records.is_empty();
            for record in outcome.records {
                self.apply(record.offset, &record.data);
            }
            self.applied_to = self.applied_to.max(outcome.next);
            if at_end {
                self.planner.finish_read_back();
                return URGENT_PULL_INTERVAL;
            }
        }
    }

    async fn pull(&mut self) -> bool {
        let reply = if is_reader(self.node) {
            let cache = lock(&self.node.board.ownership_cache);
            Some(cache.fetch(&self.node.settings.backend.service, self.applied_to))
        } else {
            self.pull_from_reader().await
        };
        let Some(reply) = reply.filter(|reply| !reply.busy) else {
            return false;
        };
        if self.applied_to == 0 {
            let mut keys = lock(&self.node.board.keys);
            keys.ownership = hitch_once::OwnershipMap::new(reply.complete_from_ms);
        }
        for record in reply.records {
            self.apply(record.offset, &record.data);
        }
        self.applied_to = self.applied_to.max(reply.next_offset);
        lock(&self.node.board.keys).ownership.mark_caught_up();
        self.node
            .board
            .ownership_pulls
            .send_modify(|pulls| *pulls += 1);
        true
    }

    async fn pull_from_reader(&self) -> Option<FetchOwnershipReply> {
        let address = self.random_reader()?;
        let pull = async {
            let mut client = self
                .node
                .peers
                .client(&address, Class::Control)
                .await
                .ok()?;
            let req = FetchOwnershipRequest {
                stamp: wire::stamp(&self.node.recorder),
                from_instance: self.node.settings.instance.to_string(),
                service: self.node.settings.backend.service.to_string(),
                next_offset: self.applied_to,
            };
            self.node
                .metrics
                .count_control_message("ownership", "sent", req.encoded_len());
            let reply = client.fetch_ownership(req).await.ok()?.into_inner();
            self.node
                .metrics
                .count_control_message("ownership", "received", reply.encoded_len());
            wire::observe(&self.node.recorder, reply.stamp);
            Some(reply)
        };
        tokio::time::timeout(PULL_TIMEOUT, pull)
            .await
            .ok()
            .flatten()
    }

    /// Picks a random reader of this node's availability zone, or of any other one when it has
    /// none.
    fn random_reader(&self) -> Option<Box<str>> {
        let roster = lock(&self.node.board.roster);
        let own_zone = &self.node.settings.zone;
        let mut readers = roster.readers(own_zone, READERS_PER_ZONE);
        if readers.is_empty() {
            let mut zones = BTreeSet::new();
            for (_, member) in roster.members() {
                zones.insert(member.contact.zone.clone());
            }
            for zone in zones {
                readers.extend(roster.readers(&zone, READERS_PER_ZONE));
            }
        }
        if readers.is_empty() {
            return None;
        }
        let at = rand::rng().random_range(0..readers.len());
        let reader = roster.get(readers[at])?;
        Some(reader.contact.address.clone())
    }

    fn apply(&self, offset: u64, data: &[u8]) {
        let Ok(record) = Record::from_bytes(data) else {
            return;
        };
        if record.service != self.node.settings.backend.service {
            return;
        }
        let mut keys = lock(&self.node.board.keys);
        if let Err(err) = keys.ownership.apply(offset, &record, Source::Log) {
            slog::warn!(
                self.node.recorder.log(),
                "ownership: cannot apply a record: {}",
                err
            );
        }
    }

    /// Lists the ready nodes of this service.
    fn ready_holders(&self) -> Vec<Holder> {
        let roster = lock(&self.node.board.roster);
        let mut holders = Vec::new();
        for (_, member) in roster.members() {
            let contact = &member.contact;
            if member.state != State::Ready || contact.service != self.node.settings.backend.service
            {
                continue;
            }
            let incarnation = Incarnation(member.incarnation.0);
            holders.push(Holder {
                instance: contact.instance.clone(),
                incarnation,
            });
        }
        // Another incarnation of this instance must not be granted keys, which the table of this
        // one would refuse.
        holders.retain(|holder| holder.instance != self.holder.instance || *holder == self.holder);
        holders
    }

    fn key_interval(&self) -> Option<Duration> {
        let table = self.node.table();
        let contract = table.try_contract(&self.node.settings.backend.customer)?;
        Some(contract.key_interval)
    }
}
