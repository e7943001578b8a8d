//! Variants of the program that break one rule each, by which the soak shows that it finds what it is for.
//!
//! They exist only where the feature `variants` is built, which nothing that is deployed is; the environment's
//! `QUARTZHALL_VARIANT` then names one.

/// A rule that a variant breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// States are not released while an attempt is out.
    HeldState,
    /// Requests that are given up are not answered.
    FinalAnswer,
    /// What may have run is refused as if nothing had.
    Duplicate,
    /// Servers that drain are sent to.
    Drain,
    /// Requests whose client has left go on.
    ClientGone,
    /// Servers are told a second more than is left.
    ToldTime,
    /// Broken streams get a good end.
    StreamEnd,
    /// Streams received from another process are forgotten at the exit.
    StreamCut,
    /// Connections are closed at the shutdown although their requests have no answer.
    Unanswered,
    /// The process does not end as it should.
    Process,
}

/// Whether this program breaks that rule.
#[cfg(feature = "variants")]
pub fn is_enabled(variant: Variant) -> bool {
    static NAMED: std::sync::OnceLock<Option<String>> = std::sync::OnceLock::new();
    let named = NAMED.get_or_init(|| std::env::var("QUARTZHALL_VARIANT").ok());
    named.as_deref() == Some(format!("{variant:?}").as_str())
}

/// Whether this program breaks that rule: it breaks none.
#[cfg(not(feature = "variants"))]
pub const fn is_enabled(_: Variant) -> bool {
    false
}
