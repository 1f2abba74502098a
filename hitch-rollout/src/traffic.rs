//! What a node knows of a service's order, and which version gets a request.

use std::sync::Arc;
use std::time::Duration;

use crate::order::Instruction;
use crate::order::Phase;

/// Time after which an instruction counts as a share of 0. Controllers send one every 250 ms.
pub const INSTRUCTION_TTL: Duration = Duration::from_millis(1_500);
/// Time without an instruction after which one of a smaller term is accepted: a store that came back older assigns
/// offsets again.
const FORGET_TERM_AFTER: Duration = Duration::from_secs(3);
/// Time for which the version of an earlier order that did not complete gets no requests. Its backend servers stop some
/// seconds after the rollback.
const EXCLUDE_FOR: Duration = Duration::from_secs(120);
/// Earlier orders that are remembered.
const MAX_PAST: usize = 16;

/// Which backend servers a request may go to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// Whether the first attempt goes to the new version.
    pub is_new: bool,
    /// Whether all requests go to the new version, so that later attempts do, too.
    pub is_whole: bool,
    /// Whether the request may go to any version if no other backend server accepts calls.
    pub may_fall_back: bool,
    /// The new version.
    pub target_version: Arc<str>,
    /// Backend servers of the new version that are to be tried first; empty for all of them.
    pub canaries: Arc<[Box<str>]>,
    /// Versions that get no other requests.
    pub excluded: Arc<[Box<str>]>,
}

/// A version of an earlier order.
#[derive(Debug, Clone)]
struct Past {
    version: Box<str>,
    is_excluded: bool,
    replaced_at: Duration,
}

/// What a node knows of the order for a service.
#[derive(Debug, Clone)]
pub struct Traffic {
    target_version: Arc<str>,
    duration: Duration,
    ordered_at: Duration,
    phase: Phase,
    term: u64,
    sequence: u64,
    share: f64,
    canaries: Arc<[Box<str>]>,
    /// Time at which the latest instruction was sent, and 0 without one.
    issued_at: Duration,
    /// Whether the order was found in the store without knowing when it was written.
    is_undated: bool,
    credit: f64,
    past: Vec<Past>,
    excluded: Arc<[Box<str>]>,
}

impl Traffic {
    /// Creates the knowledge of an order that the node read from the store. `is_live` states that the record is new;
    /// otherwise its age is unknown and the order may have ended. `credit` is a random number from 0 to 1, so that the
    /// nodes do not send their first requests to the new version all at once.
    ///
    /// ```
    /// use std::time::Duration;
    /// use hitch_rollout::Traffic;
    /// let traffic = Traffic::ordered(Duration::ZERO, "v2", Duration::from_secs(15), true, 0.5);
    /// assert_eq!(traffic.target_version(), "v2");
    /// ```
    pub fn ordered(
        now: Duration,
        target_version: &str,
        duration: Duration,
        is_live: bool,
        credit: f64,
    ) -> Traffic {
        let mut traffic = Traffic {
            target_version: target_version.into(),
            duration,
            ordered_at: now,
            phase: Phase::Ordered,
            term: 0,
            sequence: 0,
            share: 0.0,
            canaries: Arc::default(),
            issued_at: Duration::ZERO,
            is_undated: !is_live,
            credit,
            past: Vec::new(),
            excluded: Arc::default(),
        };
        traffic.update_excluded(now);
        traffic
    }

    /// Creates the knowledge of an order from the first instruction that the node received.
    ///
    /// ```
    /// use std::time::Duration;
    /// use hitch_rollout::*;
    /// let traffic = Traffic::ordered(Duration::ZERO, "v2", Duration::from_secs(15), true, 0.5);
    /// let other = Traffic::from_instruction(Duration::ZERO, &traffic.instruction(Duration::ZERO), 0.1);
    /// assert_eq!(other.target_version(), "v2");
    /// ```
    pub fn from_instruction(now: Duration, instruction: &Instruction, credit: f64) -> Traffic {
        let version = &instruction.target_version;
        let mut traffic = Traffic::ordered(now, version, instruction.duration, true, credit);
        traffic.replace(now, instruction);
        traffic
    }

