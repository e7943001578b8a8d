use super::*;
use rustix::io::Errno;
use std::cell::Cell;

const LIMIT: Duration = Duration::from_millis(250);

fn error(errno: Errno) -> io::Error {
    io::Error::from_raw_os_error(errno.raw_os_error())
}

/// How a connection comes up where so many tries fail with this error first; and after how many tries.
async fn connect(failures: u32, errno: Errno) -> (io::Result<()>, u32) {
    let tries = Cell::new(0);
    let connect = || {
        tries.set(tries.get() + 1);
        let fails = tries.get() <= failures;
        async move {
            if fails {
                Err(error(errno))
            } else {
                Ok(())
            }
        }
    };
    let connected = connect_within(LIMIT, connect).await;
    (connected, tries.get())
}

#[tokio::test(start_paused = true)]
async fn a_shortage_of_this_machine_is_waited_for_and_tells_nothing_of_the_server() {
    for errno in [
        Errno::ADDRNOTAVAIL,
        Errno::NETUNREACH,
        Errno::NOBUFS,
        Errno::MFILE,
        Errno::NFILE,
    ] {
        assert!(matches!(connect(3, errno).await, (Ok(()), 4)), "{errno:?}");
        let lasts = connect(u32::MAX, errno).await.0.unwrap_err();
        assert_eq!(lasts.kind(), CROWDED, "{errno:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn what_the_server_says_is_told_at_once() {
    for errno in [
        Errno::CONNREFUSED,
        Errno::HOSTUNREACH,
        Errno::TIMEDOUT,
        Errno::CONNRESET,
    ] {
        let (connected, tries) = connect(1, errno).await;
        assert_eq!(
            (connected.unwrap_err().raw_os_error(), tries),
            (Some(errno.raw_os_error()), 1)
        );
    }
}
