//! A semaphore whose limit can change while permits are in use. It counts connections or kilobytes of memory, whose
//! users hold a [`Permit`].
//!
//! While two processes run during an upgrade, they divide the dispatcher's limits. Each process sets its share with
//! [`AdjustableSemaphore::set_share`].

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The number of units into which a dispatcher's limits are divided among its processes.
pub const SHARE_UNITS: u32 = 16;

/// The maximum number of permits in use beyond a limit, far above any limit.
const MAX_EXCESS_PERMITS: usize = 1 << 20;

/// The permits from one call of an [`AdjustableSemaphore`]. Dropping it returns them.
pub type Permit = OwnedSemaphorePermit;

struct LimitState {
    limit: usize,
    /// The permits in use that exceed a lowered limit. They are removed as they become available.
    excess_permits: usize,
}

/// A semaphore whose limit is this process's share of a capacity. Clones share the permits.
#[derive(Clone)]
pub struct AdjustableSemaphore {
    capacity: usize,
    permits: Arc<Semaphore>,
    /// The permits of [`acquire_beyond_limit`](Self::acquire_beyond_limit).
    excess: Arc<Semaphore>,
    state: Arc<Mutex<LimitState>>,
}

impl AdjustableSemaphore {
    /// Creates a semaphore with `capacity` permits, all of them available.
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

    /// Returns the limit of a process whose share is all units.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Waits for `count` permits, which are released together. Always returns `Some`, because the semaphore is never
    /// closed.
    pub async fn acquire(&self, count: u32) -> Option<Permit> {
        self.permits.clone().acquire_many_owned(count).await.ok()
    }

    /// Acquires `count` permits if they are available now.
    pub fn try_acquire(&self, count: u32) -> Option<Permit> {
        self.permits.clone().try_acquire_many_owned(count).ok()
    }

    /// Acquires a permit regardless of the limit, for a resource that is already in use. The permit counts as in use.
    /// `None` only if 2^20 permits are in use beyond the limit.
    pub fn acquire_beyond_limit(&self) -> Option<Permit> {
        self.try_acquire(1)
            .or_else(|| self.excess.clone().try_acquire_owned().ok())
    }

    /// Returns the number of available permits.
    pub fn available(&self) -> usize {
        self.permits.available_permits()
    }

    /// Returns the number of permits in use, including those beyond the limit.
    pub fn in_use(&self) -> usize {
        let state = self.state();
        let total_permits = state.limit + state.excess_permits;
        let beyond_limit = MAX_EXCESS_PERMITS - self.excess.available_permits();
        total_permits.saturating_sub(self.permits.available_permits()) + beyond_limit
    }

    /// Returns the number of permits in use beyond the limit.
    pub fn over_limit(&self) -> usize {
        self.in_use().saturating_sub(self.state().limit)
    }

    /// Sets the limit to `share_units` of [`SHARE_UNITS`] of the capacity, but to at least `min_limit`. Permits in use
    /// beyond the new limit are removed as they become available, by further calls: repeat the call until
    /// [`AdjustableSemaphore::over_limit`] returns 0.
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
