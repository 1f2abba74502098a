//! One node: entry node, voter and home.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::bounds::Bounds;
use crate::bounds::Limit;
use crate::council::Council;
use crate::home::Bucket;
use crate::lease::Lease;
use crate::lease::Resolution;
use crate::lease::Taken;
use crate::lease::Token;
use crate::message::Candidacy;
use crate::message::Grant;
use crate::message::Granted;
use crate::message::Item;
use crate::message::Request;
use crate::message::Vote;
use crate::tenure::Tenure;
use crate::voter::Voter;

/// Interval of the candidacies of a home: a vote counts for 400 ms, so that one may be lost or late.
const CANDIDACY_INTERVAL: Duration = Duration::from_millis(150);
/// Time for which requests for tokens wait for the answer to an earlier one of the same home, so that they are sent
/// together. A home on a busy instance takes up to 100 ms to answer.
const BATCH_TIME: Duration = Duration::from_millis(50);
/// Time without an answer after which the next node is asked. It grants tokens only if the votes say that the first one
/// may not, so an early question costs only a message.
const SILENT_AFTER: Duration = Duration::from_millis(150);
/// Interval at which a silent node is asked for a sign of life.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Time after which an unanswered request is forgotten; its votes and tokens have expired.
const FORGET_AFTER: Duration = Duration::from_millis(1_000);
/// Time for which the number of a sender's last request is kept, to recognise duplicates.
const SESSION_TIME: Duration = Duration::from_secs(60);
/// `Retry-After` of a request of an organisation that the configuration of the home does not have yet.
const RETRY_UNKNOWN: Duration = Duration::from_millis(100);

/// Voters beyond a quorum that are reached as long as homes that are gone stay in the list.
const SPARE_VOTERS: usize = 2;
/// Most homes that every node connects to before the first request. More connections would cost more memory than the
/// time that they save is worth.
const MAX_EAGER_HOMES: usize = 16;
/// Homes of an organisation, in rendezvous order, that a node of a larger fleet connects to.
const HOMES_IN_ORDER: usize = 2;

/// What the caller does next.
#[derive(Debug, Default, PartialEq)]
pub struct Output {
    /// Requests to send, with the addresses of their receivers.
    pub requests: Vec<(Box<str>, Request)>,
    /// Requests for which the wait has ended.
    pub resolved: Vec<Resolution>,
}

/// Counts of a node.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Status {
    /// Requests that wait for a token.
    pub waiting: usize,
    /// Organisations whose home this node is.
    pub home_of: usize,
    /// Tokens that homes granted to this node so far.
    pub leased: u64,
    /// Tokens that this node returned unused so far.
    pub returned: u64,
}

/// Entry node, voter and home in one.
#[derive(Debug)]
pub struct Node {
    own: Box<str>,
    zone: Box<str>,
    session: u64,
    bounds: Bounds,
    limits: BTreeMap<Box<str>, Limit>,
    council: Council,
    /// Whether the list of members is known to be whole, so that this node may vote and be a home.
    is_complete: bool,
    is_retiring: bool,
    /// Whether the limits changed since the last refresh.
    has_new_limits: bool,
    voter: Voter,
    tenure: Tenure,
    /// Homes that this node may act in place of, as of the last refresh; `None` if it may not act as a home.
    rights: Option<BTreeSet<Box<str>>>,
    candidate_at: Duration,
    buckets: BTreeMap<Box<str>, Bucket>,
    leases: BTreeMap<Box<str>, Lease>,
    orders: BTreeMap<Box<str>, Arc<[Box<str>]>>,
    last_ticket: u64,
    last_number: u64,
    sent: BTreeMap<u64, Sent>,
    /// Nodes that do not answer, and when to ask them for a sign of life.
    silent: BTreeMap<Box<str>, Duration>,
    /// Last request number and its time, by session of the sender.
    sessions: BTreeMap<u64, (u64, Duration)>,
    leased: u64,
    returned: u64,
}

#[derive(Debug)]
struct Sent {
    to: Box<str>,
    at: Duration,
    organisations: Vec<Box<str>>,
    is_silent: bool,
}

