//! Operators, which publish changes through the log.

use std::time::Duration;

use rand::RngExt;
use uuid::Uuid;

use crate::contract;
use crate::contract::CUSTOMER;
use crate::log;
use crate::log::Appended;
use crate::script::Point;
use crate::simulation::Event;
use crate::simulation::Simulation;

/// Interval after which an operator appends again or reads back.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// A change that an operator publishes.
#[derive(Debug)]
pub struct Publication {
    /// Identity of the change, which stays the same over all appends.
    pub change_id: Uuid,
    /// Version of the contract that the change replaces.
    pub based_on: u64,
    /// The contract, as YAML.
    pub text: Box<str>,
    /// `Some(Some(version))` once accepted, `Some(None)` once rejected, `None` while unknown.
    pub verdict: Option<Option<u64>>,
    started: bool,
}

impl Simulation {
    /// Starts to publish `count` changes, all based on the current version.
    pub(crate) fn publish(&mut self, count: usize, valid: bool) {
        self.sync_history();
        let state = &self.history.reference;
        let based_on = state.try_find(CUSTOMER).map_or(0, |a| a.version);
        for _ in 0..count {
            let text = match valid {
                true => contract::text(self.publications.len()),
                false => "customer: association\n".into(),
            };
            self.publications.push(Publication {
                change_id: uuid::Builder::from_u128(self.rng.random()).into_uuid(),
                based_on,
                text,
                verdict: None,
                started: false,
            });
            let jitter = Duration::from_micros(self.rng.random_range(0..2_000));
            self.schedule(jitter, 0, Event::Operator(self.publications.len() - 1));
        }
    }

    /// Reads the change back from the log, and appends it if the log does not hold it.
    pub(crate) fn publish_step(&mut self, i: usize) {
        if !std::mem::replace(&mut self.publications[i].started, true) {
            self.trigger_faults(Point::Publish, 0, None);
        }
        self.sync_history();
        let change_id = self.publications[i].change_id;
        if self.log.latency().is_none() {
            return self.schedule(RETRY_INTERVAL, 0, Event::Operator(i));
        }
        if let Some(verdict) = self.history.verdicts.get(&change_id) {
            self.publications[i].verdict = Some(*verdict);
            return;
        }
        self.trigger_faults(Point::Append, 0, None);
        let publication = &self.publications[i];
        let change = contract::change(change_id, publication.based_on, &publication.text);
        let appended = self.log.append(self.now, log::CONFIG, &change.to_bytes());
        let wait = match appended {
            Appended::At(_) => self.log.latency().unwrap_or(RETRY_INTERVAL),
            Appended::Refused | Appended::NoAnswer => RETRY_INTERVAL,
        };
        self.schedule(wait, 0, Event::Operator(i));
    }

    /// Brings the reference state, which folds the whole log, up to date.
    pub(crate) fn sync_history(&mut self) {
        self.log.apply_delayed_appends(self.now);
        self.history.apply_log(self.log.all_records(log::CONFIG));
    }
}
