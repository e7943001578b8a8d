//! Operators' commands, tested over connections to the management address.

mod testbed;

use std::time::Duration;
use testbed::{Behavior, Fleet, SessionClient};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

async fn send_command(fleet: &Fleet, line: &[u8]) -> String {
    let exchange = async {
        let mut stream = TcpStream::connect(&fleet.management_address).await.unwrap();
        stream.write_all(line).await.unwrap();
        let mut response = String::new();
        stream.read_to_string(&mut response).await.unwrap();
        response
    };
    tokio::time::timeout(Duration::from_secs(1), exchange)
        .await
        .expect("a response within 1 s")
}

#[tokio::test]
async fn commands_are_answered_with_one_line() {
    let fleet = Fleet::start(false).await;
    assert_eq!(send_command(&fleet, b"ready\n").await, "ACK\n");
    assert_eq!(send_command(&fleet, b"ready\r\n").await, "ACK\n");
    assert_eq!(
        send_command(&fleet, b"disable-server n2\nready\n and more").await,
        "ACK\n"
    );
    assert_eq!(send_command(&fleet, b"disable-server n2\n").await, "ACK\n");
    assert_eq!(send_command(&fleet, b"enable-server n2\n").await, "ACK\n");
    let long = [b"disable-server n2".as_slice(), &[b' '; 1000], b"\n"].concat();
    for invalid in [
        b"quit\n".as_slice(),
        b"\n",
        b"ready now\n",
        b"disable-server\n",
        b"enable-server \xff\n",
        &long,
    ] {
        let response = send_command(&fleet, invalid).await;
        assert!(
            response.starts_with("NAK ") && response.ends_with('\n'),
            "{response}"
        );
    }
    // An endpoint id that is not listed, and a line without its end.
    assert!(send_command(&fleet, b"disable-server nobody\n")
        .await
        .starts_with("NAK "));
    let mut unterminated = TcpStream::connect(&fleet.management_address).await.unwrap();
    unterminated.write_all(b"disable-server n1").await.unwrap();
    unterminated.shutdown().await.unwrap();
    let mut response = String::new();
    unterminated.read_to_string(&mut response).await.unwrap();
    assert!(response.starts_with("NAK "), "{response}");
    fleet.drain().await;
    assert!(send_command(&fleet, b"ready\n").await.starts_with("NAK "));
}

/// Connections that never complete their line are closed to make room for new ones.
#[tokio::test]
async fn incomplete_commands_do_not_lock_operators_out() {
    let fleet = Fleet::start(false).await;
    let mut incomplete = Vec::new();
    for _ in 0..60 {
        let mut stream = TcpStream::connect(&fleet.management_address).await.unwrap();
        stream.write_all(b"rea").await.unwrap();
        incomplete.push(stream);
        assert_eq!(send_command(&fleet, b"ready\n").await, "ACK\n");
    }
    // The oldest connection was closed to make room.
    let mut rest = [0; 8];
    assert!(matches!(
        incomplete[0].read(&mut rest).await,
        Ok(0) | Err(_)
    ));
}

/// A banned endpoint receives no new requests, neither on a pooled connection nor from the queue, whatever discovery
/// reports.
#[tokio::test]
async fn a_banned_endpoint_receives_nothing_until_its_ban_is_lifted() {
    for over_sessions in [false, true] {
        let fleet = Fleet::start(over_sessions).await;
        let mut client = SessionClient::connect(&fleet).await;
        // The only listed decode endpoint serves a request, so that a connection to it is pooled.
        client.send_request("a", "status-query", 4000).await;
        assert_eq!(client.receive_response("a").await.0, "served");
        assert_eq!(fleet.attempts_at(2), 1);
        // A request that is in flight at the endpoint when the ban begins is still served: a ban drains the endpoint.
        fleet.set_behavior(2, Behavior::Pause);
        client.send_request("b", "status-query", 4000).await;
        assert_eq!(client.receive().await.0, "event");
        fleet.set_behavior(2, Behavior::Serve);
        assert_eq!(send_command(&fleet, b"disable-server n2\n").await, "ACK\n");
        fleet.update_discovery(&[(3, "Ready")]).await;
        for (number, phase) in ["Ready", "Gone", "Ready", "Terminating", "Ready"]
            .iter()
            .enumerate()
        {
            fleet.update_discovery(&[(2, phase)]).await;
            let name = format!("c{number}");
            client.send_request(&name, "status-query", 4000).await;
            loop {
                let (kind, text) = client.receive().await;
                if text.contains(&format!("\"{name}\"")) && kind != "event" {
                    assert_eq!(kind, "served");
                    break;
                }
            }
        }
        assert_eq!((fleet.attempts_at(2), fleet.attempts_at(3)), (2, 5));
        fleet.resume.notify_one();
        assert_eq!(client.receive_response("b").await.0, "served");
        assert_eq!(send_command(&fleet, b"enable-server n2\n").await, "ACK\n");
        fleet.update_discovery(&[(3, "Gone")]).await;
        client.send_request("d", "status-query", 4000).await;
        assert_eq!(client.receive_response("d").await.0, "served");
        assert_eq!(fleet.attempts_at(2), 3);
        fleet.assert_all_released().await;
    }
}