impl Node {
    /// Creates the node at the address `own` in an availability zone. `session` is a random number.
    ///
    /// ```
    /// let bounds = hitch_quota::Bounds::default();
    /// let node = hitch_quota::Node::new("10.0.0.1:7600", "a", 7, bounds, Default::default());
    /// assert_eq!(node.status().home_of, 0);
    /// ```
    pub fn new(own: &str, zone: &str, session: u64, bounds: Bounds, now: Duration) -> Node {
        Node {
            own: own.into(),
            zone: zone.into(),
            session,
            bounds,
            limits: BTreeMap::new(),
            council: Council::new(),
            is_complete: false,
            is_retiring: false,
            has_new_limits: false,
            voter: Voter::new(now, session),
            tenure: Tenure::default(),
            rights: None,
            candidate_at: now,
            buckets: BTreeMap::new(),
            leases: BTreeMap::new(),
            orders: BTreeMap::new(),
            last_ticket: 0,
            last_number: 0,
            sent: BTreeMap::new(),
            silent: BTreeMap::new(),
            sessions: BTreeMap::new(),
            leased: 0,
            returned: 0,
        }
    }

    /// Replaces the limits of all organisations of the configuration.
    ///
    /// ```
    /// # let bounds = hitch_quota::Bounds::default();
    /// # let mut node = hitch_quota::Node::new("10.0.0.1:7600", "a", 7, bounds, Default::default());
    /// let limit = hitch_quota::Limit { rate: 5.0, burst: 5.0 };
    /// node.set_limits(Default::default(), [("acme".into(), limit)].into());
    /// ```
    pub fn set_limits(&mut self, now: Duration, limits: BTreeMap<Box<str>, Limit>) {
        // Up to now the buckets fill at the earlier rates.
        for (name, bucket) in &mut self.buckets {
            if let Some(limit) = self.limits.get(name) {
                bucket.fill(now, *limit, &self.bounds);
            }
        }
        self.limits = limits;
        self.has_new_limits = true;
        let is_limited = |name: &str| self.limits.get(name).is_some_and(|limit| limit.rate > 0.0);
        self.buckets.retain(|name, _| is_limited(name));
        self.orders.retain(|name, _| is_limited(name));
        // Requests that wait are served with the tokens that arrive.
        self.leases
            .retain(|name, lease| is_limited(name) || lease.waiting() > 0);
    }

