//! Fault injection: variants of the program that each violate one rule. The soak test runs them to show that it detects
//! the violations.
//!
//! They exist only in builds with the feature `variants`, which are never deployed. The environment variable
//! `QUARTZHALL_VARIANT` selects the variant by its name.

/// A variant, named for the rule that it violates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// Doesn't release a KV cache reservation that becomes unneeded while an attempt is in flight.
    HeldState,
    /// Sends no final response to requests that fail or are shed.
    FinalAnswer,
    /// Sheds failed requests, as if none of their attempts could have run.
    Duplicate,
    /// Sends requests to draining endpoints.
    Drain,
    /// Continues requests whose client has disconnected.
    ClientGone,
    /// Tells endpoints a remaining time that is one second too long.
    ToldTime,
    /// Ends interrupted streams like complete ones.
    StreamEnd,
    /// Doesn't wait for streams received from another process at shutdown, nor pass them on.
    StreamCut,
    /// Closes connections at shutdown before their requests are answered.
    Unanswered,
    /// Exits with status 1 after a complete shutdown.
    Process,
}

/// Returns whether the environment selects this variant.
#[cfg(feature = "variants")]
pub fn is_enabled(variant: Variant) -> bool {
    static NAMED: std::sync::OnceLock<Option<String>> = std::sync::OnceLock::new();
    let named = NAMED.get_or_init(|| std::env::var("QUARTZHALL_VARIANT").ok());
    named.as_deref() == Some(format!("{variant:?}").as_str())
}

/// Returns false: this build has no variants.
#[cfg(not(feature = "variants"))]
pub const fn is_enabled(_: Variant) -> bool {
    false
}
