//! Operators' calls over their own socket, byte by byte where that matters.

mod testbed;

use std::time::Duration;
use testbed::{Fleet, Terminal, Way};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

async fn call(fleet: &Fleet, line: &[u8]) -> String {
    let exchange = async {
        let mut stream = TcpStream::connect(&fleet.management).await.unwrap();
        stream.write_all(line).await.unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.unwrap();
        answer
    };
    tokio::time::timeout(Duration::from_secs(1), exchange)
        .await
        .expect("an answer within 1 s")
}

#[tokio::test]
async fn calls_are_answered_with_one_line() {
    let fleet = Fleet::start(false).await;
    assert_eq!(call(&fleet, b"ready\n").await, "ACK\n");
    assert_eq!(call(&fleet, b"ready\r\n").await, "ACK\n");
    assert_eq!(
        call(&fleet, b"disable-server n2\nready\n and more").await,
        "ACK\n"
    );
    assert_eq!(call(&fleet, b"disable-server n2\n").await, "ACK\n");
    assert_eq!(call(&fleet, b"enable-server n2\n").await, "ACK\n");
    let long = [b"disable-server n2".as_slice(), &[b' '; 1000], b"\n"].concat();
    for bad in [
        b"quit\n".as_slice(),
        b"\n",
        b"ready now\n",
        b"disable-server\n",
        b"enable-server \xff\n",
        &long,
    ] {
        let answer = call(&fleet, bad).await;
        assert!(
            answer.starts_with("NAK ") && answer.ends_with('\n'),
            "{answer}"
        );
    }
    // Unlisted: also as the beginning of a listed one's line that was cut.
    assert!(call(&fleet, b"disable-server nobody\n")
        .await
        .starts_with("NAK "));
    let mut cut = TcpStream::connect(&fleet.management).await.unwrap();
    cut.write_all(b"disable-server n1").await.unwrap();
    cut.shutdown().await.unwrap();
    let mut answer = String::new();
    cut.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("NAK "), "{answer}");
    fleet.drain().await;
    assert!(call(&fleet, b"ready\n").await.starts_with("NAK "));
}

/// Callers that never end their line hold no place that another needs.
#[tokio::test]
async fn unfinished_callers_lock_nobody_out() {
    let fleet = Fleet::start(false).await;
    let mut unfinished = Vec::new();
    for _ in 0..60 {
        let mut stream = TcpStream::connect(&fleet.management).await.unwrap();
        stream.write_all(b"rea").await.unwrap();
        unfinished.push(stream);
        assert_eq!(call(&fleet, b"ready\n").await, "ACK\n");
    }
    // The first ones have made room.
    let mut rest = [0; 8];
    assert!(matches!(
        unfinished[0].read(&mut rest).await,
        Ok(0) | Err(_)
    ));
}

/// A replica that is out of use gets nothing: not on a kept connection, not what waits, whatever discovery says.
#[tokio::test]
async fn a_replica_that_is_out_gets_nothing_and_is_used_when_it_is_back() {
    for over_sessions in [false, true] {
        let fleet = Fleet::start(over_sessions).await;
        let mut terminal = Terminal::connect(&fleet).await;
        // The only writer that is listed serves, so that a connection to it is kept.
        terminal.ask("a", "status-query", 4000).await;
        assert_eq!(terminal.hear_final("a").await.0, "served");
        assert_eq!(fleet.sent_to(2), 1);
        // One waits at a writer through the ban, and is served: a ban drains.
        fleet.way(2, Way::Pause);
        terminal.ask("b", "status-query", 4000).await;
        assert_eq!(terminal.hear().await.0, "event");
        fleet.way(2, Way::Serve);
        assert_eq!(call(&fleet, b"disable-server n2\n").await, "ACK\n");
        fleet.tell(&[(3, "Ready")]).await;
        for (number, phase) in ["Ready", "Gone", "Ready", "Terminating", "Ready"]
            .iter()
            .enumerate()
        {
            fleet.tell(&[(2, phase)]).await;
            let name = format!("c{number}");
            terminal.ask(&name, "status-query", 4000).await;
            loop {
                let (kind, text) = terminal.hear().await;
                if text.contains(&format!("\"{name}\"")) && kind != "event" {
                    assert_eq!(kind, "served");
                    break;
                }
            }
        }
        assert_eq!((fleet.sent_to(2), fleet.sent_to(3)), (2, 5));
        fleet.go.notify_one();
        assert_eq!(terminal.hear_final("b").await.0, "served");
        assert_eq!(call(&fleet, b"enable-server n2\n").await, "ACK\n");
        fleet.tell(&[(3, "Gone")]).await;
        terminal.ask("d", "status-query", 4000).await;
        assert_eq!(terminal.hear_final("d").await.0, "served");
        assert_eq!(fleet.sent_to(2), 3);
        fleet.nothing_left().await;
    }
}
