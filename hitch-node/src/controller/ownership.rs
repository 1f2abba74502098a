//! Distributes the ownership of idempotency keys, and plans the records of the own service.
//!
//! The readers of each availability zone tail the log stream and keep its latest records by service. The
//! other nodes pull those of their own service from them, so reads of the log do not grow with the fleet.

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
/// Longest time that the log holds a read open for new records.
const WAIT: Duration = Duration::from_secs(2);
/// Most records of one read.
const MAX_RECORDS: u32 = 512;
/// Time between two pulls of a node that has all it needs.
const PULL_PERIOD: Duration = Duration::from_secs(3);
/// Time between two pulls of a node that waits for a record.
const URGENT_PERIOD: Duration = Duration::from_millis(150);
/// Pause after a failed read.
const PAUSE: Duration = Duration::from_millis(500);
/// Longest time that a reader takes to answer a pull.
const PULL_TIMEOUT: Duration = Duration::from_millis(500);

/// Answers a pull.
///
/// ```no_run
/// # fn run(node: hitch_node::Node) {
/// let reply = hitch_node::controller::ownership::serve(&node, &Default::default());
/// assert!(reply.busy);
/// # }
/// ```
pub fn serve(node: &Node, req: &FetchOwnershipRequest) -> FetchOwnershipReply {
    node.metrics
        .control("ownership", "received", req.encoded_len());
    let mut reply = lock(&node.board.tail).serve(&req.service, req.next_offset);
    reply.stamp = wire::stamp(&node.recorder);
    node.metrics
        .control("ownership", "sent", reply.encoded_len());
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
            lock(&node.board.tail).reached_end = false;
            tokio::time::sleep(URGENT_PERIOD).await;
            continue;
        }
        if read_tail(&node).await.is_err() {
            let jitter = rand::rng().random_range(0.5..1.0);
            tokio::time::sleep(PAUSE.mul_f64(jitter)).await;
        }
    }
}

async fn read_tail(node: &Node) -> Result<(), Error> {
    let from = lock(&node.board.tail).next_offset;
    node.metrics.log_reads.inc();
    let wait = if lock(&node.board.tail).reached_end {
        WAIT
    } else {
        Duration::ZERO
    };
    let outcome = match node.log.read(STREAM, from, MAX_RECORDS, wait).await {
        Err(Error::Trimmed { first, .. }) => {
            // Which records were trimmed is not known, so nothing that they granted counts.
            let mut tail = lock(&node.board.tail);
            tail.next_offset = first;
            tail.complete_from_ms = tail.complete_from_ms.max(complete_from(wall_ms()));
            return Ok(());
        }
        outcome => outcome?,
    };
    let mut tail = lock(&node.board.tail);
    // An answer may be cut short by its size, so only one without records shows the end.
    tail.reached_end |= outcome.records.is_empty();
    for record in outcome.records {
        tail.push(record.offset, record.time_ms, record.data);
    }
    Ok(())
}

/// Pulls the records of the own service and appends the next one when it is this node's turn, for as
/// long as it runs.
///
/// ```no_run
/// # async fn run(node: std::sync::Arc<hitch_node::Node>) {
/// hitch_node::controller::ownership::run(node).await
/// # }
/// ```
pub async fn run(node: Arc<Node>) {
    let mut own = Own::new(&node);
    loop {
        let pause = own.step().await;
        let _ = tokio::time::timeout(pause, node.board.ownership_wake.notified()).await;
    }
}

struct Own<'a> {
    node: &'a Node,
    me: Holder,
    planner: Planner,
    /// Offset up to which the records of the service are applied.
    covered: u64,
    /// Offset that the map must cover before the last append counts as read back.
    wanted: Option<u64>,
    released: bool,
}

