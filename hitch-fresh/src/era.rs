//! The era of the store: its number increases when the store comes back from an older copy of its records.

/// What an answer of the store says about its era.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraChange {
    /// The era is the known one.
    Same,
    /// No era was known before.
    First,
    /// The era has risen: the store may have lost records, and offsets of the earlier era have no meaning.
    Risen,
    /// The answer is of an earlier era than the known one.
    Old,
}

/// The newest era that is known, if any.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Era(Option<u64>);

impl Era {
    pub(crate) fn observe(&mut self, era: u64) -> EraChange {
        match self.0 {
            Some(known) if era == known => EraChange::Same,
            Some(known) if era < known => EraChange::Old,
            known => {
                self.0 = Some(era);
                match known {
                    Some(_) => EraChange::Risen,
                    None => EraChange::First,
                }
            }
        }
    }

    pub(crate) fn known(self) -> Option<u64> {
        self.0
    }
}
