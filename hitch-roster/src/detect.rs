//! Failure detection by direct and indirect probes, and the selection of gossip peers.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;

use crate::member::MemberKey;
use crate::member::State;
use crate::roster::Roster;

/// Recipient of an exchange.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Peer {
    /// A listed member.
    Member(MemberKey),
    /// The address of a seed, whose instance is not known.
    Seed(Box<str>),
}

/// An action for the caller to execute.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Exchange digests and members with a peer, and report the result with [`Roster::answered`] or
    /// [`Roster::failed`].
    Exchange {
        /// Peer of the exchange.
        with: Peer,
    },
    /// Ask `via` to probe `target`, and report the result with [`Roster::answered`] or
    /// [`Roster::failed`] for `target`.
    ProbeVia {
        /// The unresponsive member.
        target: MemberKey,
        /// The member that sends the indirect probe.
        via: MemberKey,
    },
}

/// Phase of the probe of one member.
#[derive(Debug, Clone, Copy)]
enum Probe {
    Direct {
        deadline: Duration,
    },
    /// The direct probe failed; the next tick starts indirect probes.
    IndirectPending,
    Indirect {
        deadline: Duration,
        /// Number of indirect probes without a result.
        remaining: usize,
    },
}

#[derive(Debug, Clone, Default)]
pub(crate) struct Detector {
    /// Whether the next tick starts urgent exchanges.
    pub(crate) urgent: bool,
    probes: BTreeMap<MemberKey, Probe>,
    last_tick: Option<Duration>,
    last_urgent: Option<Duration>,
    /// Start time of the next gossip round.
    next_period: Option<Duration>,
    /// Number of gossip rounds started.
    periods: u64,
    /// Rotates the buckets and members that [`Roster::missing`] selects.
    rotation: usize,
}

impl Detector {
    pub(crate) fn next_rotation(&mut self) -> usize {
        self.rotation = self.rotation.wrapping_add(1);
        self.rotation
    }
}

impl Roster {
    /// Processes expired timeouts and returns the actions that are due.
    ///
    /// To be called about every 100 ms, and immediately after [`Roster::set_state`] or a merge.
    ///
    /// ```
    /// # use hitch_roster::*;
    /// # use std::time::Duration;
    /// # let own = Member::starting(Incarnation([1; 16]), Contact::default());
    /// let options = Options { seeds: vec!["10.0.0.1:70".into()], ..Options::default() };
    /// let mut roster = Roster::new(own, options);
    /// let commands = roster.tick(Duration::from_secs(1), &mut rand::rng());
    /// let with = Peer::Seed("10.0.0.1:70".into());
    /// assert_eq!(commands, [Command::Exchange { with }]);
    /// ```
    pub fn tick(&mut self, now: Duration, rng: &mut impl rand::Rng) -> Vec<Command> {
        self.restart_timeouts_after_freeze(now);
        let mut commands = Vec::new();
        self.expire_probes(now);
        self.start_indirect_probes(now, rng, &mut commands);
        self.expire_members(now);
        self.expire_updates(now);
        self.exchange_urgently(now, rng, &mut commands);
        self.exchange_periodically(now, rng, &mut commands);
        commands
    }

    /// Records that a member answered an exchange or an indirect probe, which ends its probe.
    ///
    /// ```
    /// # use hitch_roster::*;
    /// # let own = Member::starting(Incarnation([1; 16]), Contact::default());
    /// let mut roster = Roster::new(own, Options::default());
    /// roster.answered(roster.own_key());
    /// ```
    pub fn answered(&mut self, member: MemberKey) {
        self.detector.probes.remove(&member);
    }

    /// Records that an exchange with a member or one of its indirect probes failed.
    ///
    /// A failed exchange starts indirect probes at the next tick. The member becomes suspect when
    /// the last of its indirect probes has failed.
    ///
    /// ```
    /// # use hitch_roster::*;
    /// # use std::time::Duration;
    /// # let own = Member::starting(Incarnation([1; 16]), Contact::default());
    /// let mut roster = Roster::new(own, Options::default());
    /// roster.failed(Duration::from_secs(1), roster.own_key());
    /// ```
    pub fn failed(&mut self, now: Duration, member: MemberKey) {
        let Some(probe) = self.detector.probes.get_mut(&member) else {
            return;
        };
        match probe {
            Probe::Direct { .. } => *probe = Probe::IndirectPending,
            Probe::IndirectPending => {}
            Probe::Indirect { remaining, .. } if *remaining > 1 => *remaining -= 1,
            Probe::Indirect { .. } => self.suspect(now, member),
        }
    }

