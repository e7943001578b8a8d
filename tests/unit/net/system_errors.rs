use super::*;
use rustix::io::Errno;

fn error(errno: Errno) -> io::Error {
    io::Error::from_raw_os_error(errno.raw_os_error())
}

#[test]
fn a_connection_that_broke_while_it_waited_keeps_no_other_waiting() {
    let mut pauses = AcceptPauses::default();
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
    // Where it never ends, the loop does not spin.
    let paused = (0..200)
        .filter(|_| pauses.delay_after(&error(Errno::CONNABORTED)) > Duration::ZERO)
        .count();
    assert!(paused >= 100, "{paused}");
}

#[test]
fn a_shortage_of_this_machine_is_waited_for_longer_and_longer() {
    let mut pauses = AcceptPauses::default();
    for errno in [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM] {
        assert!(
            pauses.delay_after(&error(errno)) > Duration::ZERO,
            "{errno:?}"
        );
    }
    let many: Vec<Duration> = (0..20)
        .map(|_| pauses.delay_after(&error(Errno::NFILE)))
        .collect();
    assert_eq!(many.last(), Some(&LONGEST_PAUSE));
    pauses.reset();
    assert_eq!(pauses.delay_after(&error(Errno::NFILE)), FIRST_PAUSE);
}

#[test]
fn only_what_this_machine_lacks_is_a_local_shortage() {
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
