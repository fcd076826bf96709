//! The faults that are injected into requests.

/// A fault. [`super::world::World::inject`] implements every variant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    EngineCrash,
    EngineHang,
    AgentKilled,
    HostLost,
    AgentFrozen,
    EntryKilled,
    EntryFrozen,
    PlatformDown,
    PlatformSlow,
    AnswerLost,
    LinkCut,
    LinkCutOneWay,
    MessageLost,
    MessageDoubled,
    MessageLate,
    CallerRepeats,
    HostListWrong,
    WeightsSwapped,
}

impl Fault {
    pub const ALL: [Self; 18] = [
        Self::EngineCrash,
        Self::EngineHang,
        Self::AgentKilled,
        Self::HostLost,
        Self::AgentFrozen,
        Self::EntryKilled,
        Self::EntryFrozen,
        Self::PlatformDown,
        Self::PlatformSlow,
        Self::AnswerLost,
        Self::LinkCut,
        Self::LinkCutOneWay,
        Self::MessageLost,
        Self::MessageDoubled,
        Self::MessageLate,
        Self::CallerRepeats,
        Self::HostListWrong,
        Self::WeightsSwapped,
    ];

    /// Returns whether the fault concerns the message that a step sends.
    pub fn concerns_message(self) -> bool {
        matches!(
            self,
            Self::MessageLost | Self::MessageDoubled | Self::MessageLate
        )
    }
}