    /// Selects up to `count` peers for the fan-out of new information.
    ///
    /// Half of them are the successors of this node in the order of its zone, which covers members
    /// that the random selections of all nodes miss: 2 % of them at four selections per node,
    /// because the number of times that a member is selected has approximately a Poisson
    /// distribution.
    ///
    /// ```
    /// # use hitch_roster::*;
    /// # let own = Member::starting(Incarnation([1; 16]), Contact::default());
    /// let roster = Roster::new(own, Options::default());
    /// assert_eq!(roster.announce_peers(4, &mut rand::rng()), []);
    /// ```
    pub fn announce_peers(&self, count: usize, rng: &mut impl rand::Rng) -> Vec<MemberKey> {
        let own_zone = &self.entries[self.own].contact.zone;
        let zone = self.zones.get(own_zone).map_or(&[][..], |m| &m[..]);
        let mut peers = Vec::new();
        if let Some(at) = zone.iter().position(|key| *key == self.own) {
            let successors = zone[at + 1..].iter().chain(&zone[..at]);
            peers.extend(successors.take(count / 2));
        }
        for key in self.random_peers(count - peers.len(), rng) {
            if !peers.contains(&key) {
                peers.push(key);
            }
        }
        peers
    }

    /// Selects up to `count` live members at random, most of them in this node's availability zone.
    ///
    /// ```
    /// # use hitch_roster::*;
    /// # let own = Member::starting(Incarnation([1; 16]), Contact::default());
    /// let roster = Roster::new(own, Options::default());
    /// assert_eq!(roster.random_peers(4, &mut rand::rng()), []);
    /// ```
    pub fn random_peers(&self, count: usize, rng: &mut impl rand::Rng) -> Vec<MemberKey> {
        let mut peers = Vec::new();
        // Duplicate selections are dropped, so more draws than peers are needed.
        for i in 0..count * 3 {
            if peers.len() == count {
                break;
            }
            let other_zone = i % self.options.other_zone_every.max(1) as usize == 1;
            let Some(key) = self.random_peer(other_zone, rng) else {
                break;
            };
            if !peers.contains(&key) {
                peers.push(key);
            }
        }
        peers
    }

    /// Restarts all timeouts if the process was frozen, because it could not process the answers of
    /// its peers in that time.
    fn restart_timeouts_after_freeze(&mut self, now: Duration) {
        let last = self.detector.last_tick.replace(now).unwrap_or(now);
        let gap = now.saturating_sub(last);
        if gap <= self.options.freeze_threshold {
            return;
        }
        self.detector.probes.clear();
        for since in self.down_since.values_mut() {
            *since += gap;
        }
    }

    fn expire_probes(&mut self, now: Duration) {
        let due = |probe: &Probe| match probe {
            Probe::Direct { deadline } | Probe::Indirect { deadline, .. } => now >= *deadline,
            Probe::IndirectPending => false,
        };
        let probes = self.detector.probes.iter();
        let expired: Vec<(MemberKey, Probe)> = probes
            .filter(|(_, probe)| due(probe))
            .map(|(key, probe)| (*key, *probe))
            .collect();
        for (key, probe) in expired {
            match probe {
                Probe::Indirect { .. } => self.suspect(now, key),
                _ => {
                    self.detector.probes.insert(key, Probe::IndirectPending);
                }
            }
        }
    }

    fn start_indirect_probes(
        &mut self,
        now: Duration,
        rng: &mut impl rand::Rng,
        commands: &mut Vec<Command>,
    ) {
        let probes = self.detector.probes.iter();
        let targets: Vec<MemberKey> = probes
            .filter(|(_, probe)| matches!(probe, Probe::IndirectPending))
            .map(|(key, _)| *key)
            .collect();
        for target in targets {
            let mut relays = self.random_peers(self.options.indirect_probes + 1, rng);
            relays.retain(|via| *via != target);
            relays.truncate(self.options.indirect_probes);
            if relays.is_empty() {
                self.suspect(now, target);
                continue;
            }
            let deadline = now + self.options.indirect_timeout;
            let remaining = relays.len();
            let probe = Probe::Indirect {
                deadline,
                remaining,
            };
            self.detector.probes.insert(target, probe);
            for via in relays {
                commands.push(Command::ProbeVia { target, via });
            }
        }
    }

    /// Lists a live member as suspect, except this node itself.
    fn suspect(&mut self, now: Duration, key: MemberKey) {
        self.detector.probes.remove(&key);
        let Some(mut member) = self.get(key) else {
            return;
        };
        if member.state >= State::Suspect || key == self.own {
            return;
        }
        member.state = State::Suspect;
        self.replace(now, key, member);
    }

    /// Lists suspect members as gone, stops gossiping gone members and removes them as their
    /// timeouts pass.
    fn expire_members(&mut self, now: Duration) {
        // A refutation needs a number of gossip rounds that grows with the logarithm of the number
        // of members.
        let dissemination_time = self.options.period * (self.live_count().max(1).ilog2() + 1);
        let suspicion = self.options.suspicion_timeout.max(dissemination_time);
        let mut due = Vec::new();
        for (key, since) in &self.down_since {
            let entry = &self.entries[*key];
            let age = now.saturating_sub(*since);
            let limit = match entry.state {
                State::Suspect => suspicion,
                _ if entry.hidden => self.options.prune_after,
                _ => self.options.gone_gossip_time,
            };
            if age >= limit {
                due.push((*key, entry.state, entry.hidden));
            }
        }
        for (key, state, hidden) in due {
            if key == self.own {
                continue;
            }
            match state {
                State::Suspect => {
                    let mut member = self.entries[key].member();
                    member.state = State::Gone;
                    self.replace(now, key, member);
                }
                _ if hidden => self.prune(key),
                _ => self.hide(key),
            }
        }
    }