    /// Takes in an order that the node read from the store, and returns whether it replaces the known one.
    ///
    /// A record of the same version that is not new changes nothing, nor does one of an earlier order: the store may
    /// have come back older.
    ///
    /// ```
    /// use std::time::Duration;
    /// use hitch_rollout::Traffic;
    /// let duration = Duration::from_secs(15);
    /// let mut traffic = Traffic::ordered(Duration::ZERO, "v2", duration, true, 0.5);
    /// assert!(!traffic.order(Duration::ZERO, "v2", duration, true));
    /// assert!(traffic.order(Duration::ZERO, "v3", duration, true));
    /// ```
    pub fn order(
        &mut self,
        now: Duration,
        target_version: &str,
        duration: Duration,
        is_live: bool,
    ) -> bool {
        let is_same = *self.target_version == *target_version;
        let is_past = self.is_past(target_version);
        let is_replaced = match is_live {
            // A version that replaced the others is not unproved if it is ordered once more.
            true => !is_same || self.phase == Phase::RolledBack,
            false => !is_same && !is_past,
        };
        if !is_replaced {
            return false;
        }
        let term = self.term;
        self.begin(now, target_version, duration);
        self.is_undated = !is_live;
        // An instruction of the ended order of this version must not count for the new one.
        self.term = if is_same { term } else { 0 };
        true
    }

    /// Takes in an instruction, and returns whether it is newer than what the node knows.
    ///
    /// ```
    /// use std::time::Duration;
    /// use hitch_rollout::*;
    /// let mut traffic = Traffic::ordered(Duration::ZERO, "v2", Duration::from_secs(15), true, 0.5);
    /// let ordered = traffic.instruction(Duration::ZERO);
    /// let running = Instruction { phase: Phase::Running, term: 1, share: 0.1, ..ordered };
    /// assert!(traffic.apply(Duration::ZERO, &running));
    /// assert!(!traffic.apply(Duration::ZERO, &running));
    /// ```
    pub fn apply(&mut self, now: Duration, instruction: &Instruction) -> bool {
        let ordered_at = now.saturating_sub(instruction.age);
        let is_same = *self.target_version == *instruction.target_version;
        // Another reader knows the age of the order.
        self.is_undated &= !(is_same && instruction.phase == Phase::Ordered);
        if is_same && !self.phase.is_final() {
            // Any delay on the way makes the order look later.
            self.ordered_at = self.ordered_at.min(ordered_at);
        }
        let number = (instruction.term, instruction.sequence);
        let is_newer = number > (self.term, self.sequence);
        let is_forgotten =
            !self.phase.is_final() && now > self.issued_at.max(self.ordered_at) + FORGET_TERM_AFTER;
        let is_taken = match (instruction.phase, is_same) {
            (Phase::Ordered, true) => false,
            (Phase::Ordered, false) => {
                let is_later = self.phase.is_final() || ordered_at > self.ordered_at;
                is_later && !self.is_past(&instruction.target_version)
            }
            (_, true) => is_newer || is_forgotten && number != (self.term, self.sequence),
            (_, false) => {
                let is_after_end = self.phase.is_final() && ordered_at > self.issued_at;
                ordered_at > self.ordered_at && (is_newer || is_forgotten || is_after_end)
            }
        };
        if !is_taken {
            return false;
        }
        // An order of a version whose earlier order ended starts anew.
        if !is_same || self.phase.is_final() && !instruction.phase.is_final() {
            self.begin(now, &instruction.target_version, instruction.duration);
        }
        self.replace(now, instruction);
        true
    }

    /// Ends the order as its status record in the store states. Returns whether that was not known.
    ///
    /// ```
    /// use std::time::Duration;
    /// use hitch_rollout::*;
    /// let mut traffic = Traffic::ordered(Duration::ZERO, "v2", Duration::from_secs(15), true, 0.5);
    /// assert!(traffic.end(Duration::ZERO, Phase::Completed, 3));
    /// assert!(traffic.choose(Duration::ZERO).is_whole);
    /// ```
    pub fn end(&mut self, now: Duration, phase: Phase, term: u64) -> bool {
        if self.phase == phase {
            return false;
        }
        let instruction = Instruction {
            phase,
            term: term.max(self.term),
            sequence: self.sequence + 1,
            share: if phase == Phase::Completed { 1.0 } else { 0.0 },
            canaries: Vec::new(),
            ..self.instruction(now)
        };
        self.replace(now, &instruction);
        self.issued_at = now;
        true
    }

    /// Decides which version the next request goes to. The decisions keep to the share on each node by itself, so that
    /// it holds over all nodes.
    ///
    /// ```
    /// use std::time::Duration;
    /// use hitch_rollout::Traffic;
    /// let mut traffic = Traffic::ordered(Duration::ZERO, "v2", Duration::from_secs(15), true, 0.5);
    /// assert!(!traffic.choose(Duration::ZERO).is_new);
    /// ```
    pub fn choose(&mut self, now: Duration) -> Choice {
        let share = self.share_at(now);
        let is_whole = share >= 1.0;
        if !is_whole {
            self.credit += share;
        }
        let has_credit = self.credit >= 1.0;
        if has_credit {
            self.credit -= 1.0;
        }
        Choice {
            is_new: is_whole || has_credit,
            is_whole,
            may_fall_back: self.may_fall_back(),
            target_version: self.target_version.clone(),
            canaries: self.canaries.clone(),
            excluded: self.excluded.clone(),
        }
    }

