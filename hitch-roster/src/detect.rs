//! Failure detection and the choice of peers.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;

use crate::member::MemberKey;
use crate::member::State;
use crate::roster::Roster;

/// Whom to exchange with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Peer {
    /// A member of the roster.
    Member(MemberKey),
    /// An address that may belong to any member.
    Seed(Box<str>),
}

/// What the caller is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Exchange digests and members; report by [`Roster::answered`] or [`Roster::failed`].
    Exchange {
        /// Whom to exchange with.
        with: Peer,
    },
    /// Ask `via` whether `target` answers it; report by [`Roster::answered`] or
    /// [`Roster::failed`] about `target`.
    ProbeVia {
        /// The member that did not answer.
        target: MemberKey,
        /// The member to ask.
        via: MemberKey,
    },
}

#[derive(Debug, Clone, Copy)]
enum Probe {
    Direct { deadline: Duration },
    Wanted,
    Indirect { deadline: Duration, left: usize },
}

#[derive(Debug, Clone, Default)]
pub(crate) struct Detector {
    pub(crate) urgent: bool,
    probes: BTreeMap<MemberKey, Probe>,
    last_tick: Option<Duration>,
    last_urgent: Option<Duration>,
    next_period: Option<Duration>,
    periods: u64,
    turn: usize,
}

impl Detector {
    pub(crate) fn next_turn(&mut self) -> usize {
        self.turn = self.turn.wrapping_add(1);
        self.turn
    }
}

