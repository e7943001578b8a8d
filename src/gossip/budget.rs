//! The budget of gossip bytes that this dispatcher may send. Pure: the gossip state owns the [`ByteBudget`].
//!
//! Each request that arrives adds a share of its value, converted to bytes at the configured price. Unspent bytes
//! accumulate up to a limit, so that a dispatcher without traffic can't send a burst later.

use super::message::{HEADER_BYTES, MAX_DATAGRAM_BYTES, RECORD_BYTES};

/// The share of a request's value that may be spent on gossip.
const REQUEST_VALUE_SHARE: f64 = 0.01;
/// The share of the budget that may be spent on loads. All dispatchers need to know of a failure, but a load soon
/// changes and the endpoint reports it to the dispatchers that use it.
const LOAD_SHARE: f64 = 0.2;
/// The limit of the accumulated budget, in requests' worth of bytes.
const MAX_SAVED_REQUESTS: f64 = 4.0;
/// The minimum price of a full message to one receiver, as a share of a request's value. It bounds the budget if the
/// settings have no price, or 0.
const MIN_PRICE: f64 = 1e-4;

/// A byte budget with a separate limit for loads.
pub(super) struct ByteBudget {
    /// The bytes that one request earns.
    earned_per_request: f64,
    /// The bytes that may be sent now.
    available: f64,
    /// The bytes that loads may use, within `available`. It may exceed `available` after failures were sent.
    available_for_loads: f64,
}

impl ByteBudget {
    /// Creates the budget that one request earns. `price` is the cost of a full message to one receiver, as a share of
    /// a request's value.
    pub(super) fn new(receivers: f64, price: f64) -> Self {
        let earned_per_request =
            REQUEST_VALUE_SHARE / price.max(MIN_PRICE) * MAX_DATAGRAM_BYTES as f64 / receivers;
        ByteBudget {
            earned_per_request,
            available: earned_per_request,
            available_for_loads: earned_per_request * LOAD_SHARE,
        }
    }

    /// Adds the budget that one request earns.
    pub(super) fn on_request(&mut self) {
        self.available = earn(self.available, self.earned_per_request);
        self.available_for_loads = earn(
            self.available_for_loads,
            self.earned_per_request * LOAD_SHARE,
        );
    }

    /// Returns how many records the next message may have.
    pub(super) fn max_records(&self) -> usize {
        affordable_records(self.available)
    }

    /// Returns how many load records the next message may have.
    pub(super) fn max_load_records(&self) -> usize {
        affordable_records(self.available_for_loads)
    }

    /// Subtracts a sent message of `message_bytes`, for which `load_records` load records were selected.
    pub(super) fn spend(&mut self, message_bytes: usize, load_records: usize) {
        self.available -= message_bytes as f64;
        if load_records > 0 {
            let load_bytes = HEADER_BYTES + load_records * RECORD_BYTES;
            self.available_for_loads = (self.available_for_loads - load_bytes as f64).max(0.0);
        }
    }
}

/// Adds `earned` to `available`, up to the limit. The limit always allows the shortest message.
fn earn(available: f64, earned: f64) -> f64 {
    let shortest_message = (HEADER_BYTES + RECORD_BYTES) as f64;
    (available + earned).min((MAX_SAVED_REQUESTS * earned).max(shortest_message))
}

fn affordable_records(bytes: f64) -> usize {
    ((bytes - HEADER_BYTES as f64) / RECORD_BYTES as f64).max(0.0) as usize
}
