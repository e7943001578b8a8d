//! Tracks the KV cache that endpoints may have reserved for one request, and decides when it must be released.
//!
//! The dispatcher can't tell whether an attempt in flight has reached its endpoint. A connection may accept bytes for a
//! machine on which nothing runs any more. An attempt in flight therefore doesn't extend the time to a release, which counts
//! from the last response of an endpoint. When the time has passed, endpoints are told to release, whatever is in flight. A
//! running endpoint keeps the KV cache that an attempt waits for there. An endpoint that receives the attempt later finds no
//! KV cache and reports that. Each [`Reservation`] is owned by its request in the request table.

use super::reasons::{EndReason, ReleaseReason};
use crate::routing::api::{Role, Time};

/// Tenths of the reservation TTL after which a KV cache is released that may exist and that no attempt needs.
const UNCLAIMED_TTL_TENTHS: Time = 4;
/// Tenths of the reservation TTL after which a KV cache is released that is still in demand. It waits for a decode endpoint,
/// or an attempt in flight may need it.
const CLAIMED_TTL_TENTHS: Time = 9;

/// Maximum time until an endpoint sees that the connection of an abandoned attempt was closed (microseconds). A release that
/// another endpoint processes before that has no effect, because the attempt still waits for the KV cache.
pub(super) const MAX_CLOSE_DELAY: Time = 100_000;

/// The remaining need for a request's KV cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReservationDemand {
    /// The stream has begun, or the request is closed and no attempt is in flight.
    NotNeeded,
    /// The request has no outcome yet, and no attempt is in flight.
    RequestWaiting,
    /// An attempt is in flight, and no stream has gone to the client.
    AttemptInFlight,
}

/// Whether a release is in progress.
#[derive(Debug)]
enum ReleaseState {
    Idle {
        /// Earliest time at which the next release may start.
        not_before: Time,
    },
    InProgress {
        /// The release may be processed before the close of an abandoned attempt's connection.
        must_repeat: bool,
    },
}

impl Default for ReleaseState {
    fn default() -> Self {
        ReleaseState::Idle { not_before: 0 }
    }
}

/// The KV cache that endpoints may have reserved for a request. All times are in microseconds.
#[derive(Debug, Default)]
pub(super) struct Reservation {
    /// Set while the KV cache of a successful prefill is reserved: the time of the last response of an endpoint.
    confirmed_since: Option<Time>,
    /// Set while a KV cache may be reserved that no response has confirmed. The time is that of the first suspicion, or of
    /// the last response of an endpoint since then.
    suspected_since: Option<Time>,
    /// The last release was sent while an attempt was in flight. An endpoint that had received the attempt has kept the KV
    /// cache.
    released_during_attempt: bool,
    release: ReleaseState,
    /// When an attempt was last abandoned by closing its connection; cleared when a release starts.
    abandoned_at: Option<Time>,
}

impl Reservation {
    /// Updates the reservation after an attempt has ended. `role` is that of the attempt's endpoint; `None` if the endpoint is
    /// not in the table.
    pub(super) fn on_attempt_ended(&mut self, now: Time, role: Option<Role>, reason: EndReason) {
        let was_released = std::mem::take(&mut self.released_during_attempt);
        let may_be_kept = was_released && role != Some(Role::Prefill);
        if reason.is_abandoned() {
            self.abandoned_at = Some(now);
        }
        if reason.is_response() {
            // A running endpoint was handling the attempt until now, so the TTL starts again.
            self.confirmed_since = self.confirmed_since.map(|_| now);
            self.suspected_since = self.suspected_since.map(|_| now);
        }
        match reason {
            EndReason::PrefillDone => self.confirmed_since = Some(now),
            EndReason::KvStateMissing => self.confirmed_since = None,
            _ if reason.never_arrived() => {}
            // The prefill may have completed just when its connection broke or was closed.
            _ if role != Some(Role::Decode) && reason.may_have_prefilled() => self.suspect(now),
            _ if may_be_kept => self.suspect(now),
            _ => {}
        }
    }

