//! The names of the protocol rules that the core enforces whatever the router decides.

/// A rule of the protocol. The log and the counters name violations by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A request has one final outcome, in time.
    FinalAnswer,
    /// The KV cache that endpoints reserve for a request is used or released in time.
    HeldState,
    /// Nothing is sent for a request that is closed or whose client has disconnected.
    RequestOver,
    /// Nothing is sent to an endpoint that is draining, removed or banned.
    Drain,
    /// A request that may have run is neither sent again nor shed, where that does harm.
    Duplicate,
    /// No more attempts are made than the settings allow, and no hedged request where they allow none.
    Attempts,
}