impl Roster {
    /// Advances timeouts and returns what to do now.
    ///
    /// To be called about every 100 ms, and at once after [`Roster::set_state`] or a merge.
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
        self.thaw(now);
        let mut commands = Vec::new();
        self.expire_probes(now);
        self.probe_indirectly(now, rng, &mut commands);
        self.expire_members(now);
        self.expire_updates(now);
        self.exchange_urgently(now, rng, &mut commands);
        self.exchange_periodically(now, rng, &mut commands);
        commands
    }

    /// Notes that a member answered an exchange or an indirect probe.
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

    /// Notes that an exchange with a member or one indirect probe of it failed.
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
            Probe::Direct { .. } => *probe = Probe::Wanted,
            Probe::Wanted => {}
            Probe::Indirect { left, .. } if *left > 1 => *left -= 1,
            Probe::Indirect { .. } => self.suspect(now, member),
        }
    }

    /// Picks up to `count` members that are to hear of news.
    ///
    /// Half of them follow the own member in the order of its zone, which reaches members that
    /// the random picks of all nodes miss: 2 % of them at four picks, as the number of picks that
    /// fall on one member is about Poisson distributed.
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
            let followers = zone[at + 1..].iter().chain(&zone[..at]);
            peers.extend(followers.take(count / 2));
        }
        for key in self.random_peers(count - peers.len(), rng) {
            if !peers.contains(&key) {
                peers.push(key);
            }
        }
        peers
    }

    /// Picks up to `count` live members at random, most of them in the own availability zone.
    ///
    /// ```
    /// # use hitch_roster::*;
    /// # let own = Member::starting(Incarnation([1; 16]), Contact::default());
    /// let roster = Roster::new(own, Options::default());
    /// assert_eq!(roster.random_peers(4, &mut rand::rng()), []);
    /// ```
    pub fn random_peers(&self, count: usize, rng: &mut impl rand::Rng) -> Vec<MemberKey> {
        let mut peers = Vec::new();
        // Repeated picks are dropped, so a few more tries than peers are needed.
        for i in 0..count * 3 {
            if peers.len() == count {
                break;
            }
            let elsewhere = i % self.options.other_zone_every.max(1) as usize == 1;
            let Some(key) = self.random_peer(elsewhere, rng) else {
                break;
            };
            if !peers.contains(&key) {
                peers.push(key);
            }
        }
        peers
    }

    /// Starts the timeouts over when the process was frozen: its peers had no chance to answer.
    fn thaw(&mut self, now: Duration) {
        let last = self.detector.last_tick.replace(now).unwrap_or(now);
        let gap = now.saturating_sub(last);
        if gap <= self.options.frozen_after {
            return;
        }
        self.detector.probes.clear();
        for since in self.since.values_mut() {
            *since += gap;
        }
    }

    fn expire_probes(&mut self, now: Duration) {
        let due = |probe: &Probe| match probe {
            Probe::Direct { deadline } | Probe::Indirect { deadline, .. } => now >= *deadline,
            Probe::Wanted => false,
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
                    self.detector.probes.insert(key, Probe::Wanted);
                }
            }
        }
    }

    fn probe_indirectly(
        &mut self,
        now: Duration,
        rng: &mut impl rand::Rng,
        commands: &mut Vec<Command>,
    ) {
        let probes = self.detector.probes.iter();
        let wanted: Vec<MemberKey> = probes
            .filter(|(_, probe)| matches!(probe, Probe::Wanted))
            .map(|(key, _)| *key)
            .collect();
        for target in wanted {
            let mut vias = self.random_peers(self.options.indirect_probes + 1, rng);
            vias.retain(|via| *via != target);
            vias.truncate(self.options.indirect_probes);
            if vias.is_empty() {
                self.suspect(now, target);
                continue;
            }
            let deadline = now + self.options.indirect_timeout;
            let left = vias.len();
            let probe = Probe::Indirect { deadline, left };
            self.detector.probes.insert(target, probe);
            for via in vias {
                commands.push(Command::ProbeVia { target, via });
            }
        }
    }

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

    fn expire_members(&mut self, now: Duration) {
        // A refutation spreads in a number of periods that grows with the logarithm of members.
        let growing = self.options.period * (self.live_count().max(1).ilog2() + 1);
        let suspicion = self.options.suspicion_timeout.max(growing);
        let mut due = Vec::new();
        for (key, since) in &self.since {
            let entry = &self.entries[*key];
            let age = now.saturating_sub(*since);
            let limit = match entry.state {
                State::Suspect => suspicion,
                _ if entry.hidden => self.options.prune_after,
                _ => self.options.gone_spread,
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
        let soon = last.is_some_and(|last| now < last + self.options.urgent_interval);
        if !self.detector.urgent || soon {
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
        let period = match now < self.options.hurry_for {
            true => self.options.starting_period,
            false => self.options.period,
        };
        self.detector.next_period = Some(now + period.mul_f64(jitter));
        self.detector.periods += 1;
        let periods = self.detector.periods;
        let rejoin = periods.is_multiple_of(self.options.rejoin_every.max(1));
        match self.live_count() <= 1 || rejoin {
            true => commands.extend(self.rejoin(rng)),
            false => commands.extend(self.missing_seed(now, rng)),
        }
        let elsewhere = periods.is_multiple_of(self.options.other_zone_every.max(1));
        if let Some(key) = self.random_peer(elsewhere, rng) {
            self.exchange_with(now, key, commands);
        }
    }

    /// Picks a seed that no live member has as its address, while the process is young.
    ///
    /// Nodes that start together would otherwise form groups, each of which is content with itself
    /// until its next attempt to rejoin.
    fn missing_seed(&self, now: Duration, rng: &mut impl rand::Rng) -> Option<Command> {
        if now >= self.options.hurry_for {
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

    fn rejoin(&self, rng: &mut impl rand::Rng) -> Option<Command> {
        let mut gone = Vec::new();
        for key in self.since.keys() {
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

    fn exchange_with(&mut self, now: Duration, key: MemberKey, commands: &mut Vec<Command>) {
        let deadline = now + self.options.direct_timeout;
        let probe = Probe::Direct { deadline };
        self.detector.probes.entry(key).or_insert(probe);
        let with = Peer::Member(key);
        commands.push(Command::Exchange { with });
    }

    fn random_peer(&self, elsewhere: bool, rng: &mut impl rand::Rng) -> Option<MemberKey> {
        let own_zone = &self.entries[self.own].contact.zone;
        let others = self.zones.len() - usize::from(self.zones.contains_key(own_zone));
        let own = self.zones.get(own_zone).map_or(&[][..], |m| &m[..]);
        if others > 0 && (elsewhere || own.len() < 2) {
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
