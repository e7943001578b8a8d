//! Classifies errors of socket system calls: some concern one connection, others this machine. Does no I/O.
//!
//! Each listener owns an [`AcceptBackoff`], which gives the delay after a failed `accept`.

use rustix::io::Errno;
use std::io;
use std::time::Duration;

/// The delay after the first `accept` error that is not caused by a single connection.
const MIN_ACCEPT_DELAY: Duration = Duration::from_millis(5);
/// The maximum delay, reached by doubling it with each such error.
const MAX_ACCEPT_DELAY: Duration = Duration::from_millis(200);
/// The number of connection errors without an accepted connection after which there is a delay all the same. Otherwise
/// the listener could spin.
const MAX_IMMEDIATE_RETRIES: u32 = 64;

/// The errors of a temporary lack of descriptors, memory, ports or a route on this machine.
const LOCAL_SHORTAGES: [Errno; 9] = [
    Errno::MFILE,
    Errno::NFILE,
    Errno::NOBUFS,
    Errno::NOMEM,
    Errno::ADDRNOTAVAIL,
    Errno::NETUNREACH,
    Errno::NETDOWN,
    Errno::AGAIN,
    Errno::INTR,
];

/// The errors of `accept` that concern a single connection, for example one that broke while it waited to be accepted.
/// Linux also returns network errors of the new connection from `accept`.
const CONNECTION_ERRORS: [Errno; 12] = [
    Errno::CONNABORTED,
    Errno::CONNRESET,
    Errno::INTR,
    Errno::PROTO,
    Errno::NOPROTOOPT,
    Errno::HOSTDOWN,
    Errno::HOSTUNREACH,
    Errno::NETDOWN,
    Errno::NETUNREACH,
    Errno::TIMEDOUT,
    Errno::OPNOTSUPP,
    Errno::PERM,
];

fn is_any_of(error: &io::Error, errnos: &[Errno]) -> bool {
    let Some(code) = error.raw_os_error() else {
        return false;
    };
    errnos.iter().any(|errno| errno.raw_os_error() == code)
}

/// Whether the error is a temporary lack of descriptors, memory, ports or a route on this machine. Such an error says
/// nothing about the other side.
pub fn is_local_shortage(error: &io::Error) -> bool {
    is_any_of(error, &LOCAL_SHORTAGES)
}

/// Computes one listener's delays after a failed `accept`.
#[derive(Debug)]
pub struct AcceptBackoff {
    next_delay: Duration,
    immediate_retries: u32,
}

impl Default for AcceptBackoff {
    fn default() -> Self {
        AcceptBackoff {
            next_delay: MIN_ACCEPT_DELAY,
            immediate_retries: 0,
        }
    }
}

impl AcceptBackoff {
    /// Records an accepted connection, which resets the delay.
    pub fn reset(&mut self) {
        *self = AcceptBackoff::default();
    }

    /// Records an error, and returns the delay before the next `accept`. The delay is zero if only one connection
    /// failed, because others may be waiting in the backlog.
    pub fn delay_after(&mut self, error: &io::Error) -> Duration {
        let is_connection_error = is_any_of(error, &CONNECTION_ERRORS);
        if is_connection_error && self.immediate_retries < MAX_IMMEDIATE_RETRIES {
            self.immediate_retries += 1;
            return Duration::ZERO;
        }
        let delay = self.next_delay;
        self.next_delay = (delay * 2).min(MAX_ACCEPT_DELAY);
        delay
    }
}

#[cfg(test)]
#[path = "../../tests/unit/net/system_errors.rs"]
mod tests;
