//! Network building blocks without policy: message framing, system errors, connection limits.

pub mod adjustable_semaphore;
pub mod message_framing;
pub mod system_errors;
