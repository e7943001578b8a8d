//! How many bytes of gossip this dispatcher may send. Pure: [`ByteBudget`] belongs to the gossip state.
//!
//! Each request of this dispatcher earns a share of its own value, in bytes at the price that the settings name. Unspent
//! bytes are saved up to a bound, so that a quiet dispatcher sends no burst later.

use super::message::{HEADER_BYTES, MAX_DATAGRAM_BYTES, RECORD_BYTES};

/// The share of a request's value that may be spent on gossip.
const REQUEST_VALUE_SHARE: f64 = 0.01;
/// The share of the budget that may be spent on loads. Every dispatcher needs to know of a failure; a load changes soon,
/// and whoever needs it gets it from the endpoint itself.
const LOAD_SHARE: f64 = 0.2;
/// The budget of this many requests is saved at most.
const MAX_SAVED_REQUESTS: f64 = 4.0;
/// The price of a full message to one receiver, as a share of a request's value, where the settings name
/// none.
const MIN_PRICE: f64 = 1e-4;

/// The bytes that may be sent.
pub(super) struct ByteBudget {
    earned_per_request: f64,
    available: f64,
    /// The part of `available` that loads may use; it may exceed it.
    available_for_loads: f64,
}

impl ByteBudget {
    /// The budget of one request, where a full message costs `price` for each of the receivers.
    pub(super) fn new(receivers: f64, price: f64) -> Self {
        let earned_per_request =
            REQUEST_VALUE_SHARE / price.max(MIN_PRICE) * MAX_DATAGRAM_BYTES as f64 / receivers;
        ByteBudget {
            earned_per_request,
            available: earned_per_request,
            available_for_loads: earned_per_request * LOAD_SHARE,
        }
    }

    /// A request has arrived.
    pub(super) fn on_request(&mut self) {
        self.available = earn(self.available, self.earned_per_request);
        self.available_for_loads = earn(
            self.available_for_loads,
            self.earned_per_request * LOAD_SHARE,
        );
    }

    /// How many records a message may have.
    pub(super) fn max_records(&self) -> usize {
        affordable_records(self.available)
    }

    /// How many records of loads a message may have.
    pub(super) fn max_load_records(&self) -> usize {
        affordable_records(self.available_for_loads)
    }

    /// A message has been sent, for which so many records of loads had been selected.
    pub(super) fn spend(&mut self, message_bytes: usize, load_records: usize) {
        self.available -= message_bytes as f64;
        if load_records > 0 {
            let load_bytes = HEADER_BYTES + load_records * RECORD_BYTES;
            self.available_for_loads = (self.available_for_loads - load_bytes as f64).max(0.0);
        }
    }
}

/// At least the shortest message can be saved up.
fn earn(available: f64, earned: f64) -> f64 {
    let shortest_message = (HEADER_BYTES + RECORD_BYTES) as f64;
    (available + earned).min((MAX_SAVED_REQUESTS * earned).max(shortest_message))
}

fn affordable_records(bytes: f64) -> usize {
    ((bytes - HEADER_BYTES as f64) / RECORD_BYTES as f64).max(0.0) as usize
}
