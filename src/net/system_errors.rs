//! Errors of system calls: which ones concern one connection, and which ones this machine itself. No I/O.

use std::io;
use std::time::Duration;

/// The first pause after this machine could not take a connection, and the longest one.
const FIRST_PAUSE: Duration = Duration::from_millis(5);
const LONGEST_PAUSE: Duration = Duration::from_millis(200);
/// After so many connections on end that were over before they were taken, there is a pause all the same.
const MOST_AT_ONCE: u32 = 64;

/// Whether this machine is short of something for a moment: descriptors, memory, ports or a route. It tells nothing of the
/// other side.
pub fn is_local_shortage(error: &io::Error) -> bool {
    let Some(code) = error.raw_os_error() else {
        return false;
    };
    let shortages = [
        rustix::io::Errno::MFILE,
        rustix::io::Errno::NFILE,
        rustix::io::Errno::NOBUFS,
        rustix::io::Errno::NOMEM,
        rustix::io::Errno::ADDRNOTAVAIL,
        rustix::io::Errno::NETUNREACH,
        rustix::io::Errno::NETDOWN,
        rustix::io::Errno::AGAIN,
        rustix::io::Errno::INTR,
    ];
    shortages
        .iter()
        .any(|shortage| shortage.raw_os_error() == code)
}

/// Whether a failed `accept` concerns only the connection that was to be taken: the next one may be taken at once. These are
/// the errors that Linux passes on from a connection that has broken while it waited.
fn is_of_one_connection(error: &io::Error) -> bool {
    let Some(code) = error.raw_os_error() else {
        return false;
    };
    let broken = [
        rustix::io::Errno::CONNABORTED,
        rustix::io::Errno::CONNRESET,
        rustix::io::Errno::INTR,
        rustix::io::Errno::PROTO,
        rustix::io::Errno::NOPROTOOPT,
        rustix::io::Errno::HOSTDOWN,
        rustix::io::Errno::HOSTUNREACH,
        rustix::io::Errno::NETDOWN,
        rustix::io::Errno::NETUNREACH,
        rustix::io::Errno::TIMEDOUT,
        rustix::io::Errno::OPNOTSUPP,
        rustix::io::Errno::PERM,
    ];
    broken.iter().any(|broken| broken.raw_os_error() == code)
}

/// How long a listener pauses after a failed `accept`.
#[derive(Debug)]
pub struct AcceptPauses {
    next: Duration,
    at_once: u32,
}

impl Default for AcceptPauses {
    fn default() -> Self {
        AcceptPauses {
            next: FIRST_PAUSE,
            at_once: 0,
        }
    }
}

impl AcceptPauses {
    /// A connection was taken.
    pub fn reset(&mut self) {
        *self = AcceptPauses::default();
    }

    /// The pause after this error; none where others may wait behind the connection that has broken.
    pub fn delay_after(&mut self, error: &io::Error) -> Duration {
        if is_of_one_connection(error) && self.at_once < MOST_AT_ONCE {
            self.at_once += 1;
            return Duration::ZERO;
        }
        let pause = self.next;
        self.next = (self.next * 2).min(LONGEST_PAUSE);
        pause
    }
}

#[cfg(test)]
#[path = "../../tests/unit/net/system_errors.rs"]
mod tests;
