//! Whether this node may act as a home, by the votes that it got.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::message::Vote;

/// Time for which a vote counts, from the moment at which it was asked for.
pub(crate) const SUPPORT_TERM: Duration = Duration::from_millis(400);

/// Votes that this node got, by voter.
#[derive(Debug, Default)]
pub(crate) struct Tenure {
    votes: BTreeMap<Box<str>, (Duration, Vote)>,
    /// Epochs of the votes by which this node was last a home.
    epochs: BTreeMap<Box<str>, u64>,
}

impl Tenure {
    /// Drops all votes, because the homes or voters changed.
    pub(crate) fn clear(&mut self) {
        self.votes.clear();
        self.epochs.clear();
    }

    /// Records a vote that was asked for at `asked_at`.
    pub(crate) fn record(&mut self, voter: &str, asked_at: Duration, vote: Vote) {
        let known = self.votes.get(voter);
        if known.is_none_or(|(at, _)| *at <= asked_at) {
            self.votes.insert(voter.into(), (asked_at, vote));
        }
    }

    /// Returns the homes that this node may act in place of, or `None` if no quorum supports it.
    pub(crate) fn rights(&self, now: Duration, quorum: usize) -> Option<BTreeSet<Box<str>>> {
        let votes = self.votes.values();
        let valid = votes.filter(|(asked_at, _)| now < *asked_at + SUPPORT_TERM);
        let mut supports = 0;
        let mut down: BTreeMap<&Box<str>, usize> = BTreeMap::new();
        for (_, vote) in valid {
            supports += usize::from(vote.supports);
            for home in &vote.down {
                *down.entry(home).or_default() += 1;
            }
        }
        let down = down.into_iter().filter(|(_, votes)| *votes >= quorum);
        (supports >= quorum).then(|| down.map(|(home, _)| home.clone()).collect())
    }

    /// Notes the votes by which this node is a home now, and returns whether no other node can have acted in its place
    /// since the last call: a quorum has not reported it as down. Call it when a quorum supports this node.
    pub(crate) fn note_epochs(&mut self, now: Duration, quorum: usize) -> bool {
        let votes = self.votes.iter();
        let valid =
            votes.filter(|(_, (asked_at, vote))| vote.supports && now < *asked_at + SUPPORT_TERM);
        let epochs: Vec<(Box<str>, u64)> = valid
            .map(|(voter, (_, vote))| (voter.clone(), vote.epoch))
            .collect();
        let same = |(voter, epoch): &&(Box<str>, u64)| self.epochs.get(voter) == Some(epoch);
        let same = epochs.iter().filter(same).count();
        if same < quorum {
            self.epochs.clear();
        }
        self.epochs.extend(epochs);
        same >= quorum
    }
}
