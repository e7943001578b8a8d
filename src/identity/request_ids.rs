//! Generates the ids under which endpoints know the requests that have no client's `X-Trace-Id`.
//!
//! Endpoints keep the KV cache of a request by its id, also across connections and for requests of other dispatchers.
//! An id that is given out twice lets one request run with the KV cache of another.

use rand::RngCore;
use rand_chacha::ChaCha20Rng;
use std::sync::{Arc, Mutex, PoisonError};

/// The prefix of generated ids, by which they can be told from clients' own in logs.
const PREFIX: &str = "ws-";

/// A generator of request ids. Each id has 128 bits of a cryptographic generator, so that ids of different processes
/// differ, and none can be guessed from others. Clones share the sequence.
#[derive(Clone)]
pub struct RequestIdGenerator {
    rng: Arc<Mutex<ChaCha20Rng>>,
}

impl RequestIdGenerator {
    /// Creates the generator of a process from its source of random bits.
    pub(super) fn new(rng: ChaCha20Rng) -> RequestIdGenerator {
        RequestIdGenerator {
            rng: Arc::new(Mutex::new(rng)),
        }
    }

    /// Returns an id that was not returned before, by this process or by another.
    pub fn next_id(&self) -> String {
        let mut bytes = [0; 16];
        self.rng
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .fill_bytes(&mut bytes);
        format!("{PREFIX}{:032x}", u128::from_be_bytes(bytes))
    }
}
