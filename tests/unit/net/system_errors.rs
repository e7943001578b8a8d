use super::*;

fn error(errno: Errno) -> io::Error {
    io::Error::from_raw_os_error(errno.raw_os_error())
}

#[test]
fn broken_connection_delays_no_other() {
    let mut pauses = AcceptBackoff::default();
    for errno in [
        Errno::CONNABORTED,
        Errno::INTR,
        Errno::HOSTUNREACH,
        Errno::TIMEDOUT,
        Errno::PROTO,
    ] {
        assert_eq!(
            pauses.delay_after(&error(errno)),
            Duration::ZERO,
            "{errno:?}"
        );
    }
    // Where such errors never end, the listener does not spin.
    let delayed = (0..200)
        .filter(|_| pauses.delay_after(&error(Errno::CONNABORTED)) > Duration::ZERO)
        .count();
    assert!(delayed >= 100, "{delayed}");
}

#[test]
fn delays_grow_during_a_local_shortage() {
    let mut pauses = AcceptBackoff::default();
    for errno in [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM] {
        assert!(
            pauses.delay_after(&error(errno)) > Duration::ZERO,
            "{errno:?}"
        );
    }
    let delays: Vec<Duration> = (0..20)
        .map(|_| pauses.delay_after(&error(Errno::NFILE)))
        .collect();
    assert_eq!(delays.last(), Some(&MAX_ACCEPT_DELAY));
    pauses.reset();
    assert_eq!(pauses.delay_after(&error(Errno::NFILE)), MIN_ACCEPT_DELAY);
}

#[test]
fn only_a_lack_of_this_machine_is_a_local_shortage() {
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
