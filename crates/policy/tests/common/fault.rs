//! The faults that are injected.

/// A fault. The match in [`super::world::World::inject`] is exhaustive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    EngineCrash,
    EngineHang,
    AgentKilled,
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
    pub const ALL: [Self; 17] = [
        Self::EngineCrash,
        Self::EngineHang,
        Self::AgentKilled,
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
}
