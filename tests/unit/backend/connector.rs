use super::*;
use rustix::io::Errno;
use std::cell::Cell;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

fn system_error(errno: Errno) -> io::Error {
    io::Error::from_raw_os_error(errno.raw_os_error())
}

/// Connects with a connect function whose first `failures` calls fail. Returns the result and the number of calls.
async fn connect(failures: u32, errno: Errno) -> (Result<(), ConnectError>, u32) {
    let tries = Cell::new(0);
    let connect = || {
        tries.set(tries.get() + 1);
        let fails = tries.get() <= failures;
        async move {
            if fails {
                Err(system_error(errno))
            } else {
                Ok(())
            }
        }
    };
    let connected = connect_within(CONNECT_TIMEOUT, connect).await;
    (connected, tries.get())
}

/// A shortage on this machine, such as of ports or file descriptors, often passes within the connect timeout. It is no
/// failure of the endpoint.
#[tokio::test(start_paused = true)]
async fn a_local_shortage_is_retried_and_is_not_reported_as_an_endpoint_failure() {
    for errno in [
        Errno::ADDRNOTAVAIL,
        Errno::NETUNREACH,
        Errno::NOBUFS,
        Errno::MFILE,
        Errno::NFILE,
    ] {
        assert!(matches!(connect(3, errno).await, (Ok(()), 4)), "{errno:?}");
        let lasting = connect(u32::MAX, errno).await.0.unwrap_err();
        assert!(matches!(lasting, ConnectError::NoPermit), "{errno:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_connect_error_of_the_endpoint_is_returned_at_once() {
    for errno in [
        Errno::CONNREFUSED,
        Errno::HOSTUNREACH,
        Errno::TIMEDOUT,
        Errno::CONNRESET,
    ] {
        let (connected, tries) = connect(1, errno).await;
        let ConnectError::Io(error) = connected.unwrap_err() else {
            panic!("{errno:?} is not returned unchanged");
        };
        assert_eq!(
            (error.raw_os_error(), tries),
            (Some(errno.raw_os_error()), 1)
        );
    }
}
