//! The limit on the memory for request bodies, shared by all frontends.
//!
//! Memory is reserved before a body is read or accepted, and stays reserved until the last clone of the body
//! is dropped.

use crate::net::adjustable_semaphore::{AdjustableSemaphore, Permit};
use bytes::Bytes;

/// The longest accepted body.
pub const MAX_BODY_BYTES: usize = 256 * 1024;

/// The smallest budget, which is enough for one body.
const MIN_BUDGET_KILOBYTES: usize = MAX_BODY_BYTES / 1024 + 1;

/// The memory budget for request bodies, in units of 1024 bytes. Clones share it.
#[derive(Clone)]
pub struct BodyMemoryBudget(AdjustableSemaphore);

/// Memory reserved for one body. It returns to the budget when this is dropped.
pub struct MemoryReservation {
    permit: Permit,
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

impl BodyMemoryBudget {
    /// Creates a budget of `budget_kilobytes`, but enough for at least one body.
    pub fn new(budget_kilobytes: usize) -> Self {
        BodyMemoryBudget(AdjustableSemaphore::new(
            budget_kilobytes.max(MIN_BUDGET_KILOBYTES),
        ))
    }

    /// Limits the budget to this process's share, in the units of [`AdjustableSemaphore::set_share`], but to enough for
    /// at least one body.
    pub fn set_share(&self, share_units: u32) {
        self.0.set_share(share_units, MIN_BUDGET_KILOBYTES);
    }

    /// Waits until memory for a body of this length is free, and reserves it. Always returns `Some`, because the budget
    /// is never closed.
    pub async fn reserve(&self, body_bytes: usize) -> Option<MemoryReservation> {
        let permit = self.0.acquire(kilobytes(body_bytes)).await?;
        Some(MemoryReservation { permit })
    }

    /// Reserves memory for a body of this length if it is free now.
    pub fn try_reserve(&self, body_bytes: usize) -> Option<MemoryReservation> {
        let permit = self.0.try_acquire(kilobytes(body_bytes))?;
        Some(MemoryReservation { permit })
    }
}

impl MemoryReservation {
    /// Ties the reservation to the body, and releases at once what the body does not need. The rest is released with
    /// the last clone of the body.
    pub fn attach(mut self, body: Bytes) -> Bytes {
        let needed = kilobytes(body.len()) as usize;
        let unneeded = self.permit.num_permits().saturating_sub(needed);
        drop(self.permit.split(unneeded));
        Bytes::from_owner(ReservedBody {
            body,
            _reservation: self,
        })
    }
}

#[cfg(test)]
#[path = "../../tests/unit/frontend/memory_budget.rs"]
mod tests;