    fn exchange_urgently(
        &mut self,
        now: Duration,
        rng: &mut impl rand::Rng,
        commands: &mut Vec<Command>,
    ) {
        let last = self.detector.last_urgent;
        let too_soon = last.is_some_and(|last| now < last + self.options.urgent_interval);
        if !self.detector.urgent || too_soon {
            return;
        }
        self.detector.urgent = false;
        self.detector.last_urgent = Some(now);
        for key in self.announce_peers(self.options.urgent_fanout, rng) {
            self.exchange_with(now, key, commands);
        }
    }

    fn exchange_periodically(
        &mut self,
        now: Duration,
        rng: &mut impl rand::Rng,
        commands: &mut Vec<Command>,
    ) {
        if self.detector.next_period.is_some_and(|next| now < next) {
            return;
        }
        let jitter = rng.random_range(0.9..1.1);
        let period = match now < self.options.startup_phase {
            true => self.options.startup_period,
            false => self.options.period,
        };
        self.detector.next_period = Some(now + period.mul_f64(jitter));
        self.detector.periods += 1;
        let periods = self.detector.periods;
        let rejoin = periods.is_multiple_of(self.options.rejoin_every.max(1));
        match self.live_count() <= 1 || rejoin {
            true => commands.extend(self.rejoin(rng)),
            false => commands.extend(self.undiscovered_seed(now, rng)),
        }
        let other_zone = periods.is_multiple_of(self.options.other_zone_every.max(1));
        if let Some(key) = self.random_peer(other_zone, rng) {
            self.exchange_with(now, key, commands);
        }
    }

    /// Selects, during the startup phase, a seed that is not the address of any live member.
    ///
    /// Nodes that start at the same time would otherwise form separate groups that do not discover
    /// each other until the next round that contacts a seed.
    fn undiscovered_seed(&self, now: Duration, rng: &mut impl rand::Rng) -> Option<Command> {
        if now >= self.options.startup_phase {
            return None;
        }
        let mut missing = self.options.seeds.clone();
        for key in self.zones.values().flatten() {
            missing.retain(|seed| *seed != self.entries[*key].contact.address);
        }
        if missing.is_empty() {
            return None;
        }
        let at = rng.random_range(0..missing.len());
        let with = Peer::Seed(missing.swap_remove(at));
        Some(Command::Exchange { with })
    }

    /// Selects a gone member or a seed for an exchange that merges the two sides of a healed
    /// network partition.
    fn rejoin(&self, rng: &mut impl rand::Rng) -> Option<Command> {
        let mut gone = Vec::new();
        for key in self.down_since.keys() {
            if self.entries[*key].state == State::Gone {
                gone.push(*key);
            }
        }
        let own = &self.entries[self.own].contact.address;
        let seeds: Vec<&Box<str>> = self.options.seeds.iter().filter(|s| *s != own).collect();
        if gone.is_empty() && seeds.is_empty() {
            return None;
        }
        let at = rng.random_range(0..gone.len() + seeds.len());
        let with = match gone.get(at) {
            Some(key) => Peer::Member(*key),
            None => Peer::Seed(seeds[at - gone.len()].clone()),
        };
        Some(Command::Exchange { with })
    }

    /// Adds an exchange with a member, which is also its direct probe.
    fn exchange_with(&mut self, now: Duration, key: MemberKey, commands: &mut Vec<Command>) {
        let deadline = now + self.options.direct_timeout;
        let probe = Probe::Direct { deadline };
        self.detector.probes.entry(key).or_insert(probe);
        let with = Peer::Member(key);
        commands.push(Command::Exchange { with });
    }

    /// Selects a live member of this node's zone at random, or of another zone if `other_zone` is
    /// set or this node is alone in its zone.
    fn random_peer(&self, other_zone: bool, rng: &mut impl rand::Rng) -> Option<MemberKey> {
        let own_zone = &self.entries[self.own].contact.zone;
        let others = self.zones.len() - usize::from(self.zones.contains_key(own_zone));
        let own = self.zones.get(own_zone).map_or(&[][..], |m| &m[..]);
        if others > 0 && (other_zone || own.len() < 2) {
            let mut zones = self.zones.iter().filter(|(zone, _)| *zone != own_zone);
            let (_, members) = zones.nth(rng.random_range(0..others))?;
            return Some(members[rng.random_range(0..members.len())]);
        }
        if own.len() < 2 {
            return None;
        }
        let last = own.len() - 1;
        match own[rng.random_range(0..last)] {
            key if key == self.own => Some(own[last]),
            key => Some(key),
        }
    }
}
