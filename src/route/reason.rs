//! Reason why an engine was chosen.

/// Reason why an engine was chosen for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The engine is the prefix's home: the first in its placement, which is the same on all VMs.
    Home,
    /// The prefix is in high demand, and the engine is one of its further replicas.
    Placed,
    /// The engine was known to have leading pieces of the prompt cached.
    Held,
    /// The replicas of the prefix were busy, and the engine became a new one.
    Replicated,
    /// The engine was drawn at random and has a lower score than the prefix's replicas.
    Drawn,
    /// No engine was known to be usable.
    LastResort,
}

impl Reason {
    /// Every reason.
    pub const ALL: [Self; 6] = [
        Self::Home,
        Self::Placed,
        Self::Held,
        Self::Replicated,
        Self::Drawn,
        Self::LastResort,
    ];

    /// Returns the reason's label in headers and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Home => "home",
            Self::Placed => "placed",
            Self::Held => "held",
            Self::Replicated => "replicated",
            Self::Drawn => "drawn",
            Self::LastResort => "last_resort",
        }
    }
}
