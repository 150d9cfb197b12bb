//! How many targets of a service one request may take down.

/// What sending a request to one more target puts at risk.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Exposure {
    /// Number of targets that crashed under the request.
    pub crashed: usize,
    /// Number of targets that have the request and have not answered.
    pub unanswered: usize,
    /// Number of other targets of the service that can be used.
    pub spare: usize,
    /// Whether the service has other targets at all, if only some that can't be
    /// used, or just had some.
    pub has_others: bool,
}

/// Whether a request is sent to one more target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendDecision {
    /// It is sent.
    Send,
    /// Not before a target that has it answers or fails.
    AwaitAnswer,
    /// If it crashed this target too, its service would have none.
    KeepTarget,
}

impl Exposure {
    /// Decides whether a caller's request is sent to one more target.
    ///
    /// As long as no target crashed under the request, a second one gets it
    /// in any case: most targets that have not answered are only slow.
    #[must_use]
    pub fn decide(self) -> SendDecision {
        match self {
            Self { crashed: 1.., unanswered: 1.., .. } | Self { unanswered: 2.., spare: 0, .. } => {
                SendDecision::AwaitAnswer
            }
            Self { crashed: 1.., spare: 0, has_others: true, .. } => SendDecision::KeepTarget,
            _ => SendDecision::Send,
        }
    }
}
