//! Admission of requests while the process shuts down.
//!
//! The process may be killed a fixed time after its termination signal, and a stream that is still open then is cut. So a
//! request that arrives late in the shutdown is admitted only if another process can finish its stream. Every request
//! passes this check before its first attempt, so one that is not admitted has not run.

use crate::routing::api::Time;

/// The state of admission. Admits every request until [`DrainAdmission::start`].
#[derive(Default)]
pub(super) struct DrainAdmission {
    /// From when on requests are not admitted unless their streams can migrate; `None` before the shutdown.
    ends_at: Option<Time>,
    /// Whether another process of this dispatcher serves, to which streams migrate.
    has_stream_receiver: bool,
    has_reported_end: bool,
}

impl DrainAdmission {
    pub(super) fn start(&mut self, ends_at: Time) {
        self.ends_at = Some(ends_at);
    }

    pub(super) fn set_stream_receiver(&mut self, is_available: bool) {
        self.has_stream_receiver = is_available;
    }

    /// Returns whether a request that arrives now may be served. `stream_can_migrate` tells whether its client's
    /// connection can continue in another process.
    pub(super) fn admits(&self, now: Time, stream_can_migrate: bool) -> bool {
        !self.has_ended(now) || self.has_stream_receiver && stream_can_migrate
    }

    /// Returns true once, at the first call after the end of admission.
    pub(super) fn take_end(&mut self, now: Time) -> bool {
        let is_first = self.has_ended(now) && !self.has_reported_end;
        self.has_reported_end |= is_first;
        is_first
    }

    fn has_ended(&self, now: Time) -> bool {
        self.ends_at.is_some_and(|ends_at| now >= ends_at)
    }
}