    /// Returns the share of the requests that goes to the new version.
    ///
    /// ```
    /// use std::time::Duration;
    /// use hitch_rollout::Traffic;
    /// let traffic = Traffic::ordered(Duration::ZERO, "v2", Duration::from_secs(15), true, 0.5);
    /// assert_eq!(traffic.share_at(Duration::ZERO), 0.0);
    /// ```
    pub fn share_at(&self, now: Duration) -> f64 {
        match self.phase {
            Phase::Completed => 1.0,
            Phase::Running if self.is_guided(now) => self.share,
            _ => 0.0,
        }
    }

    /// Returns whether an instruction of a controller is in force, or the new version is the proved one.
    ///
    /// ```
    /// use std::time::Duration;
    /// use hitch_rollout::Traffic;
    /// let traffic = Traffic::ordered(Duration::ZERO, "v2", Duration::from_secs(15), true, 0.5);
    /// assert!(!traffic.is_guided(Duration::ZERO));
    /// ```
    pub fn is_guided(&self, now: Duration) -> bool {
        match self.phase {
            Phase::Completed => true,
            Phase::Ordered => false,
            _ => now < self.issued_at + INSTRUCTION_TTL,
        }
    }

    /// Returns whether the node next to a backend server of a version passes calls to it. Other nodes do not send calls
    /// without an instruction; this holds even if one of them does not know of the order.
    ///
    /// ```
    /// use std::time::Duration;
    /// use hitch_rollout::Traffic;
    /// let traffic = Traffic::ordered(Duration::ZERO, "v2", Duration::from_secs(15), true, 0.5);
    /// assert!(traffic.admits(Duration::ZERO, "v1"));
    /// assert!(!traffic.admits(Duration::ZERO, "v2"));
    /// ```
    pub fn admits(&self, now: Duration, version: &str) -> bool {
        if self.is_withdrawn(now, version) {
            return false;
        }
        let is_released = self.share_at(now) > 0.0 || self.may_fall_back();
        *self.target_version != *version || is_released
    }

    /// Returns whether requests go to the new version if no other backend server accepts calls: the order may have been
    /// completed, which stops the old ones at once, without this node having learned of it.
    fn may_fall_back(&self) -> bool {
        self.is_undated || self.phase == Phase::Running && self.share >= 1.0
    }

    /// Returns whether a version must get no requests, as that of an order that was rolled back.
    ///
    /// ```
    /// use std::time::Duration;
    /// use hitch_rollout::*;
    /// let mut traffic = Traffic::ordered(Duration::ZERO, "v2", Duration::from_secs(15), true, 0.5);
    /// traffic.end(Duration::ZERO, Phase::RolledBack, 1);
    /// assert!(traffic.is_withdrawn(Duration::ZERO, "v2"));
    /// ```
    pub fn is_withdrawn(&self, now: Duration, version: &str) -> bool {
        match *self.target_version == *version {
            true => self.phase == Phase::RolledBack,
            false => self.past.iter().any(|past| {
                past.is_excluded
                    && *past.version == *version
                    && now < past.replaced_at + EXCLUDE_FOR
            }),
        }
    }

    /// Returns the instruction by which another node learns what this one knows.
    ///
    /// ```
    /// use std::time::Duration;
    /// use hitch_rollout::*;
    /// let traffic = Traffic::ordered(Duration::ZERO, "v2", Duration::from_secs(15), true, 0.5);
    /// assert_eq!(traffic.instruction(Duration::from_secs(1)).age, Duration::from_secs(1));
    /// ```
    pub fn instruction(&self, now: Duration) -> Instruction {
        Instruction {
            target_version: (*self.target_version).into(),
            phase: self.phase,
            term: self.term,
            sequence: self.sequence,
            share: self.share,
            canaries: self.canaries.to_vec(),
            duration: self.duration,
            age: now.saturating_sub(self.ordered_at),
            issued: self.issued_at.saturating_sub(self.ordered_at),
        }
    }

    /// Returns the new version.
    ///
    /// ```
    /// use std::time::Duration;
    /// use hitch_rollout::Traffic;
    /// let traffic = Traffic::ordered(Duration::ZERO, "v2", Duration::from_secs(15), true, 0.5);
    /// assert_eq!(traffic.target_version(), "v2");
    /// ```
    pub fn target_version(&self) -> &str {
        &self.target_version
    }

