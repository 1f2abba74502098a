//! Leases of an entry node: the tokens of one organisation, the requests that wait for one, and the measured demand.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::message::Granted;
use crate::message::Item;

/// Part of the tokens leased ahead that is left when more are leased. Leasing more often would send a message for nearly
/// every request.
const REFILL_PART: u32 = 4;
/// Time constant of the measured demand.
const DEMAND_TIME: Duration = Duration::from_secs(1);
/// Demand of this node in requests per second from which tokens are leased ahead. Below it most of them would expire
/// unused, and the tokens held by 74 nodes would be more than the burst of the organisation.
const MIN_DEMAND_AHEAD: f64 = 1.0;
/// Fraction of its lifetime after which a lease is returned or renewed: the home must have the tokens back before they
/// expire.
const RETURN_AFTER_FRACTION: f64 = 0.75;
/// Longest time for which a denial by the home counts. Tokens that other nodes return may be available sooner than the
/// home could tell.
const MAX_DENIED: Duration = Duration::from_millis(100);
/// Time for which a node is not asked again after it answered that it is not the home.
const AVOID_TIME: Duration = Duration::from_millis(300);

/// A token that was taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Token {
    /// When the lease of the token expires.
    pub(crate) expires_at: Duration,
}

/// Result of an attempt to take a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Taken {
    /// The organisation has no limit.
    Unlimited,
    /// The request has a token.
    Token(Token),
    /// The request waits for the answer of the home.
    Waiting {
        /// Identifies the request in [`Resolution`]s.
        ticket: u64,
    },
    /// The home denied tokens a moment ago.
    Denied {
        /// Time after which a token may be available.
        retry_after: Duration,
    },
}

/// End of the wait of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Resolution {
    /// The request.
    pub ticket: u64,
    /// The token, or the time after which one may be available.
    pub result: Result<Token, Duration>,
}

/// Leases of one organisation.
#[derive(Debug, Default)]
pub(crate) struct Lease {
    /// Unused tokens by their expiry, the earliest first.
    tokens: VecDeque<(Duration, u32)>,
    /// Requests that wait, with whether the home was asked for their tokens.
    waiting: VecDeque<(u64, Option<u64>)>,
    /// Number of the request to the home that is unanswered.
    pending: Option<u64>,
    denied_until: Duration,
    retry_at: Duration,
    demand: f64,
    demand_at: Duration,
    /// Nodes that are not asked at present, and until when.
    avoided: BTreeMap<Box<str>, Duration>,
    /// Home that another node named. This node may not know it as one, because their lists of members differ.
    hint: Option<Box<str>>,
}

impl Lease {
    /// Counts a request and takes a token if there is one. Otherwise the request waits, unless tokens were denied.
    pub(crate) fn take(&mut self, now: Duration, ticket: u64) -> Taken {
        self.demand = self.demand_now(now) + 1.0 / DEMAND_TIME.as_secs_f64();
        self.demand_at = now;
        if let Some(token) = self.pop(now) {
            return Taken::Token(token);
        }
        if now < self.denied_until {
            let retry_after = self.retry_at.saturating_sub(now);
            return Taken::Denied { retry_after };
        }
        self.waiting.push_back((ticket, None));
        Taken::Waiting { ticket }
    }

    /// Takes back the token of a request that did not run. It expires as it would have.
    pub(crate) fn give_back(&mut self, token: Token) {
        self.push(token.expires_at, 1);
    }

    /// Forgets a request that waits no longer.
    pub(crate) fn cancel(&mut self, ticket: u64) {
        self.waiting.retain(|(waiting, _)| *waiting != ticket);
    }

    /// Returns what to ask the home for in the request `number`, or `None` if there is nothing to ask for. Returned
    /// tokens and expected requests alone are asked for only with `is_batch`.
    pub(crate) fn ask(
        &mut self,
        now: Duration,
        lifetime: Duration,
        organisation: &str,
        number: u64,
        is_batch: bool,
    ) -> Option<Item> {
        let unasked = self.waiting.iter().filter(|(_, asked)| asked.is_none());
        let waiting = unasked.count() as u32;
        if waiting == 0 && !is_batch {
            return None;
        }
        let mut returned = 0u32;
        let renew_before = now + lifetime.mul_f64(1.0 - RETURN_AFTER_FRACTION);
        while let Some((expires_at, count)) = self.tokens.front().copied() {
            if expires_at > renew_before {
                break;
            }
            self.tokens.pop_front();
            // Expired tokens count as spent: the home may not grant them again.
            if now < expires_at {
                returned = returned.saturating_add(count);
            }
        }
        let mut ahead = 0;
        let demand = self.demand_now(now);
        if demand >= MIN_DEMAND_AHEAD && now >= self.denied_until && self.pending.is_none() {
            let held = self.tokens.iter();
            let held = held.fold(0u32, |sum, (_, count)| sum.saturating_add(*count));
            let mean = demand * lifetime.as_secs_f64() * RETURN_AFTER_FRACTION;
            // With one standard deviation more, five of six requests find a token.
            let target = (mean + mean.sqrt()) as u32;
            if held.saturating_mul(REFILL_PART) <= target {
                ahead = target.max(1) - held.min(target);
            }
        }
        if waiting == 0 && ahead == 0 && returned == 0 {
            return None;
        }
        for (_, asked) in &mut self.waiting {
            asked.get_or_insert(number);
        }
        if waiting + ahead > 0 {
            self.pending = Some(number);
        }
        Some(Item {
            organisation: organisation.into(),
            waiting,
            ahead,
            returned,
        })
    }

