//! The errors of system calls: which ones concern one connection, and which ones this machine. Does no I/O; each listener
//! owns its [`AcceptBackoff`].

use rustix::io::Errno;
use std::io;
use std::time::Duration;

/// The delay after the first failure of this machine to accept a connection.
const MIN_ACCEPT_DELAY: Duration = Duration::from_millis(5);
/// The longest delay after failures in a row.
const MAX_ACCEPT_DELAY: Duration = Duration::from_millis(200);
/// After this many connections in a row that broke before they were accepted, there is a delay all the same: the listener
/// must not spin.
const MAX_IMMEDIATE_RETRIES: u32 = 64;

/// The errors by which this machine lacks descriptors, memory, ports or a route for a moment.
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

/// The errors of `accept` that Linux passes on from a connection that has broken while it waited, or that concern no other
/// connection.
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

/// Whether this machine is short of descriptors, memory, ports or a route for a moment. Such an error says nothing of the
/// other side.
pub fn is_local_shortage(error: &io::Error) -> bool {
    is_any_of(error, &LOCAL_SHORTAGES)
}

/// The delays of one listener after a failed `accept`.
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
    /// Records an accepted connection.
    pub fn reset(&mut self) {
        *self = AcceptBackoff::default();
    }

    /// Records an error, and returns the delay before the next `accept`. Zero where only the connection has broken: others
    /// may wait behind it.
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
