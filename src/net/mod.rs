//! Network building blocks without policy: message framing, system errors, and a semaphore with an adjustable limit.

pub mod adjustable_semaphore;
pub mod message_framing;
pub mod system_errors;