    /// Records the answer to the request `number` that was sent at `sent_at`, and ends the wait of requests.
    pub(crate) fn on_granted(
        &mut self,
        now: Duration,
        number: u64,
        expires_at: Duration,
        from: &str,
        granted: &Granted,
        resolved: &mut Vec<Resolution>,
    ) {
        if self.pending == Some(number) {
            self.pending = None;
        }
        if let Some(home) = &granted.elsewhere {
            self.unask(number);
            self.avoided.insert(from.into(), now + AVOID_TIME);
            if !home.is_empty() {
                self.hint = Some(home.clone());
            }
            return;
        }
        self.avoided.remove(from);
        if now < expires_at {
            self.push(expires_at, granted.granted);
        }
        while let Some((ticket, _)) = self.waiting.front().copied() {
            let Some(token) = self.pop(now) else { break };
            self.waiting.pop_front();
            let result = Ok(token);
            resolved.push(Resolution { ticket, result });
        }
        // Requests that were asked for later get the answer to their own request.
        let is_denied = |(_, asked): &(u64, Option<u64>)| *asked == Some(number);
        if self.waiting.iter().any(is_denied) {
            self.retry_at = now + granted.retry_after;
            self.denied_until = now + granted.retry_after.min(MAX_DENIED);
            let result = Err(granted.retry_after);
            for (ticket, _) in self.waiting.iter().copied().filter(is_denied) {
                resolved.push(Resolution { ticket, result });
            }
            self.waiting.retain(|entry| !is_denied(entry));
        }
    }

    /// Lets another node be asked for what the request `number` asked for.
    pub(crate) fn unask(&mut self, number: u64) {
        if self.pending == Some(number) {
            self.pending = None;
        }
        for (_, asked) in &mut self.waiting {
            if *asked == Some(number) {
                *asked = None;
            }
        }
    }

    /// Chooses the node to ask: the first of `order` that is not avoided, then the one that another node named. If all
    /// are avoided, the first is asked again, but only with `is_batch`, so that answers do not lead to requests without
    /// end.
    pub(crate) fn target(
        &self,
        now: Duration,
        order: &[Box<str>],
        is_batch: bool,
        may_ask: impl Fn(&str) -> bool,
    ) -> Option<Box<str>> {
        let hint = self.hint.iter().filter(|hint| !order.contains(hint));
        let known = order.iter().chain(hint);
        let mut known = known.filter(|home| may_ask(home)).peekable();
        let first = known.peek().copied();
        let home = known.find(|home| !self.is_avoided(now, home));
        home.or(first.filter(|_| is_batch)).cloned()
    }

    pub(crate) fn hint(&self) -> Option<&str> {
        self.hint.as_deref()
    }

    fn is_avoided(&self, now: Duration, home: &str) -> bool {
        self.avoided.get(home).is_some_and(|until| now < *until)
    }

    /// Returns whether a request waits for whose token no home was asked.
    pub(crate) fn has_unasked(&self) -> bool {
        self.waiting.iter().any(|(_, asked)| asked.is_none())
    }

    pub(crate) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether nothing is known of the organisation that matters.
    pub(crate) fn is_idle(&self, now: Duration) -> bool {
        self.waiting.is_empty()
            && self.pending.is_none()
            && self.tokens.iter().all(|(expires_at, _)| now >= *expires_at)
            && now >= self.demand_at + DEMAND_TIME * 5
    }

    fn demand_now(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.demand_at);
        self.demand * (-elapsed.as_secs_f64() / DEMAND_TIME.as_secs_f64()).exp()
    }

    fn push(&mut self, expires_at: Duration, count: u32) {
        if count == 0 {
            return;
        }
        let at = self
            .tokens
            .partition_point(|(other, _)| *other < expires_at);
        match self.tokens.get_mut(at) {
            Some((other, sum)) if *other == expires_at => *sum = sum.saturating_add(count),
            _ => self.tokens.insert(at, (expires_at, count)),
        }
    }

    fn pop(&mut self, now: Duration) -> Option<Token> {
        while let Some((expires_at, count)) = self.tokens.front_mut() {
            let expires_at = *expires_at;
            if now >= expires_at || *count == 0 {
                self.tokens.pop_front();
                continue;
            }
            *count -= 1;
            return Some(Token { expires_at });
        }
        None
    }
}
