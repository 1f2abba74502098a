//! Votes on which nodes may act as homes.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::message::Candidacy;
use crate::message::Vote;
use crate::tenure::SUPPORT_TERM;

/// Time after a vote for which its opposite is not given. It is longer than a vote counts, so that a home and its
/// substitute never both have a quorum.
const HOLD: Duration = Duration::from_millis(450);
/// Time without a candidacy after which a home counts as down. On an instance with a tenth of a core, messages are up to
/// 200 ms late, and candidacies are sent every 150 ms.
const DOWN_AFTER: Duration = Duration::from_millis(450);

const _: () = assert!(HOLD.as_millis() > SUPPORT_TERM.as_millis());

/// State of a voter. Votes given before a restart are not known, so it does not vote until those have expired.
#[derive(Debug)]
pub(crate) struct Voter {
    ready_at: Duration,
    view: u64,
    /// Epoch of homes that were not reported as down, differing between processes and views.
    first_epoch: u64,
    homes: BTreeMap<Box<str>, Opinion>,
}

#[derive(Debug, Clone, Copy)]
struct Opinion {
    last_candidacy: Duration,
    supported_at: Option<Duration>,
    reported_down_at: Option<Duration>,
    epoch: u64,
}

impl Voter {
    pub(crate) fn new(now: Duration, session: u64) -> Voter {
        Voter {
            ready_at: now + HOLD,
            view: 0,
            first_epoch: session,
            homes: BTreeMap::new(),
        }
    }

    /// Replaces the homes. Votes given for other homes have to expire first.
    pub(crate) fn set_homes<'a>(
        &mut self,
        now: Duration,
        view: u64,
        homes: impl Iterator<Item = &'a Box<str>>,
    ) {
        self.ready_at = now + HOLD;
        self.view = view;
        self.first_epoch = self.first_epoch.wrapping_add(1 << 32);
        let opinion = Opinion {
            last_candidacy: now,
            supported_at: None,
            reported_down_at: None,
            epoch: self.first_epoch,
        };
        self.homes = homes.map(|home| (home.clone(), opinion)).collect();
    }

    /// Answers a candidacy.
    pub(crate) fn vote(&mut self, now: Duration, candidacy: &Candidacy) -> Vote {
        if candidacy.view != self.view {
            return Vote::default();
        }
        let is_ready = now >= self.ready_at;
        let mut vote = Vote::default();
        for (address, opinion) in &mut self.homes {
            let is_past = |at: Option<Duration>| at.is_none_or(|at| now >= at + HOLD);
            if *address == candidacy.address {
                opinion.last_candidacy = now;
                vote.epoch = opinion.epoch;
                if is_ready && is_past(opinion.reported_down_at) {
                    opinion.supported_at = Some(now);
                    vote.supports = true;
                }
                continue;
            }
            let is_silent = now >= opinion.last_candidacy + DOWN_AFTER;
            if is_ready && is_silent && is_past(opinion.supported_at) {
                opinion.reported_down_at = Some(now);
                opinion.epoch = opinion.epoch.wrapping_add(1);
                vote.down.push(address.clone());
            }
        }
        vote
    }
}
