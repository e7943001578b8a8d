//! The memory that the bodies of requests may take, in all frontends together.

use crate::net::adjustable_semaphore::{AdjustableSemaphore, Permit};
use bytes::Bytes;

/// The longest body that is accepted.
pub const MAX_BODY_BYTES: usize = 256 * 1024;

/// Enough for one body, in kilobytes.
const MIN_BUDGET_KILOBYTES: usize = MAX_BODY_BYTES / 1024 + 1;

/// The budget, in kilobytes. Cheap to clone; clones share it.
#[derive(Clone)]
pub struct BodyMemoryBudget(AdjustableSemaphore);

/// Memory of the budget that is reserved for one body, and released when this is dropped.
pub struct MemoryReservation {
    permit: Permit,
}

/// A body and the memory that is reserved for it.
struct ReservedBody {
    body: Bytes,
    _reservation: MemoryReservation,
}

impl AsRef<[u8]> for ReservedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

fn kilobytes(bytes: usize) -> u32 {
    (bytes.min(MAX_BODY_BYTES) / 1024 + 1) as u32
}

impl BodyMemoryBudget {
    /// A budget of so many kilobytes, but enough for one body at least.
    pub fn new(budget_kilobytes: usize) -> Self {
        BodyMemoryBudget(AdjustableSemaphore::new(
            budget_kilobytes.max(MIN_BUDGET_KILOBYTES),
        ))
    }

    /// Limits the budget to this process's share, in the units of [`AdjustableSemaphore::set_share`], but to enough for one
    /// body at least.
    pub fn set_share(&self, share_units: u32) {
        self.0.set_share(share_units, MIN_BUDGET_KILOBYTES);
    }

    /// Waits until memory for a body of this length is free, and reserves it.
    pub async fn reserve(&self, body_bytes: usize) -> Option<MemoryReservation> {
        let permit = self.0.acquire(kilobytes(body_bytes)).await?;
        Some(MemoryReservation { permit })
    }

    /// Reserves memory for a body of this length if that is free now.
    pub fn try_reserve(&self, body_bytes: usize) -> Option<MemoryReservation> {
        let permit = self.0.try_acquire(kilobytes(body_bytes))?;
        Some(MemoryReservation { permit })
    }
}

impl MemoryReservation {
    /// Ties the reservation to the body, less what the body does not need: it is released with the last clone of the
    /// body.
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
