//! The rules that the core keeps whatever the decision module says, by name.

/// A rule of the protocol. The log and the counters name violations by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A request has one final answer, in time.
    FinalAnswer,
    /// What a server holds for a request is taken or released in time.
    HeldState,
    /// Nothing is sent for a request that is over or whose client has left.
    RequestOver,
    /// Nothing is sent to a server that drains, is gone or is out of use.
    Drain,
    /// What may have run is not sent again, nor refused, where that does harm.
    Duplicate,
    /// No more attempts are made than the settings allow, and no second copy where they allow none.
    Attempts,
}
