//! The KV cache that endpoints may have reserved for one request, as far as this dispatcher can know, and when it must be
//! released.
//!
//! Nothing here distinguishes an attempt that has reached its endpoint from one that has not: bytes that a connection
//! accepted may lie at a machine on which nothing runs. So an attempt in flight stops no clock. Time counts from the last
//! response of an endpoint, and when it is up the endpoints are told to release, whatever is in flight: a running endpoint
//! keeps what an attempt waits for there, and one that receives the attempt later finds no KV cache and reports that.
//!
//! Each [`Reservation`] is owned by its request in the request table.

use super::reasons::{EndReason, ReleaseReason};
use crate::routing::api::{Role, Time};

/// A KV cache that may exist and that no attempt needs is released after this share (in tenths) of the allowed time ...
const UNCLAIMED_TENTHS: Time = 4;
/// ... and one that the router looks for a decode endpoint for, or that an attempt is in flight for, after this share.
const CLAIMED_TENTHS: Time = 9;

/// An endpoint sees the close of an abandoned attempt's connection within this time (microseconds). A release that another
/// endpoint has processed before has released nothing, because that attempt still waited.
pub(super) const MAX_CLOSE_DELAY: Time = 100_000;

/// Who may still use a request's KV cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReservationDemand {
    /// The request is closed or its stream has begun, and no attempt is in flight.
    NotNeeded,
    /// The request waits for its outcome, and no attempt is in flight.
    RequestWaiting,
    /// An attempt other than the client's stream is in flight.
    AttemptInFlight,
}

/// Whether endpoints are being told to release.
#[derive(Debug)]
enum ReleaseState {
    Idle {
        /// The next release does not start before this.
        not_before: Time,
    },
    InProgress {
        /// The release may have arrived before the close of an abandoned attempt.
        must_repeat: bool,
    },
}

impl Default for ReleaseState {
    fn default() -> Self {
        ReleaseState::Idle { not_before: 0 }
    }
}

/// What endpoints may have reserved for a request.
#[derive(Debug, Default)]
pub(super) struct Reservation {
    /// A prefill has succeeded and its KV cache waits: since the last response of an endpoint.
    confirmed_since: Option<Time>,
    /// A KV cache may wait that no response has confirmed: since then at the latest.
    suspected_since: Option<Time>,
    /// Endpoints were told to release while an attempt was in flight. An endpoint that had received it has kept the KV cache.
    released_during_attempt: bool,
    release: ReleaseState,
    /// When an attempt was last abandoned by closing its connection; cleared by the next release.
    abandoned_at: Option<Time>,
}

impl Reservation {
    /// Updates what may be reserved after an attempt at an endpoint of this role has ended.
    pub(super) fn on_attempt_ended(&mut self, now: Time, role: Option<Role>, reason: EndReason) {
        let was_released = std::mem::take(&mut self.released_during_attempt);
        let may_be_kept = was_released && role != Some(Role::Prefill);
        if reason.is_abandoned() {
            self.abandoned_at = Some(now);
        }
        if reason.is_response() {
            // A running endpoint had the attempt up to now: what is reserved has its whole time again.
            self.confirmed_since = self.confirmed_since.map(|_| now);
            self.suspected_since = self.suspected_since.map(|_| now);
        }
        match reason {
            EndReason::PrefillDone => self.confirmed_since = Some(now),
            EndReason::KvStateMissing => self.confirmed_since = None,
            _ if reason.never_arrived() => {}
            // A prefill may have succeeded at the moment its connection broke or was closed.
            _ if role != Some(Role::Decode) && reason.may_have_prefilled() => self.suspect(now),
            _ if may_be_kept => self.suspect(now),
            _ => {}
        }
    }

    fn suspect(&mut self, now: Time) {
        self.suspected_since.get_or_insert(now);
    }

    /// A stream has begun: its endpoint frees everything else that is reserved by itself.
    pub(super) fn on_stream_started(&mut self) {
        self.confirmed_since = None;
        self.suspected_since = None;
        self.released_during_attempt = false;
    }

    /// The router needs the KV cache no longer.
    pub(super) fn mark_unneeded(&mut self, now: Time) {
        let confirmed = self.confirmed_since.take();
        self.suspected_since = confirmed.or(self.suspected_since).or(Some(now));
    }

    /// Whether a KV cache may be reserved.
    pub(super) fn may_be_held(&self) -> bool {
        self.confirmed_since.is_some() || self.suspected_since.is_some()
    }

    /// Whether a release is in progress.
    pub(super) fn is_releasing(&self) -> bool {
        matches!(self.release, ReleaseState::InProgress { .. })
    }

    /// When endpoints must be told to release, as things stand.
    fn release_due_at(&self, ttl: Time, demand: ReservationDemand) -> Option<Time> {
        let delay = |tenths: Time| ttl * tenths / 10;
        let is_claimed =
            self.confirmed_since.is_some() || demand == ReservationDemand::AttemptInFlight;
        let suspected_tenths = if is_claimed {
            CLAIMED_TENTHS
        } else {
            UNCLAIMED_TENTHS
        };
        let confirmed_due = self
            .confirmed_since
            .map(|since| since.saturating_add(delay(CLAIMED_TENTHS)));
        let suspected_due = self
            .suspected_since
            .map(|since| since.saturating_add(delay(suspected_tenths)));
        confirmed_due.into_iter().chain(suspected_due).min()
    }

    /// Starts a release if one is due, and returns its reason. `ttl`: how long endpoints may hold a reservation
    /// (microseconds).
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

    /// The release in progress has completed. It is repeated where it may have arrived too early.
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
