//! Merging and filtering of the events of several processes.

use crate::event::Event;

/// Filters for the merged events; an event must match all that are set.
#[derive(Debug, Clone, Default)]
pub struct Options {
    /// Keep only events of this configuration version.
    pub version: Option<u64>,
    /// Keep only events of the call with this id.
    pub call_id: Option<Box<str>>,
    /// Keep only events of the instance with this name.
    pub instance: Option<Box<str>>,
}

/// Merges events into one order in which causes precede their effects.
///
/// Events with equal timestamps are ordered by instance, so that the order is deterministic. Of
/// adjacent equal events only one is kept.
///
/// ```
/// let merged = hitch_event::timeline::merge(Vec::new(), &hitch_event::timeline::Options::default());
/// assert!(merged.is_empty());
/// ```
pub fn merge(events: impl IntoIterator<Item = Event>, options: &Options) -> Vec<Event> {
    let mut merged = Vec::new();
    for event in events {
        if options.version.is_some_and(|v| v != event.version) {
            continue;
        }
        if options
            .call_id
            .as_ref()
            .is_some_and(|id| *id != event.call_id)
        {
            continue;
        }
        if options
            .instance
            .as_ref()
            .is_some_and(|i| *i != event.instance)
        {
            continue;
        }
        merged.push(event);
    }
    merged.sort_by(|a, b| (a.stamp, &a.instance).cmp(&(b.stamp, &b.instance)));
    merged.dedup();
    merged
}