    /// Returns the progress of the order.
    ///
    /// ```
    /// use std::time::Duration;
    /// use hitch_rollout::*;
    /// let traffic = Traffic::ordered(Duration::ZERO, "v2", Duration::from_secs(15), true, 0.5);
    /// assert_eq!(traffic.phase(), Phase::Ordered);
    /// ```
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the greatest term that the node knows of.
    ///
    /// ```
    /// use std::time::Duration;
    /// use hitch_rollout::Traffic;
    /// let traffic = Traffic::ordered(Duration::ZERO, "v2", Duration::from_secs(15), true, 0.5);
    /// assert_eq!(traffic.term(), 0);
    /// ```
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns the time from the order until it must have ended.
    ///
    /// ```
    /// use std::time::Duration;
    /// use hitch_rollout::Traffic;
    /// let traffic = Traffic::ordered(Duration::ZERO, "v2", Duration::from_secs(15), true, 0.5);
    /// assert_eq!(traffic.duration(), Duration::from_secs(15));
    /// ```
    pub fn duration(&self) -> Duration {
        self.duration
    }

    /// Returns the time of the order, or `None` if this node does not know it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use hitch_rollout::Traffic;
    /// let traffic = Traffic::ordered(Duration::ZERO, "v2", Duration::from_secs(15), false, 0.5);
    /// assert_eq!(traffic.ordered_at(), None);
    /// ```
    pub fn ordered_at(&self) -> Option<Duration> {
        (!self.is_undated).then_some(self.ordered_at)
    }

    /// Returns when a reader of the store takes over the order if no instruction arrives until then. `rank` is its
    /// position among the readers; a smaller one acts sooner.
    ///
    /// ```
    /// use std::time::Duration;
    /// use hitch_rollout::Traffic;
    /// let traffic = Traffic::ordered(Duration::ZERO, "v2", Duration::from_secs(15), true, 0.5);
    /// assert_eq!(traffic.takeover_at(0), Duration::ZERO);
    /// assert!(traffic.takeover_at(1) > Duration::ZERO);
    /// ```
    pub fn takeover_at(&self, rank: usize) -> Duration {
        /// Time in which a claim of the reader before reaches all nodes, if the store answers.
        const RANK_DELAY: Duration = Duration::from_millis(400);
        let silent_since = match self.phase {
            // Controllers may be at work that this node has not heard of yet; those that know the age of the order come
            // first.
            Phase::Ordered if self.is_undated => self.ordered_at + 2 * INSTRUCTION_TTL,
            Phase::Ordered => self.ordered_at,
            _ => self.issued_at + INSTRUCTION_TTL,
        };
        silent_since + RANK_DELAY * rank as u32
    }

    fn is_past(&self, version: &str) -> bool {
        self.past.iter().any(|past| *past.version == *version)
    }

    /// Starts a new order in place of the known one.
    fn begin(&mut self, now: Duration, target_version: &str, duration: Duration) {
        if *self.target_version != *target_version {
            self.past.push(Past {
                version: (*self.target_version).into(),
                is_excluded: self.phase != Phase::Completed,
                replaced_at: now,
            });
            if self.past.len() > MAX_PAST {
                self.past.remove(0);
            }
        }
        self.past.retain(|past| *past.version != *target_version);
        self.target_version = target_version.into();
        self.duration = duration;
        self.ordered_at = now;
        self.phase = Phase::Ordered;
        (self.term, self.sequence) = (0, 0);
        self.share = 0.0;
        self.canaries = Arc::default();
        self.issued_at = Duration::ZERO;
        self.is_undated = false;
        self.update_excluded(now);
    }

    fn replace(&mut self, now: Duration, instruction: &Instruction) {
        self.ordered_at = self.ordered_at.min(now.saturating_sub(instruction.age));
        self.is_undated = false;
        self.duration = instruction.duration;
        self.phase = instruction.phase;
        (self.term, self.sequence) = (instruction.term, instruction.sequence);
        self.share = instruction.share;
        self.canaries = instruction.canaries.clone().into();
        // The age when it was sent, not the time of arrival: it may have waited in a suspended process.
        self.issued_at = match instruction.phase {
            Phase::Ordered => Duration::ZERO,
            _ => self.ordered_at + instruction.issued,
        };
        self.update_excluded(now);
    }

    fn update_excluded(&mut self, now: Duration) {
        let past = self.past.iter();
        let past = past.filter(|past| past.is_excluded && now < past.replaced_at + EXCLUDE_FOR);
        let mut excluded: Vec<Box<str>> = past.map(|past| past.version.clone()).collect();
        if self.phase != Phase::Completed {
            excluded.push((*self.target_version).into());
        }
        self.excluded = excluded.into();
    }
}
