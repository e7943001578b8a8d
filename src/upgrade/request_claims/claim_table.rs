//! Decides from the records of the claims file which process owns a request. The module does no I/O and reads no clock.
//!
//! All processes apply the same records in the same order, so all come to the same owner.

use super::record::{ClaimEnd, ClaimId, Record, RequestKey};
use std::collections::{HashMap, HashSet};

/// The progress of a claimed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClaimState {
    /// The owner has not recorded an end.
    InFlight,
    Served,
    MayHaveRun,
}

/// A request that a process owns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct OwnedRequest {
    pub claim: ClaimId,
    pub state: ClaimState,
}

/// What the records of one generation of the file say.
#[derive(Default)]
struct Generation {
    requests: HashMap<RequestKey, OwnedRequest>,
    /// The start times of the processes that have recorded themselves.
    processes: HashSet<u64>,
}

/// The owners of the requests in the two newest generations of the file.
#[derive(Default)]
pub(super) struct ClaimTable {
    current: Generation,
    previous: Generation,
}

impl ClaimTable {
    /// Returns the owner of a request; `None` if any process may claim it.
    pub(super) fn get(&self, key: RequestKey) -> Option<OwnedRequest> {
        let current = self.current.requests.get(&key);
        current
            .or_else(|| self.previous.requests.get(&key))
            .copied()
    }

    /// Returns whether the process with this start time (Unix microseconds) records its claims.
    pub(super) fn records_claims(&self, process: u64) -> bool {
        self.current.processes.contains(&process) || self.previous.processes.contains(&process)
    }

    /// Forgets the records before those of the current generation, and begins a new one.
    pub(super) fn start_generation(&mut self) {
        self.previous = std::mem::take(&mut self.current);
    }

    /// Applies the next record of the file.
    pub(super) fn apply(&mut self, record: Record) {
        match record {
            Record::ProcessStarted { owner } => {
                self.current.processes.insert(owner);
            }
            Record::Claimed {
                key,
                claim,
                replaced_owner,
            } => {
                let is_void = self.get(key).is_some_and(|request| {
                    let owner = request.claim.owner;
                    owner != claim.owner && owner != replaced_owner
                });
                if !is_void {
                    let state = ClaimState::InFlight;
                    self.set(key, OwnedRequest { claim, state });
                }
            }
            Record::Ended { key, claim, end } => {
                // An earlier claim of the same request no longer counts.
                if self.get(key).is_some_and(|request| request.claim == claim) {
                    self.end(key, claim, end);
                }
            }
        }
    }

    fn end(&mut self, key: RequestKey, claim: ClaimId, end: ClaimEnd) {
        let state = match end {
            ClaimEnd::Released => {
                self.current.requests.remove(&key);
                self.previous.requests.remove(&key);
                return;
            }
            ClaimEnd::Served => ClaimState::Served,
            ClaimEnd::MayHaveRun => ClaimState::MayHaveRun,
        };
        self.set(key, OwnedRequest { claim, state });
    }

    fn set(&mut self, key: RequestKey, request: OwnedRequest) {
        self.previous.requests.remove(&key);
        self.current.requests.insert(key, request);
    }
}
