//! The kinds of router calls whose costs are measured separately.

/// A kind of router call, named after the event that is passed in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    /// A request has arrived; the router selects a prefill endpoint.
    Arrival,
    /// Prefill has completed; the router selects a decode endpoint.
    PrefillEnd,
    /// The first token of a response has arrived.
    FirstToken,
    /// An attempt has ended, other than by completing prefill.
    AttemptEnd,
    /// The router's timer has fired.
    Timer,
    /// A load report from another dispatcher has arrived.
    PeerReport,
    /// The response to a probe has arrived.
    ProbeResponse,
    /// A full endpoint list has arrived in which nothing has changed.
    FullList,
    /// A change of the status of one or two endpoints has arrived.
    EndpointChange,
    /// Settings have arrived, unchanged.
    SettingsChange,
    /// The first full endpoint list after the router's start has arrived.
    FirstList,
}

impl Step {
    /// Returns the step's name in the result files and in the tables of `docs/CAPACITY.md`.
    pub fn name(self) -> &'static str {
        match self {
            Step::Arrival => "arrival",
            Step::PrefillEnd => "read's end",
            Step::FirstToken => "first token",
            Step::AttemptEnd => "attempt's end",
            Step::Timer => "wake",
            Step::PeerReport => "report heard",
            Step::ProbeResponse => "probe's answer",
            Step::FullList => "whole list, unchanged",
            Step::EndpointChange => "change of one replica",
            Step::SettingsChange => "settings taken",
            Step::FirstList => "first list of a process",
        }
    }
}
