//! One client that sends at full speed takes neither the other clients' turns nor memory without end.

mod testbed;

use futures_util::{SinkExt, StreamExt};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use testbed::{request_message, Fleet, SessionClient};
use tokio::runtime::Handle;
use tokio::task::LocalSet;
use tokio_tungstenite::tungstenite::{Bytes, Message as Frame};

/// Messages that a client sends at once.
const MESSAGES: usize = 2_000;
/// The most messages of one client that are handled before other tasks have a turn.
const MAX_MESSAGES_PER_TURN: usize = 64;
const TIMEOUT: Duration = Duration::from_secs(20);

/// Sends the frames as fast as they are taken, then a request, and waits for the final message of the request.
async fn flood(client: SessionClient, frames: Vec<Frame>) {
    let (mut sink, mut stream) = client.0.split();
    let send = async {
        for frame in frames {
            sink.feed(frame).await.unwrap();
        }
        let last = request_message("last", "status-query", 9000);
        sink.send(Frame::Text(last.into())).await.unwrap();
    };
    let receive = async {
        loop {
            let message = stream.next().await.expect("a message").unwrap();
            let is_last = |text: &str| text.contains("\"last\"") && text.contains("served");
            if matches!(&message, Frame::Text(text) if is_last(text)) {
                return;
            }
        }
    };
    tokio::time::timeout(TIMEOUT, async { tokio::join!(send, receive) })
        .await
        .expect("the last request is served");
}

/// What was seen while a client sent at full speed.
#[derive(Default)]
struct Observed {
    /// How often another task had a turn.
    turns: Cell<usize>,
    max_tasks: Cell<usize>,
}

/// Watches the runtime while `work` runs.
async fn observe(work: impl std::future::Future<Output = ()>) -> Rc<Observed> {
    let observed = Rc::new(Observed::default());
    let other = observed.clone();
    let local = LocalSet::new();
    local.spawn_local(async move {
        loop {
            other.turns.set(other.turns.get() + 1);
            let tasks = Handle::current().metrics().num_alive_tasks();
            other.max_tasks.set(other.max_tasks.get().max(tasks));
            tokio::task::yield_now().await;
        }
    });
    local.run_until(work).await;
    observed
}

/// Guards against a session that handles all that its client has sent at once in one turn, so that other clients wait.
#[tokio::test]
async fn messages_of_one_client_leave_other_clients_their_turns() {
    let fleet = Fleet::start(false).await;
    for frame in [
        Frame::Pong(Bytes::new()),
        Frame::Ping(Bytes::new()),
        Frame::Text("{}".into()),
        Frame::Text(r#"{"type":"cancel","id":"x"}"#.into()),
    ] {
        let client = SessionClient::connect(&fleet).await;
        let observed = observe(flood(client, vec![frame.clone(); MESSAGES])).await;
        let turns = observed.turns.get();
        assert!(
            turns >= MESSAGES / MAX_MESSAGES_PER_TURN,
            "{turns} turns, {frame:?}"
        );
    }
}

/// Guards against an answer that is sent again and again, each time by a task of its own, faster than the client reads.
#[tokio::test]
async fn answers_sent_again_to_one_client_wait_one_after_the_other() {
    let fleet = Fleet::start(false).await;
    let mut client = SessionClient::connect(&fleet).await;
    client.send_request("same", "status-query", 9000).await;
    assert_eq!(client.receive_response("same").await.0, "served");
    let tasks_before = Handle::current().metrics().num_alive_tasks();
    let again = Frame::Text(request_message("same", "status-query", 9000).into());
    let observed = observe(flood(client, vec![again; MESSAGES])).await;
    let max_tasks = observed.max_tasks.get();
    assert!(
        max_tasks < tasks_before + 16,
        "{max_tasks} tasks, {tasks_before} before"
    );
}
