//! Counted resources with a limit that may change while they are in use: connections, kilobytes of memory.
//!
//! The owner of a resource holds a [`AdjustableSemaphore`]; whoever uses the resource holds a [`Permit`].

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The limits of a dispatcher are divided among its processes in so many units.
pub const SHARE_UNITS: u32 = 16;

/// More permits than this are never in use beyond a limit.
const MAX_EXCESS_PERMITS: usize = 1 << 20;

/// The right to use what was acquired of a [`AdjustableSemaphore`]. Dropping it makes that available again.
pub type Permit = OwnedSemaphorePermit;

struct LimitState {
    limit: usize,
    /// Permits in use beyond the limit, which are still to be removed as they become available.
    excess_permits: usize,
}

/// A number of permits that changes with the process's share of it. Clones share the same permits.
#[derive(Clone)]
pub struct AdjustableSemaphore {
    capacity: usize,
    permits: Arc<Semaphore>,
    /// The permits for use beyond the limit; all of them are available while nothing is.
    excess: Arc<Semaphore>,
    state: Arc<Mutex<LimitState>>,
}

impl AdjustableSemaphore {
    /// A limit of `capacity` permits, all of them available.
    pub fn new(capacity: usize) -> AdjustableSemaphore {
        let state = LimitState {
            limit: capacity,
            excess_permits: 0,
        };
        AdjustableSemaphore {
            capacity,
            permits: Arc::new(Semaphore::new(capacity)),
            excess: Arc::new(Semaphore::new(MAX_EXCESS_PERMITS)),
            state: Arc::new(Mutex::new(state)),
        }
    }

    fn state(&self) -> MutexGuard<'_, LimitState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The limit of a process that has all units.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Waits for `count` permits, which are released together.
    pub async fn acquire(&self, count: u32) -> Option<Permit> {
        self.permits.clone().acquire_many_owned(count).await.ok()
    }

    /// Acquires `count` permits, if they are available now.
    pub fn try_acquire(&self, count: u32) -> Option<Permit> {
        self.permits.clone().try_acquire_many_owned(count).ok()
    }

    /// Acquires a permit for a resource that is in use already, whatever the limit. It counts as one in use; `None` only
    /// where far more than any limit are.
    pub fn acquire_beyond_limit(&self) -> Option<Permit> {
        self.try_acquire(1)
            .or_else(|| self.excess.clone().try_acquire_owned().ok())
    }

    /// The number of permits that are available.
    pub fn available(&self) -> usize {
        self.permits.available_permits()
    }

    /// The number of permits in use.
    pub fn in_use(&self) -> usize {
        let state = self.state();
        let total_permits = state.limit + state.excess_permits;
        let beyond_limit = MAX_EXCESS_PERMITS - self.excess.available_permits();
        total_permits.saturating_sub(self.permits.available_permits()) + beyond_limit
    }

    /// The number of permits in use beyond the limit.
    pub fn over_limit(&self) -> usize {
        self.in_use().saturating_sub(self.state().limit)
    }

    /// Sets the limit to `share_units` of [`SHARE_UNITS`], and at least to `min_limit`. Permits in use beyond it are
    /// removed as they become available: call again until [`AdjustableSemaphore::over_limit`] is zero.
    pub fn set_share(&self, share_units: u32, min_limit: usize) {
        let share_units = share_units.min(SHARE_UNITS) as usize;
        let new_limit = (self.capacity * share_units / SHARE_UNITS as usize)
            .max(min_limit)
            .min(self.capacity);
        let mut state = self.state();
        let total_permits = state.limit + state.excess_permits;
        if new_limit >= total_permits {
            self.permits.add_permits(new_limit - total_permits);
            state.excess_permits = 0;
        } else {
            let excess_permits = total_permits - new_limit;
            state.excess_permits = excess_permits - self.permits.forget_permits(excess_permits);
        }
        state.limit = new_limit;
    }
}

#[cfg(test)]
#[path = "../../tests/unit/net/adjustable_semaphore.rs"]
mod tests;