    /// Replaces the bounds.
    ///
    /// ```
    /// # let bounds = hitch_quota::Bounds::default();
    /// # let mut node = hitch_quota::Node::new("10.0.0.1:7600", "a", 7, bounds, Default::default());
    /// node.set_bounds(bounds);
    /// ```
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// Updates the members from a list of addresses and availability zones. `is_complete` states that the list is from
    /// the store, so that no member is missing for a reason other than a recent start.
    ///
    /// ```
    /// # let bounds = hitch_quota::Bounds::default();
    /// # let mut node = hitch_quota::Node::new("10.0.0.1:7600", "a", 7, bounds, Default::default());
    /// node.set_members(Default::default(), [("10.0.0.2:7600", "b")], true, &|_| true);
    /// assert_eq!(node.homes().count(), 2);
    /// ```
    pub fn set_members<'a>(
        &mut self,
        now: Duration,
        listed: impl IntoIterator<Item = (&'a str, &'a str)>,
        is_complete: bool,
        reachable: &dyn Fn(&str) -> bool,
    ) {
        let mine = self.own.clone();
        let voters = self.council.voters();
        let reached = voters.filter(|voter| **voter == mine || reachable(voter));
        let reached = reached.count();
        let quorum = self.council.quorum();
        // Every change of the homes interrupts the grants until the voters agree on them. So a home that is gone is only
        // replaced when the loss of more voters could leave no quorum, and never by a part that is cut off.
        let may_remove = (quorum..quorum + SPARE_VOTERS).contains(&reached);
        let own = (&*mine, &*self.zone);
        let has_changed = self.council.update(listed, own, may_remove);
        if !has_changed && self.is_complete == is_complete {
            return;
        }
        self.is_complete = is_complete;
        self.orders.clear();
        self.tenure.clear();
        self.refresh(now);
        self.buckets.clear();
        let (view, homes) = (self.council.view(), self.council.homes());
        self.voter.set_homes(now, view, homes);
    }

    /// Returns the nodes that may be homes. Entry nodes keep a connection to each of them.
    ///
    /// ```
    /// # let bounds = hitch_quota::Bounds::default();
    /// let node = hitch_quota::Node::new("10.0.0.1:7600", "a", 7, bounds, Default::default());
    /// assert_eq!(node.homes().count(), 0);
    /// ```
    pub fn homes(&self) -> impl Iterator<Item = &Box<str>> {
        self.council.homes()
    }

    /// Returns the nodes to keep connections to: in a fleet with few homes all of them, otherwise the homes of the
    /// organisations for which requests arrive here, and the voters of a home.
    ///
    /// ```
    /// # let bounds = hitch_quota::Bounds::default();
    /// let node = hitch_quota::Node::new("10.0.0.1:7600", "a", 7, bounds, Default::default());
    /// assert!(node.needed().is_empty());
    /// ```
    pub fn needed(&self) -> BTreeSet<Box<str>> {
        let mut needed = BTreeSet::new();
        if self.council.homes().count() <= MAX_EAGER_HOMES {
            needed.extend(self.council.homes().cloned());
        } else {
            let orders = self.leases.keys().map(|name| self.council.order(name));
            needed.extend(orders.flat_map(|order| order.into_iter().take(HOMES_IN_ORDER)));
            if self.council.homes().any(|home| *home == self.own) {
                needed.extend(self.council.voters().cloned());
            }
        }
        needed.extend(self.leases.values().filter_map(Lease::hint).map(Box::from));
        needed.remove(&self.own);
        needed
    }

    /// Sets whether this node is about to stop, so that it stands as a home no longer and others replace it in time.
    ///
    /// ```
    /// # let bounds = hitch_quota::Bounds::default();
    /// # let mut node = hitch_quota::Node::new("10.0.0.1:7600", "a", 7, bounds, Default::default());
    /// node.set_retiring(true);
    /// ```
    pub fn set_retiring(&mut self, is_retiring: bool) {
        self.is_retiring = is_retiring;
    }

    /// Returns the nodes in the order in which they are the home of an organisation: each in place of the ones before it.
    ///
    /// ```
    /// # let bounds = hitch_quota::Bounds::default();
    /// let node = hitch_quota::Node::new("10.0.0.1:7600", "a", 7, bounds, Default::default());
    /// assert!(node.home_order("acme").is_empty());
    /// ```
    pub fn home_order(&self, organisation: &str) -> Vec<Box<str>> {
        self.council.order(organisation)
    }

    /// Counts a request on behalf of an organisation and takes a token for it, if one is at hand. If the request has to
    /// wait, call [`Node::flush`].
    ///
    /// ```
    /// # let bounds = hitch_quota::Bounds::default();
    /// # let mut node = hitch_quota::Node::new("10.0.0.1:7600", "a", 7, bounds, Default::default());
    /// assert_eq!(node.take(Default::default(), "acme"), hitch_quota::Taken::Unlimited);
    /// ```
    pub fn take(&mut self, now: Duration, organisation: &str) -> Taken {
        let limit = self.limits.get(organisation);
        if limit.is_none_or(|limit| limit.rate <= 0.0) {
            return Taken::Unlimited;
        }
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        self.lease_mut(organisation).take(now, ticket)
    }

    /// Takes back the token of a request that no backend server got.
    ///
    /// ```
    /// # fn run(node: &mut hitch_quota::Node, token: hitch_quota::Token) {
    /// node.give_back("acme", token);
    /// # }
    /// ```
    pub fn give_back(&mut self, organisation: &str, token: Token) {
        self.lease_mut(organisation).give_back(token);
    }

    /// Forgets a request that waits no longer.
    ///
    /// ```
    /// # let bounds = hitch_quota::Bounds::default();
    /// # let mut node = hitch_quota::Node::new("10.0.0.1:7600", "a", 7, bounds, Default::default());
    /// node.cancel("acme", 1);
    /// ```
    pub fn cancel(&mut self, organisation: &str, ticket: u64) {
        if let Some(lease) = self.leases.get_mut(organisation) {
            lease.cancel(ticket);
        }
    }

    /// Asks homes for the tokens of requests that wait. `reachable` tells whether a node can be sent a request.
    ///
    /// ```
    /// # let bounds = hitch_quota::Bounds::default();
    /// # let mut node = hitch_quota::Node::new("10.0.0.1:7600", "a", 7, bounds, Default::default());
    /// assert_eq!(node.flush(Default::default(), &|_| true), hitch_quota::Output::default());
    /// ```
    pub fn flush(&mut self, now: Duration, reachable: &dyn Fn(&str) -> bool) -> Output {
        let mut output = Output::default();
        self.ask(now, false, reachable, &mut output);
        output
    }

    /// Does what is due: call it every 50 ms. Returns expiring tokens, leases tokens ahead, renews this node's right to
    /// be a home, and asks other nodes in place of silent ones.
    ///
    /// ```
    /// # let bounds = hitch_quota::Bounds::default();
    /// # let mut node = hitch_quota::Node::new("10.0.0.1:7600", "a", 7, bounds, Default::default());
    /// assert!(node.tick(Default::default(), &|_| true).requests.is_empty());
    /// ```
    pub fn tick(&mut self, now: Duration, reachable: &dyn Fn(&str) -> bool) -> Output {
        let mut output = Output::default();
        self.refresh(now);
        self.find_silent(now);
        self.leases.retain(|_, lease| !lease.is_idle(now));
        self.sessions.retain(|_, (_, at)| now < *at + SESSION_TIME);
        self.ask(now, true, reachable, &mut output);
        self.probe(now, reachable, &mut output);
        if self.is_complete && now >= self.candidate_at {
            self.candidate_at = now + CANDIDACY_INTERVAL;
            self.stand(now, reachable, &mut output);
        }
        output
    }

    /// Answers a request of another node, or returns `None` for one that was answered already.
    ///
    /// ```
    /// use hitch_quota::message::Request;
    /// # let bounds = hitch_quota::Bounds::default();
    /// # let mut node = hitch_quota::Node::new("10.0.0.1:7600", "a", 7, bounds, Default::default());
    /// let request = Request { session: 8, number: 1, candidacy: None, items: Vec::new() };
    /// assert!(node.on_request(Default::default(), &request).is_some());
    /// assert!(node.on_request(Default::default(), &request).is_none());
    /// ```
    pub fn on_request(&mut self, now: Duration, request: &Request) -> Option<Grant> {
        let (last, at) = self.sessions.entry(request.session).or_insert((0, now));
        if request.number <= *last {
            return None;
        }
        (*last, *at) = (request.number, now);
        let vote = request.candidacy.as_ref();
        let vote = vote.map(|candidacy| self.vote(now, candidacy));
        let items = request.items.iter();
        let items = items.map(|item| self.grant(now, request.session, item));
        let items = items.collect();
        Some(Grant {
            number: request.number,
            vote,
            items,
        })
    }

    /// Handles the answer to a request. One that was handled already has no effect.
    ///
    /// ```
    /// use hitch_quota::message::Grant;
    /// # let bounds = hitch_quota::Bounds::default();
    /// # let mut node = hitch_quota::Node::new("10.0.0.1:7600", "a", 7, bounds, Default::default());
    /// let grant = Grant { number: 9, vote: None, items: Vec::new() };
    /// assert!(node.on_grant(Default::default(), &grant, &|_| true).resolved.is_empty());
    /// ```
    pub fn on_grant(
        &mut self,
        now: Duration,
        grant: &Grant,
        reachable: &dyn Fn(&str) -> bool,
    ) -> Output {
        let mut output = Output::default();
        self.handle_grant(now, grant, &mut output);
        self.ask(now, false, reachable, &mut output);
        output
    }

    /// Returns whether this node may grant tokens of an organisation now.
    ///
    /// ```
    /// # let bounds = hitch_quota::Bounds::default();
    /// let node = hitch_quota::Node::new("10.0.0.1:7600", "a", 7, bounds, Default::default());
    /// assert!(!node.is_home_of(Default::default(), "acme"));
    /// ```
    pub fn is_home_of(&self, now: Duration, organisation: &str) -> bool {
        let rights = self.tenure.rights(now, self.council.quorum());
        let Some(down) = rights.filter(|_| self.is_complete) else {
            return false;
        };
        let order = self.council.order(organisation);
        let mut before = order.iter().take_while(|home| **home != self.own);
        before.all(|home| down.contains(home))
    }

    /// Returns the counts of the node.
    ///
    /// ```
    /// # let bounds = hitch_quota::Bounds::default();
    /// let node = hitch_quota::Node::new("10.0.0.1:7600", "a", 7, bounds, Default::default());
    /// assert_eq!(node.status().waiting, 0);
    /// ```
    pub fn status(&self) -> Status {
        Status {
            waiting: self.leases.values().map(Lease::waiting).sum(),
            home_of: self.rights.as_ref().map_or(0, |_| self.buckets.len()),
            leased: self.leased,
            returned: self.returned,
        }
    }

    fn lease_mut(&mut self, organisation: &str) -> &mut Lease {
        // Most requests find an entry; its key is allocated only for the others.
        if !self.leases.contains_key(organisation) {
            self.leases.insert(organisation.into(), Lease::default());
        }
        self.leases.entry(organisation.into()).or_default()
    }

    fn order(&mut self, organisation: &str) -> Arc<[Box<str>]> {
        if let Some(order) = self.orders.get(organisation) {
            return order.clone();
        }
        let order: Arc<[Box<str>]> = self.council.order(organisation).into();
        self.orders.insert(organisation.into(), order.clone());
        order
    }

    fn vote(&mut self, now: Duration, candidacy: &Candidacy) -> Vote {
        match self.is_complete && self.council.voters().any(|voter| *voter == self.own) {
            true => self.voter.vote(now, candidacy),
            false => Vote::default(),
        }
    }

    /// Opens the token buckets of organisations whose home this node has become, and drops those of others. It runs
    /// before and after each change of the votes, so that a right that lapsed in between is noticed.
    fn refresh(&mut self, now: Duration) {
        let rights = match self.is_complete {
            true => self.tenure.rights(now, self.council.quorum()),
            false => None,
        };
        let Some(down) = &rights else {
            if self.rights.take().is_some() {
                // They are used again if no other node acts in place of this one meanwhile. Another one that acts in
                // place of the same home cannot be told from the votes.
                let (own, orders) = (&self.own, &self.orders);
                let is_first =
                    |name: &str| orders.get(name).is_some_and(|o| o.first() == Some(own));
                self.buckets.retain(|name, _| is_first(name));
            }
            return;
        };
        let is_continued = self.tenure.note_epochs(now, self.council.quorum());
        if rights == self.rights && !std::mem::take(&mut self.has_new_limits) {
            return;
        }
        if self.rights.is_none() && !is_continued {
            self.buckets.clear();
        }
        for (name, limit) in &self.limits {
            let council = &self.council;
            let order = self.orders.entry(name.clone());
            let order = order.or_insert_with(|| council.order(name).into());
            let before = order.iter().take_while(|home| **home != self.own);
            if limit.rate > 0.0 && before.into_iter().all(|home| down.contains(home)) {
                let bucket = self.buckets.entry(name.clone());
                bucket.or_insert_with(|| Bucket::new(now));
            } else {
                self.buckets.remove(name);
            }
        }
        self.rights = rights;
    }

    fn grant(&mut self, now: Duration, session: u64, item: &Item) -> Granted {
        let answer = |granted, retry_after, elsewhere| Granted {
            organisation: item.organisation.clone(),
            granted,
            retry_after,
            elsewhere,
        };
        let Some(limit) = self.limits.get(&item.organisation).copied() else {
            return answer(0, RETRY_UNKNOWN, None);
        };
        if limit.rate <= 0.0 {
            return answer(
                item.waiting.saturating_add(item.ahead),
                Duration::ZERO,
                None,
            );
        }
        if self.tenure.rights(now, self.council.quorum()) != self.rights {
            self.refresh(now);
        }
        let bucket = self.buckets.get_mut(&item.organisation);
        let Some(bucket) = bucket.filter(|_| self.rights.is_some()) else {
            let order = self.council.order(&item.organisation);
            let first = order.into_iter().find(|home| *home != self.own);
            return answer(0, Duration::ZERO, Some(first.unwrap_or_default()));
        };
        let (granted, retry_after) = bucket.grant(now, limit, &self.bounds, session, item);
        answer(granted, retry_after, None)
    }

    /// Asks homes for tokens, this node itself included.
    fn ask(
        &mut self,
        now: Duration,
        is_batch: bool,
        reachable: &dyn Fn(&str) -> bool,
        output: &mut Output,
    ) {
        let mut by_home: BTreeMap<Box<str>, Request> = BTreeMap::new();
        let busy = self.busy_homes(now);
        let names = self.leases.iter();
        let names = names.filter(|(_, lease)| is_batch || lease.has_unasked());
        let names: Vec<Box<str>> = names.map(|(name, _)| name.clone()).collect();
        for name in names {
            let own = self.own.clone();
            let order = self.order(&name);
            let Some(lease) = self.leases.get_mut(&name) else {
                continue;
            };
            let silent = &self.silent;
            let may_ask =
                |home: &str| *home == *own || reachable(home) && !silent.contains_key(home);
            let Some(home) = lease.target(now, &order, is_batch, may_ask) else {
                continue;
            };
            if busy.contains(&home) {
                continue;
            }
            let next = self.last_number + 1;
            let number = by_home.get(&home).map_or(next, |request| request.number);
            let lifetime = self.bounds.lifetime();
            let Some(item) = lease.ask(now, lifetime, &name, number, is_batch) else {
                continue;
            };
            self.last_number = self.last_number.max(number);
            self.returned += u64::from(item.returned);
            let request = by_home.entry(home).or_insert_with(|| Request {
                session: self.session,
                number,
                candidacy: None,
                items: Vec::new(),
            });
            request.items.push(item);
        }
        for (home, request) in by_home {
            self.send(now, home, request, output);
        }
    }

    /// Returns the homes that are to answer before they are asked for tokens again.
    fn busy_homes(&self, now: Duration) -> BTreeSet<Box<str>> {
        let sent = self.sent.values();
        let sent = sent.filter(|sent| !sent.organisations.is_empty() && now < sent.at + BATCH_TIME);
        sent.map(|sent| sent.to.clone()).collect()
    }

    /// Asks the voters for their votes.
    fn stand(&mut self, now: Duration, reachable: &dyn Fn(&str) -> bool, output: &mut Output) {
        let is_candidate = !self.is_retiring && self.council.homes().any(|home| *home == self.own);
        if !is_candidate || self.limits.is_empty() {
            return;
        }
        let candidacy = Candidacy {
            address: self.own.clone(),
            view: self.council.view(),
        };
        let voters: Vec<Box<str>> = self.council.voters().cloned().collect();
        for voter in voters {
            if voter != self.own && !reachable(&voter) {
                continue;
            }
            let asked = output.requests.iter_mut().find(|(to, _)| *to == voter);
            if let Some((_, request)) = asked {
                request.candidacy = Some(candidacy.clone());
                continue;
            }
            self.last_number += 1;
            let request = Request {
                session: self.session,
                number: self.last_number,
                candidacy: Some(candidacy.clone()),
                items: Vec::new(),
            };
            self.send(now, voter, request, output);
        }
    }

    fn send(&mut self, now: Duration, to: Box<str>, request: Request, output: &mut Output) {
        let organisations = request.items.iter();
        let organisations = organisations.map(|item| item.organisation.clone());
        let sent = Sent {
            to: to.clone(),
            at: now,
            organisations: organisations.collect(),
            is_silent: false,
        };
        self.sent.insert(request.number, sent);
        if to != self.own {
            output.requests.push((to, request));
            return;
        }
        if let Some(grant) = self.on_request(now, &request) {
            self.handle_grant(now, &grant, output);
        }
    }

    fn handle_grant(&mut self, now: Duration, grant: &Grant, output: &mut Output) {
        let Some(sent) = self.sent.remove(&grant.number) else {
            return;
        };
        self.silent.remove(&sent.to);
        if let Some(vote) = &grant.vote {
            self.refresh(now);
            self.tenure.record(&sent.to, sent.at, vote.clone());
            self.refresh(now);
        }
        let expires_at = sent.at + self.bounds.lifetime();
        for granted in &grant.items {
            self.leased += u64::from(granted.granted);
            let lease = self.leases.get_mut(&granted.organisation);
            if let Some(lease) = lease {
                let resolved = &mut output.resolved;
                lease.on_granted(now, grant.number, expires_at, &sent.to, granted, resolved);
            }
        }
    }

    /// Asks nodes that do not answer for a sign of life, so that requests need not wait to find them.
    fn probe(&mut self, now: Duration, reachable: &dyn Fn(&str) -> bool, output: &mut Output) {
        self.silent.retain(|node, _| reachable(node));
        let due = self.silent.iter_mut().filter(|(_, at)| now >= **at);
        let due: Vec<Box<str>> = due
            .map(|(node, at)| {
                *at = now + PROBE_INTERVAL;
                node.clone()
            })
            .collect();
        for node in due {
            self.last_number += 1;
            let request = Request {
                session: self.session,
                number: self.last_number,
                candidacy: None,
                items: Vec::new(),
            };
            self.send(now, node, request, output);
        }
    }

    /// Lets the next node be asked in place of those that do not answer.
    fn find_silent(&mut self, now: Duration) {
        for (number, sent) in &mut self.sent {
            if sent.is_silent || now < sent.at + SILENT_AFTER {
                continue;
            }
            sent.is_silent = true;
            // It is asked for a sign of life at once: only one message may have been lost.
            self.silent.entry(sent.to.clone()).or_insert(now);
            for organisation in &sent.organisations {
                if let Some(lease) = self.leases.get_mut(organisation) {
                    lease.unask(*number);
                }
            }
        }
        self.sent.retain(|_, sent| now < sent.at + FORGET_AFTER);
    }
}
