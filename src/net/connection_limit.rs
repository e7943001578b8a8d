//! ConnectionLimit of which there is a bounded number: connections, kilobytes. The number may change while they are taken.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The limits of a dispatcher are shared between its processes in such parts.
pub const SHARE_UNITS: u32 = 16;

/// ConnectionLimit that are taken: free again when they are let go.
pub type ConnectionPermit = OwnedSemaphorePermit;

struct Most {
    most: usize,
    owed: usize, // places over the number, to be taken away as they come free
}

/// ConnectionLimit. Cheap to clone; clones share them.
#[derive(Clone)]
pub struct ConnectionLimit {
    whole: usize,
    free: Arc<Semaphore>,
    most: Arc<Mutex<Most>>,
}

impl ConnectionLimit {
    /// So many, all of them free.
    pub fn new(whole: usize) -> ConnectionLimit {
        let most = Arc::new(Mutex::new(Most {
            most: whole,
            owed: 0,
        }));
        ConnectionLimit {
            whole,
            free: Arc::new(Semaphore::new(whole)),
            most,
        }
    }

    fn most(&self) -> MutexGuard<'_, Most> {
        self.most.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How many there are when this process has the limits for itself.
    pub fn capacity(&self) -> usize {
        self.whole
    }

    /// Waits for so many.
    pub async fn acquire(&self, count: u32) -> Option<ConnectionPermit> {
        self.free.clone().acquire_many_owned(count).await.ok()
    }

    /// So many, if they are free now.
    pub fn try_acquire(&self, count: u32) -> Option<ConnectionPermit> {
        self.free.clone().try_acquire_many_owned(count).ok()
    }

    /// How many are free.
    pub fn available(&self) -> usize {
        self.free.available_permits()
    }

    /// How many are taken.
    pub fn in_use(&self) -> usize {
        let most = self.most();
        (most.most + most.owed).saturating_sub(self.free.available_permits())
    }

    /// How many are taken beyond the number.
    pub fn over_limit(&self) -> usize {
        self.in_use().saturating_sub(self.most().most)
    }

    /// From now on there are so many of [`SHARE_UNITS`] parts, though not fewer than `least`. What is taken beyond
    /// goes as it comes free: call again, until nothing is [`ConnectionLimit::over`].
    pub fn set_share(&self, part: u32, least: usize) {
        let wanted = (self.whole * part.min(SHARE_UNITS) as usize / SHARE_UNITS as usize)
            .max(least)
            .min(self.whole);
        let mut most = self.most();
        let there = most.most + most.owed;
        if wanted >= there {
            self.free.add_permits(wanted - there);
            most.owed = 0;
        } else {
            most.owed = there - wanted;
            most.owed -= self.free.forget_permits(most.owed);
        }
        most.most = wanted;
    }
}

#[cfg(test)]
#[path = "../../tests/unit/net/connection_limit.rs"]
mod tests;
