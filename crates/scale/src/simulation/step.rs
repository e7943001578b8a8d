//! The kinds of router calls whose cost is measured.

/// A kind of call of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    /// A request arrives and is sent to a prefill replica.
    Arrival,
    /// Prefill has ended and the request is sent to a decode replica.
    PrefillEnd,
    /// The first token has come.
    FirstToken,
    /// An attempt has ended in any other way.
    AttemptEnd,
    /// A timer has fired.
    Timer,
    /// Another dispatcher's load report.
    PeerReport,
    /// A probe's response.
    ProbeResponse,
    /// The full endpoint list, unchanged.
    FullList,
    /// The change of one endpoint.
    EndpointChange,
    /// New settings.
    SettingsChange,
    /// The first full list of a new process.
    FirstList,
}

impl Step {
    /// Its name in the committed results, which the tables of `docs/CAPACITY.md` print.
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
