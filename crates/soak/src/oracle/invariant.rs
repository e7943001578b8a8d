//! The invariants that the oracle checks, and their violations.

/// A rule of the protocol that must hold in every run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// A reserved KV cache is consumed by a decode attempt or released in time.
    KvReservationReleased,
    /// Each request gets a response soon after its deadline at the latest.
    RespondedInTime,
    /// A dispatcher does not close a connection before it has responded to the request on it.
    NotClosedUnanswered,
    /// Once a decode attempt may have run, a request that must be executed at most once gets no second decode
    /// attempt. Nor is it shed, because status 429 or 503 tells the client that nothing ran.
    NotExecutedTwice,
    /// No attempt is sent to a replica after discovery has reported it as draining.
    NotSentToDraining,
    /// No attempt is sent after the client has disconnected.
    NotSentAfterDisconnect,
    /// An attempt announces no more time left to its replica than the client has.
    TimeLeftNotExceeded,
    /// A stream that its replica aborted does not look complete to the client.
    AbortedStreamIncomplete,
    /// A stream that its replica neither aborts nor stalls reaches the client completely, unless the dispatcher is killed.
    StreamComplete,
    /// An event reaches the client soon after its replica has written it.
    EventDeliveredInTime,
    /// A dispatcher process starts, runs until it receives a signal to exit, and then exits without error.
    ProcessRuns,
}

impl Invariant {
    /// Returns the name in the soak's output. Where a variant of the program breaks the rule on purpose, it is the name of
    /// that variant.
    pub fn name(self) -> &'static str {
        match self {
            Invariant::KvReservationReleased => "HeldState",
            Invariant::RespondedInTime => "FinalAnswer",
            Invariant::NotClosedUnanswered => "Unanswered",
            Invariant::NotExecutedTwice => "Duplicate",
            Invariant::NotSentToDraining => "Drain",
            Invariant::NotSentAfterDisconnect => "ClientGone",
            Invariant::TimeLeftNotExceeded => "ToldTime",
            Invariant::AbortedStreamIncomplete => "StreamEnd",
            Invariant::StreamComplete => "StreamCut",
            Invariant::EventDeliveredInTime => "LateEvent",
            Invariant::ProcessRuns => "Process",
        }
    }
}

/// A violated invariant, with the request or the process that violated it.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The invariant that was violated.
    pub invariant: Invariant,
    /// The request's id, or `p` and the number of the dispatcher.
    pub id: String,
    /// The observations of the request, oldest first, each with the seconds since the oracle was created; for a process,
    /// the reason alone.
    pub timeline: Vec<String>,
}
