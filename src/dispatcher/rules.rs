//! The protocol rules that the core enforces, whatever the router decides.
//!
//! The guard rejects steps that a rule forbids, and the core detects outcomes and releases that come too late. Each violation
//! is counted and logged by its rule, also one that was prevented.

/// A protocol rule. The log and the counters name violations by the variant's `Debug` form.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each request gets exactly one final outcome, in time.
    FinalAnswer,
    /// A KV cache that endpoints reserve for a request is used or released in time.
    HeldState,
    /// Nothing is sent for a request that is closed or past its deadline, or whose client has disconnected.
    RequestOver,
    /// No attempt is sent to an endpoint that is draining, removed or banned.
    Drain,
    /// A request that may have run is neither sent again nor shed, unless a second run does no harm.
    Duplicate,
    /// A request has no more attempts than the settings allow, and hedged requests only if the settings allow them.
    Attempts,
}
