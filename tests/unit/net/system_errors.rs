use super::*;

fn error(errno: Errno) -> io::Error {
    io::Error::from_raw_os_error(errno.raw_os_error())
}

/// An accept error of one connection says nothing about the next connection.
#[test]
fn broken_connection_delays_no_other() {
    let mut backoff = AcceptBackoff::default();
    for errno in [
        Errno::CONNABORTED,
        Errno::INTR,
        Errno::HOSTUNREACH,
        Errno::TIMEDOUT,
        Errno::PROTO,
    ] {
        assert_eq!(
            backoff.delay_after(&error(errno)),
            Duration::ZERO,
            "{errno:?}"
        );
    }
    // Endless connection errors are delayed too, so that the listener does not spin.
    let delayed = (0..200)
        .filter(|_| backoff.delay_after(&error(Errno::CONNABORTED)) > Duration::ZERO)
        .count();
    assert!(delayed >= 100, "{delayed}");
}

/// While file descriptors or memory are short, accepting fails at once. Without growing delays the listener would spin.
#[test]
fn delays_grow_during_a_local_shortage() {
    let mut backoff = AcceptBackoff::default();
    for errno in [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM] {
        assert!(
            backoff.delay_after(&error(errno)) > Duration::ZERO,
            "{errno:?}"
        );
    }
    let delays: Vec<Duration> = (0..20)
        .map(|_| backoff.delay_after(&error(Errno::NFILE)))
        .collect();
    assert_eq!(delays.last(), Some(&MAX_ACCEPT_DELAY));
    backoff.reset();
    assert_eq!(backoff.delay_after(&error(Errno::NFILE)), MIN_ACCEPT_DELAY);
}

#[test]
fn only_errors_of_this_machine_are_local_shortages() {
    for errno in [
        Errno::ADDRNOTAVAIL,
        Errno::NETUNREACH,
        Errno::NOBUFS,
        Errno::MFILE,
        Errno::NFILE,
        Errno::INTR,
    ] {
        assert!(is_local_shortage(&error(errno)), "{errno:?}");
    }
    for errno in [
        Errno::CONNREFUSED,
        Errno::TIMEDOUT,
        Errno::HOSTUNREACH,
        Errno::CONNRESET,
    ] {
        assert!(!is_local_shortage(&error(errno)), "{errno:?}");
    }
}
