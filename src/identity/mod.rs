//! The identity of this process: the source of all names that it gives out.
//!
//! Endpoints, discovery and other processes see the names and random choices of many processes: of a predecessor that
//! still drains, of a successor, of one that has crashed. All of them may have the same configuration, and may have
//! started at the same time. Therefore nothing that others can see is derived from the configuration or the clock
//! alone: it comes from a secret that each process draws from the operating system at its start.

mod request_ids;

pub use request_ids::RequestIdGenerator;

/// The number of bytes of a process's secret.
const SECRET_BYTES: usize = 32;

/// The identity of one process. [`ProcessIdentity::draw`] is called once, at the start.
pub struct ProcessIdentity {
    request_ids: RequestIdGenerator,
}

impl ProcessIdentity {
    /// Draws an identity that no other process has, and that nobody can guess.
    ///
    /// # Errors
    ///
    /// The error of the operating system if it returns no random bytes.
    pub fn draw() -> Result<ProcessIdentity, getrandom::Error> {
        let mut secret = [0; SECRET_BYTES];
        getrandom::fill(&mut secret)?;
        Ok(ProcessIdentity {
            request_ids: RequestIdGenerator::new(secret),
        })
    }

    /// Returns the process's generator of request ids. All calls return the same one.
    pub fn request_ids(&self) -> RequestIdGenerator {
        self.request_ids.clone()
    }
}

#[cfg(test)]
#[path = "../../tests/unit/identity/process_identity.rs"]
mod tests;
