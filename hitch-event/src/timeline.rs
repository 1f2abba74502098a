//! Merge of the events of many processes.

use crate::event::Event;

/// Which events of the time line to keep.
#[derive(Debug, Clone, Default)]
pub struct Options {
    /// Keep only events of this version.
    pub version: Option<u64>,
    /// Keep only events of this call.
    pub call_id: Option<Box<str>>,
    /// Keep only events of this instance.
    pub instance: Option<Box<str>>,
}

/// Merges events into one order in which causes come before effects.
///
/// Events with the same stamp are ordered by instance, so that the same events give the same order.
///
/// ```
/// let merged = hitch_event::timeline::merge(Vec::new(), &hitch_event::timeline::Options::default());
/// assert!(merged.is_empty());
/// ```
pub fn merge(events: impl IntoIterator<Item = Event>, options: &Options) -> Vec<Event> {
    let mut out = Vec::new();
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
        out.push(event);
    }
    out.sort_by(|a, b| (a.stamp, &a.instance).cmp(&(b.stamp, &b.instance)));
    out.dedup();
    out
}