    /// Records that a KV cache may be reserved, from now on at the latest.
    fn suspect(&mut self, now: Time) {
        self.suspected_since.get_or_insert(now);
    }

    /// Clears the reservation when a stream begins: its endpoint itself frees whatever else is reserved for the request.
    pub(super) fn on_stream_started(&mut self) {
        self.confirmed_since = None;
        self.suspected_since = None;
        self.released_during_attempt = false;
    }

    /// Records that the router no longer needs the KV cache. A confirmed KV cache then counts as an unconfirmed one, which may
    /// be released sooner. If none is known, one is assumed to be reserved.
    pub(super) fn mark_unneeded(&mut self, now: Time) {
        let confirmed = self.confirmed_since.take();
        self.suspected_since = confirmed.or(self.suspected_since).or(Some(now));
    }

    /// Returns whether a KV cache may be reserved.
    pub(super) fn may_be_held(&self) -> bool {
        self.confirmed_since.is_some() || self.suspected_since.is_some()
    }

    /// Returns whether a release is in progress.
    pub(super) fn is_releasing(&self) -> bool {
        matches!(self.release, ReleaseState::InProgress { .. })
    }

    /// Returns when endpoints must be told to release; `None` if nothing may be reserved. `ttl` is how long endpoints may
    /// hold a reservation (microseconds).
    fn release_due_at(&self, ttl: Time, demand: ReservationDemand) -> Option<Time> {
        let delay = |tenths: Time| ttl * tenths / 10;
        let is_claimed =
            self.confirmed_since.is_some() || demand == ReservationDemand::AttemptInFlight;
        let suspected_tenths = if is_claimed {
            CLAIMED_TTL_TENTHS
        } else {
            UNCLAIMED_TTL_TENTHS
        };
        let confirmed_due = self
            .confirmed_since
            .map(|since| since.saturating_add(delay(CLAIMED_TTL_TENTHS)));
        let suspected_due = self
            .suspected_since
            .map(|since| since.saturating_add(delay(suspected_tenths)));
        confirmed_due.into_iter().chain(suspected_due).min()
    }

    /// Starts a release if one is due, and returns its reason. A KV cache that is not needed is due at once. `ttl` is how long
    /// endpoints may hold a reservation (microseconds).
    pub(super) fn start_release(
        &mut self,
        now: Time,
        ttl: Time,
        demand: ReservationDemand,
    ) -> Option<ReleaseReason> {
        match self.release {
            ReleaseState::Idle { not_before } if now >= not_before => {}
            _ => return None,
        }
        let due_at = self.release_due_at(ttl, demand)?;
        if demand != ReservationDemand::NotNeeded && now < due_at {
            return None;
        }
        self.confirmed_since = None;
        self.suspected_since = None;
        self.released_during_attempt = demand == ReservationDemand::AttemptInFlight;
        let was_abandoned_recently = self
            .abandoned_at
            .take()
            .is_some_and(|abandoned_at| now < abandoned_at.saturating_add(MAX_CLOSE_DELAY));
        self.release = ReleaseState::InProgress {
            must_repeat: was_abandoned_recently,
        };
        Some(match demand {
            ReservationDemand::NotNeeded => ReleaseReason::NoLongerNeeded,
            ReservationDemand::RequestWaiting => ReleaseReason::Expired,
            ReservationDemand::AttemptInFlight => ReleaseReason::AttemptUnconfirmed,
        })
    }

    /// Ends the release in progress, whether it was confirmed or not. The release is repeated after [`MAX_CLOSE_DELAY`] if
    /// an attempt had been abandoned shortly before it. The endpoint of that attempt may not have seen the close, and may
    /// have kept the KV cache.
    pub(super) fn on_release_completed(&mut self, now: Time) {
        let ReleaseState::InProgress { must_repeat } = self.release else {
            return;
        };
        let mut not_before = 0;
        if must_repeat {
            self.suspect(now);
            not_before = now.saturating_add(MAX_CLOSE_DELAY);
        }
        self.release = ReleaseState::Idle { not_before };
    }
}

#[cfg(test)]
#[path = "../../tests/unit/dispatcher/reservation.rs"]
mod tests;
