//! What servers may hold for one request, as far as this dispatcher can know, and when they have to release it.
//!
//! Nothing here tells a send that has arrived from one that has not: bytes that a connection took may lie at a machine on
//! which nothing runs. So an attempt that is out stops no clock. Time counts from the last answer of a server, and when it is
//! up servers are told to release, whatever is out: a running server keeps what an attempt waits for there, and one that
//! takes the send later finds no state and says so.

use super::reasons::{EndReason, ReleaseReason};
use crate::routing::api::{Role, Time};

/// What may be left without anybody asking for it is released after this part (in tenths) of the time allowed ...
const UNCLAIMED_TENTHS: Time = 4;
/// ... and what the decision module looks for a writer for, or an attempt is out for, after this part.
const CLAIMED_TENTHS: Time = 9;

/// A server sees the close of an attempt that was given up within this. A release that another one has read before has let
/// go of nothing, for that attempt still waited.
pub(super) const CLOSE_ARRIVES: Time = 100_000;

/// What servers hold for a request.
#[derive(Debug, Default)]
pub(super) struct Reservation {
    /// A read has ended well, and its state waits: since the last answer of a server.
    known: Option<Time>,
    /// Something may wait of which no answer has told, since then at the latest.
    possible: Option<Time>,
    /// Servers were told to release while an attempt was out. One that had taken it has kept the state.
    released_under_attempt: bool,
    /// A release is under way.
    releasing: bool,
    /// An attempt was given up at this moment, by closing its connection.
    given_up_at: Option<Time>,
    /// The release that is under way may have come before the close of an attempt that was given up.
    repeats: bool,
    /// The next release does not start before this.
    not_before: Time,
}

impl Reservation {
    /// An attempt at a server of this role has ended.
    pub fn attempt_ended(&mut self, now: Time, role: Option<Role>, reason: EndReason) {
        let may_keep =
            std::mem::take(&mut self.released_under_attempt) && role != Some(Role::Prefill);
        if reason.is_given_up() {
            self.given_up_at = Some(now);
        }
        if reason.is_answer() {
            // A running server had the attempt up to now: what is held has its whole time again.
            self.known = self.known.map(|_| now);
            self.possible = self.possible.map(|_| now);
        }
        match reason {
            EndReason::PrefillDone => self.known = Some(now),
            EndReason::KvStateMissing => self.known = None,
            _ if reason.never_arrived() => {}
            // A read may have ended well at the moment its connection broke or was closed.
            _ if role != Some(Role::Decode) && reason.may_have_read() => self.may_hold(now),
            _ if may_keep => self.may_hold(now),
            _ => {}
        }
    }

    fn may_hold(&mut self, now: Time) {
        self.possible.get_or_insert(now);
    }

    /// A stream has begun: with it all else that servers hold goes by itself.
    pub fn stream_began(&mut self) {
        (self.known, self.possible, self.released_under_attempt) = (None, None, false);
    }

    /// The decision module needs nothing of it any more.
    pub fn give_up(&mut self, now: Time) {
        self.possible = self.known.take().or(self.possible).or(Some(now));
    }

    /// Whether something may be held.
    pub fn may_be_held(&self) -> bool {
        self.known.is_some() || self.possible.is_some()
    }

    /// Whether a release is under way.
    pub fn is_releasing(&self) -> bool {
        self.releasing
    }

    /// When servers are to be told to release, as it stands.
    fn due_at(&self, release_within: Time, attempt_out: bool) -> Option<Time> {
        let after = |tenths: Time| release_within * tenths / 10;
        let is_claimed = self.known.is_some() || attempt_out;
        let of_possible = after(if is_claimed {
            CLAIMED_TENTHS
        } else {
            UNCLAIMED_TENTHS
        });
        let known = self
            .known
            .map(|since| since.saturating_add(after(CLAIMED_TENTHS)));
        let possible = self.possible.map(|since| since.saturating_add(of_possible));
        known.into_iter().chain(possible).min()
    }

    /// Why servers are to be told to release now, if they are; that is under way from here on. `is_needed`: the request
    /// may still be served with what is held.
    pub fn start_release(
        &mut self,
        now: Time,
        release_within: Time,
        is_needed: bool,
        attempt_out: bool,
    ) -> Option<ReleaseReason> {
        let is_free = !self.releasing && now >= self.not_before;
        let due_at = self
            .due_at(release_within, attempt_out)
            .filter(|_| is_free)?;
        let reason = match (is_needed || attempt_out, attempt_out) {
            (false, _) => ReleaseReason::NoLongerNeeded,
            (true, _) if now < due_at => return None,
            (true, false) => ReleaseReason::Expired,
            (true, true) => ReleaseReason::AttemptUnconfirmed,
        };
        (self.known, self.possible) = (None, None);
        (self.releasing, self.released_under_attempt) = (true, attempt_out);
        let is_fresh = |at: Time| now < at.saturating_add(CLOSE_ARRIVES);
        self.repeats = self.given_up_at.take().is_some_and(is_fresh);
        Some(reason)
    }

    /// The release that was under way is over. It is repeated where it may have come too early.
    pub fn release_ended(&mut self, now: Time) {
        self.releasing = false;
        if std::mem::take(&mut self.repeats) {
            self.may_hold(now);
            self.not_before = now.saturating_add(CLOSE_ARRIVES);
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/dispatcher/reservation.rs"]
mod tests;