impl<'a> Own<'a> {
    fn new(node: &'a Node) -> Own<'a> {
        let instance = node.settings.instance.clone();
        let me = Holder {
            instance,
            incarnation: Incarnation(node.incarnation),
        };
        let planner = Planner::new(
            &node.settings.backend.service,
            me.clone(),
            Options::default(),
        );
        Own {
            node,
            me,
            planner,
            covered: 0,
            wanted: None,
            released: false,
        }
    }

    async fn step(&mut self) -> Duration {
        let pulled = self.pull().await;
        if !pulled {
            return URGENT_PERIOD;
        }
        if self.wanted.is_some_and(|wanted| self.covered >= wanted) {
            self.wanted = None;
            self.planner.finish_read_back();
        }
        if self.wanted.is_some() {
            return URGENT_PERIOD;
        }
        if self.node.is_draining() {
            return self.leave().await;
        }
        self.plan().await
    }

    async fn plan(&mut self) -> Duration {
        let Some(interval) = self.key_interval() else {
            return PULL_PERIOD;
        };
        self.planner.configure(Options {
            interval_ms: interval.as_millis() as u64,
        });
        let live = self.live();
        let now_ms = wall_ms();
        let step = {
            let mut section = lock(&self.node.board.once);
            section
                .map
                .prune(now_ms.saturating_sub(2 * hitch_once::key::MAX_AGE_MS));
            self.planner.next(&section.map, &live, now_ms)
        };
        match step {
            Step::Append(record) => self.append(&record).await,
            Step::ReadBack => self.read_back().await,
            Step::Wait { until_ms } => {
                let wait = Duration::from_millis(until_ms.saturating_sub(now_ms));
                wait.clamp(URGENT_PERIOD, PULL_PERIOD)
            }
        }
    }

    /// Gives up the keys that this node has not accepted, once, so that others can take them.
    async fn leave(&mut self) -> Duration {
        if self.released {
            return PULL_PERIOD;
        }
        self.released = true;
        let live = self.live();
        let record = {
            let mut section = lock(&self.node.board.once);
            let release = section.table.release(wall_ms());
            self.planner.plan_release(&section.map, &live, &release)
        };
        self.append(&record).await
    }

    async fn append(&mut self, record: &Record) -> Duration {
        self.node.metrics.log_appends.inc();
        let data = record.to_bytes().into();
        match self.node.log.append(STREAM, data).await {
            Ok(offset) => {
                self.wanted = Some(offset + 1);
                let text = format!("ownership: appended record {}", record.sequence);
                self.node
                    .recorder
                    .record(Kind::Ownership, Default::default(), text);
                URGENT_PERIOD
            }
            Err(err) if err.is_not_appended() => {
                slog::debug!(self.node.recorder.log(), "ownership: {}", err);
                self.planner.append_refused(wall_ms());
                PAUSE
            }
            // The planner asks to read back, since the record may have taken effect.
            Err(_) => URGENT_PERIOD,
        }
    }

    /// Reads the log itself to its end, because a reader's read may have begun before the append.
    async fn read_back(&mut self) -> Duration {
        loop {
            self.node.metrics.log_reads.inc();
            let read = self
                .node
                .log
                .read(STREAM, self.covered, MAX_RECORDS, Duration::ZERO)
                .await;
            let Ok(outcome) = read else { return PAUSE };
            let at_end = outcome.records.is_empty();
            for record in outcome.records {
                self.apply(record.offset, &record.data);
            }
            self.covered = self.covered.max(outcome.next);
            if at_end {
                self.planner.finish_read_back();
                return URGENT_PERIOD;
            }
        }
    }

    async fn pull(&mut self) -> bool {
        let reply = if is_reader(self.node) {
            let tail = lock(&self.node.board.tail);
            Some(tail.serve(&self.node.settings.backend.service, self.covered))
        } else {
            self.pull_from_reader().await
        };
        let Some(reply) = reply.filter(|reply| !reply.busy) else {
            return false;
        };
        if self.covered == 0 {
            let mut section = lock(&self.node.board.once);
            section.map = hitch_once::OwnershipMap::new(reply.complete_from_ms);
        }
        for record in reply.records {
            self.apply(record.offset, &record.data);
        }
        self.covered = self.covered.max(reply.next_offset);
        lock(&self.node.board.once).map.mark_caught_up();
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
                next_offset: self.covered,
            };
            self.node
                .metrics
                .control("ownership", "sent", req.encoded_len());
            let reply = client.fetch_ownership(req).await.ok()?.into_inner();
            self.node
                .metrics
                .control("ownership", "received", reply.encoded_len());
            wire::observe(&self.node.recorder, reply.stamp);
            Some(reply)
        };
        tokio::time::timeout(PULL_TIMEOUT, pull)
            .await
            .ok()
            .flatten()
    }

    /// Picks a reader of the own availability zone, or of any other one when it has none.
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
        let mut section = lock(&self.node.board.once);
        if let Err(err) = section.map.apply(offset, &record, Source::Log) {
            slog::warn!(self.node.recorder.log(), "ownership: {}", err);
        }
    }

    /// Lists the nodes of the service that are ready.
    fn live(&self) -> Vec<Holder> {
        let roster = lock(&self.node.board.roster);
        let mut live = Vec::new();
        for (_, member) in roster.members() {
            let contact = &member.contact;
            if member.state != State::Ready || contact.service != self.node.settings.backend.service
            {
                continue;
            }
            let incarnation = Incarnation(member.incarnation.0);
            live.push(Holder {
                instance: contact.instance.clone(),
                incarnation,
            });
        }
        // An own incarnation that was renewed must not be granted keys that its table would refuse.
        live.retain(|holder| holder.instance != self.me.instance || *holder == self.me);
        live
    }

    fn key_interval(&self) -> Option<Duration> {
        let table = self.node.table();
        let contract = table.try_contract(&self.node.settings.backend.customer)?;
        Some(contract.key_interval)
    }
}
