//! The identity of this process: the source of all names that it gives out, and of all its random choices.
//!
//! Endpoints, discovery and other processes see the names and random choices of many processes: of a predecessor that
//! still drains, of a successor, of one that has crashed. All of them may have the same configuration, and may have
//! started at the same time. Therefore nothing that others can see is derived from the configuration or the clock
//! alone: it comes from a secret that each process draws from the operating system at its start.

mod request_ids;

pub use request_ids::RequestIdGenerator;

use rand::{RngCore, SeedableRng};
use rand_chacha::ChaCha20Rng;

/// The number of bytes of a process's secret.
const SECRET_BYTES: usize = 32;

// Each use of the secret has its own stream of the cryptographic generator, so that what others see of one use tells
// them nothing of the rest.
const REQUEST_ID_STREAM: u64 = 0;
const ROUTING_STREAM: u64 = 1;
const DISCOVERY_STREAM: u64 = 2;

/// A random number generator of the process whose choices others can see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RandomSource {
    /// The router's, which samples endpoints.
    Routing,
    /// The discovery client's, which spreads its calls over time.
    Discovery,
}

impl RandomSource {
    fn stream(self) -> u64 {
        match self {
            RandomSource::Routing => ROUTING_STREAM,
            RandomSource::Discovery => DISCOVERY_STREAM,
        }
    }
}

/// The identity of one process. [`ProcessIdentity::draw`] is called once, at the start.
pub struct ProcessIdentity {
    secret: [u8; SECRET_BYTES],
    configured_seed: u64,
    request_ids: RequestIdGenerator,
}

impl ProcessIdentity {
    /// Draws an identity that no other process has, and that nobody can guess. `configured_seed` is the
    /// configuration's, which other processes may have, too.
    ///
    /// # Errors
    ///
    /// The error of the operating system if it returns no random bytes.
    pub fn draw(configured_seed: u64) -> Result<ProcessIdentity, getrandom::Error> {
        let mut secret = [0; SECRET_BYTES];
        getrandom::fill(&mut secret)?;
        let generator = secret_generator(&secret, REQUEST_ID_STREAM);
        Ok(ProcessIdentity {
            secret,
            configured_seed,
            request_ids: RequestIdGenerator::new(generator),
        })
    }

    /// Returns the process's generator of request ids. All calls return the same one.
    pub fn request_ids(&self) -> RequestIdGenerator {
        self.request_ids.clone()
    }

    /// Returns the seed of a random number generator. All calls return the same one; other processes and other sources
    /// have another.
    pub fn seed(&self, source: RandomSource) -> u64 {
        self.configured_seed ^ secret_generator(&self.secret, source.stream()).next_u64()
    }
}

fn secret_generator(secret: &[u8; SECRET_BYTES], stream: u64) -> ChaCha20Rng {
    let mut generator = ChaCha20Rng::from_seed(*secret);
    generator.set_stream(stream);
    generator
}

#[cfg(test)]
#[path = "../../tests/unit/identity/process_identity.rs"]
mod tests;
