//! Operators, who publish changes through the log.

use std::time::Duration;

use rand::RngExt;
use uuid::Uuid;

use crate::contract;
use crate::contract::CUSTOMER;
use crate::log;
use crate::log::Appended;
use crate::script::Point;
use crate::world::What;
use crate::world::World;

/// Time after which an operator tries again or reads back.
const AGAIN: Duration = Duration::from_millis(500);

/// One change that an operator publishes.
#[derive(Debug)]
pub struct Publish {
    /// Identity of the change.
    pub change_id: Uuid,
    /// Version in force when the operator looked.
    pub based_on: u64,
    /// The contract.
    pub text: Box<str>,
    /// The version that it became, or none when it was refused; nothing while that is unknown.
    pub verdict: Option<Option<u64>>,
    reached: bool,
}

impl World {
    /// Begins to publish `count` changes of the same version.
    pub(crate) fn publish(&mut self, count: usize, valid: bool) {
        self.learn();
        let state = &self.history.oracle;
        let based_on = state.try_find(CUSTOMER).map_or(0, |a| a.version);
        for _ in 0..count {
            let text = match valid {
                true => contract::text(self.publishes.len()),
                false => "customer: association\n".into(),
            };
            self.publishes.push(Publish {
                change_id: uuid::Builder::from_u128(self.rng.random()).into_uuid(),
                based_on,
                text,
                verdict: None,
                reached: false,
            });
            let jitter = Duration::from_micros(self.rng.random_range(0..2_000));
            self.push_any(jitter, 0, What::Operator(self.publishes.len() - 1));
        }
    }

    /// Takes the next step of publishing: reads back the own change, and appends it if it is not there.
    pub(crate) fn operate(&mut self, i: usize) {
        if !std::mem::replace(&mut self.publishes[i].reached, true) {
            self.reach(Point::Publish, 0, None);
        }
        self.learn();
        let change_id = self.publishes[i].change_id;
        if self.log.latency().is_none() {
            return self.push_any(AGAIN, 0, What::Operator(i));
        }
        if let Some(verdict) = self.history.verdicts.get(&change_id) {
            self.publishes[i].verdict = Some(*verdict);
            return;
        }
        self.reach(Point::Append, 0, None);
        let publish = &self.publishes[i];
        let change = contract::change(change_id, publish.based_on, &publish.text);
        let appended = self.log.append(self.now, log::CONFIG, &change.to_bytes());
        let wait = match appended {
            Appended::At(_) => self.log.latency().unwrap_or(AGAIN),
            Appended::Refused | Appended::NoAnswer => AGAIN,
        };
        self.push_any(wait, 0, What::Operator(i));
    }

    /// Brings the oracle, which folds the whole log, up to date.
    pub(crate) fn learn(&mut self) {
        self.log.advance(self.now);
        self.history.learn(self.log.all(log::CONFIG));
    }
}
