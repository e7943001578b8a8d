//! The limit on the memory that is held for all clients together: heads, bodies and answers that are not read yet.
//!
//! Each HTTP connection has a part of its own ([`CONNECTION_BYTES`]), so that a client with small requests never waits
//! for others. What needs more is reserved from the budget that all frontends share: the rest of larger bodies, the
//! requests of sessions, and what is buffered for a migration. Requests of sessions get up to three quarters of it.

use crate::dispatcher::MAX_UNREAD_BYTES;
use crate::net::adjustable_semaphore::{AdjustableSemaphore, Permit};
use bytes::Bytes;

/// The longest accepted body.
pub const MAX_BODY_BYTES: usize = 256 * 1024;

/// The part of a body that is held in the memory of its connection.
pub const CONNECTION_BODY_BYTES: usize = 16 * 1024;

/// The most bytes of a request's head, and of what is read ahead of the next request.
pub(super) const HEAD_BYTES: usize = 16 * 1024;

/// The memory of each HTTP connection: a head, the beginning of a body, and the part of an answer that its client has
/// not read.
pub const CONNECTION_BYTES: usize = HEAD_BYTES + CONNECTION_BODY_BYTES + MAX_UNREAD_BYTES;

/// The memory of each request of a session besides its body: the part of its answer that its client has not read, the
/// same part as messages, and the text that is kept to be sent again.
const SESSION_REQUEST_BYTES: usize = 2 * MAX_UNREAD_BYTES + 16 * 1024;

/// The smallest budget, which is enough for one body.
const MIN_BUDGET_KILOBYTES: usize = MAX_BODY_BYTES / 1024 + 1;
/// The smallest budget of all sessions, which is enough for one request with the longest body.
const MIN_SESSION_BUDGET_KILOBYTES: usize = MIN_BUDGET_KILOBYTES + SESSION_REQUEST_BYTES / 1024;

/// The shared memory budget, in units of 1024 bytes. Clones share it.
#[derive(Clone)]
pub struct ClientMemoryBudget {
    shared: AdjustableSemaphore,
    /// The part of `shared` that sessions may use.
    sessions: AdjustableSemaphore,
}

/// Memory reserved from the shared budget. It returns there when this is dropped.
#[derive(Default)]
pub struct MemoryReservation {
    /// `None`: nothing is reserved.
    permit: Option<Permit>,
    /// The same amount of the sessions' part, if it is for a session.
    session_permit: Option<Permit>,
}

/// A body with the reservation of its memory.
struct ReservedBody {
    body: Bytes,
    _reservation: MemoryReservation,
}

impl AsRef<[u8]> for ReservedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

/// Returns the units reserved for a body of this length: at least 1, and at most those of the longest accepted body.
fn kilobytes(bytes: usize) -> u32 {
    (bytes.min(MAX_BODY_BYTES) / 1024 + 1) as u32
}

impl ClientMemoryBudget {
    /// Creates a budget of `budget_kilobytes`, but enough for at least one body.
    pub fn new(budget_kilobytes: usize) -> Self {
        let budget_kilobytes = budget_kilobytes.max(MIN_BUDGET_KILOBYTES);
        let session_kilobytes = (budget_kilobytes * 3 / 4).max(MIN_SESSION_BUDGET_KILOBYTES);
        ClientMemoryBudget {
            shared: AdjustableSemaphore::new(budget_kilobytes),
            sessions: AdjustableSemaphore::new(session_kilobytes),
        }
    }

    /// Limits the budget to this process's share, in the units of [`AdjustableSemaphore::set_share`], but to enough for
    /// at least one body.
    pub fn set_share(&self, share_units: u32) {
        self.shared.set_share(share_units, MIN_BUDGET_KILOBYTES);
        self.sessions
            .set_share(share_units, MIN_SESSION_BUDGET_KILOBYTES);
    }

    /// Returns the size of the budget of a process that is alone, in kilobytes.
    pub fn capacity_kilobytes(&self) -> usize {
        self.shared.capacity()
    }

    /// Waits until memory is free, and adds as much to the reservation as a body of this length needs beyond what its
    /// connection holds.
    pub(super) async fn reserve_for_body(
        &self,
        reservation: &mut MemoryReservation,
        body_bytes: usize,
    ) {
        let needed = body_bytes
            .saturating_sub(CONNECTION_BODY_BYTES)
            .div_ceil(1024);
        let missing = needed.saturating_sub(reservation.kilobytes());
        if missing == 0 {
            return;
        }
        // Always `Some`, because the budget is never closed.
        if let Some(permit) = self.shared.acquire(missing as u32).await {
            reservation.add(permit);
        }
    }

    /// Reserves memory for a body of this length if it is free now.
    pub fn try_reserve(&self, body_bytes: usize) -> Option<MemoryReservation> {
        let permit = self.shared.try_acquire(kilobytes(body_bytes))?;
        Some(MemoryReservation {
            permit: Some(permit),
            session_permit: None,
        })
    }

    /// Reserves memory for what is buffered of an answer until its stream has migrated, if it is free now.
    pub(super) fn try_reserve_for_migration(&self, bytes: usize) -> Option<MemoryReservation> {
        self.try_reserve(bytes)
    }

    /// Reserves memory for a session's body of this length if it is free now.
    pub(super) fn try_reserve_session_body(&self, body_bytes: usize) -> Option<MemoryReservation> {
        self.try_reserve_for_session(kilobytes(body_bytes))
    }

    /// Reserves memory for the answer to a session's request if it is free now.
    pub(super) fn try_reserve_session_answer(&self) -> Option<MemoryReservation> {
        self.try_reserve_for_session((SESSION_REQUEST_BYTES / 1024) as u32)
    }

    fn try_reserve_for_session(&self, kilobytes: u32) -> Option<MemoryReservation> {
        let session_permit = self.sessions.try_acquire(kilobytes)?;
        let permit = self.shared.try_acquire(kilobytes)?;
        Some(MemoryReservation {
            permit: Some(permit),
            session_permit: Some(session_permit),
        })
    }
}

impl MemoryReservation {
    fn kilobytes(&self) -> usize {
        self.permit.as_ref().map_or(0, Permit::num_permits)
    }

    fn add(&mut self, permit: Permit) {
        match &mut self.permit {
            Some(reserved) => reserved.merge(permit),
            None => self.permit = Some(permit),
        }
    }

    /// Ties the reservation to the body, and releases at once what the body does not need. The rest is released with
    /// the last clone of the body.
    pub fn attach(mut self, body: Bytes) -> Bytes {
        let needed = kilobytes(body.len()) as usize;
        let permits = [&mut self.permit, &mut self.session_permit];
        for permit in permits.into_iter().flatten() {
            let unneeded = permit.num_permits().saturating_sub(needed);
            drop(permit.split(unneeded));
        }
        Bytes::from_owner(ReservedBody {
            body,
            _reservation: self,
        })
    }
}

#[cfg(test)]
#[path = "../../tests/unit/frontend/memory_budget.rs"]
mod tests;
