//! The ids under which replicas know the requests of sessions: each is given out once, whichever process does so.
//!
//! Guards against a session's request that is served with the answer to another one, because two processes of a
//! dispatcher have given both the same id (review/6).

mod free_address;
#[path = "upgrade/sessions.rs"]
mod sessions;
#[path = "upgrade/setup.rs"]
mod setup;
mod testbed;

use sessions::SessionSetup;
use std::collections::BTreeSet;
use testbed::{Behavior, Fleet, SessionClient, STREAM_EVENTS};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The number of requests of each terminal.
const REQUESTS: usize = 3;

/// Sends requests of a terminal over a new session until all are served. Returns the ids under which replicas have
/// known them.
async fn serve_requests(setup: &SessionSetup, terminal: &str) -> BTreeSet<String> {
    let earlier_attempts = setup.upgrade.attempt_count();
    let mut client = setup.connect().await;
    for number in 0..REQUESTS {
        let id = format!("{terminal}-{number}");
        client.send_request(&id, "return-request", 9000).await;
        let (kind, text) = client.receive_response(&id).await;
        assert_eq!((kind.as_str(), text), ("served", STREAM_EVENTS.concat()));
    }
    let activity = setup.upgrade.fleet.activity.lock().unwrap();
    let attempts = &activity.attempts[earlier_attempts..];
    let ids: BTreeSet<String> = attempts.iter().map(|(_, id)| id.clone()).collect();
    assert_eq!(ids.len(), REQUESTS, "{attempts:?}");
    ids
}

/// The predecessor, the successor and the process after a crash have one configuration, with one seed, and each
/// numbers its requests from the first.
#[tokio::test]
async fn processes_of_one_configuration_give_no_id_to_two_requests() {
    let setup = SessionSetup::new("session-ids").await;
    let predecessor = setup.upgrade.start_process().await;
    let mut ids = serve_requests(&setup, "a").await;
    let successor = setup.upgrade.start_process().await;
    predecessor.send_sigterm();
    // Up to its end the predecessor may still accept the session.
    assert_eq!(predecessor.exit_code().await, Some(0));
    ids.extend(serve_requests(&setup, "b").await);
    assert_eq!(ids.len(), 2 * REQUESTS, "after an upgrade: {ids:?}");
    let _restarted = setup.restart(successor).await;
    ids.extend(serve_requests(&setup, "c").await);
    assert_eq!(ids.len(), 3 * REQUESTS, "after a crash: {ids:?}");
}

/// Returns the ids that someone who knows `id` may guess to be the next one: its last digits count on, in decimal or
/// hexadecimal notation.
fn guess_next_ids(id: &str) -> BTreeSet<String> {
    let count_digits = |radix| {
        id.chars()
            .rev()
            .take_while(|digit| digit.is_digit(radix))
            .count()
    };
    let mut guesses = BTreeSet::new();
    for radix in [10, 16] {
        let (stem, digits) = id.split_at(id.len() - count_digits(radix).min(16));
        let Ok(number) = u64::from_str_radix(digits, radix) else {
            continue;
        };
        let next = number.wrapping_add(1);
        let width = digits.len();
        guesses.insert(match radix {
            10 => format!("{stem}{next}"),
            _ => format!("{stem}{next:0width$x}"),
        });
    }
    guesses
}

/// An HTTP client sends the id that a session's next request would have if ids were counted. Replicas must not take
/// the two for one request, and the core must not reject the session's as a duplicate.
#[tokio::test]
async fn id_that_an_http_client_guesses_is_not_given_to_a_session_request() {
    let fleet = Fleet::start(false).await;
    let mut terminal = SessionClient::connect(&fleet).await;
    terminal.send_request("first", "return-request", 9000).await;
    assert_eq!(terminal.receive_response("first").await.0, "served");
    let first_id = fleet.activity.lock().unwrap().attempts[0].1.clone();
    let guesses = guess_next_ids(&first_id);
    assert!(!guesses.is_empty(), "{first_id}");
    fleet.set_behavior(2, Behavior::Pause);
    let mut connections = Vec::new();
    for guess in &guesses {
        let mut connection = TcpStream::connect(&fleet.http_address).await.unwrap();
        connection
            .write_all(setup::request(guess).as_bytes())
            .await
            .unwrap();
        let mut start_of_response = [0; 12];
        connection.read_exact(&mut start_of_response).await.unwrap();
        assert_eq!(&start_of_response, b"HTTP/1.1 200");
        connections.push(connection);
    }
    fleet.set_behavior(2, Behavior::Serve);
    terminal
        .send_request("second", "return-request", 9000)
        .await;
    assert_eq!(
        terminal.receive_response("second").await,
        ("served".into(), STREAM_EVENTS.concat())
    );
}
