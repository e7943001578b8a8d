//! Answers of nodes that come spoilt, good ones with more than belongs to them, and how long a connection is kept
//! after one: raw bytes, a paused clock.

mod testbed;

use quartzhall::dispatcher::{Command, Event, EventReceiver, StreamChunk, UpstreamRequest};
use quartzhall::routing::api::AttemptStatus;
use std::time::Duration;
use testbed::node_side;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::Instant;

const HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const EVENT: &str = "data: {\"n\":1}\n\n";

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// A node that reads one request and says this; its connection stays open for as long as the stream is held.
struct Node(TcpListener);

impl Node {
    async fn start() -> Node {
        Node(TcpListener::bind("127.0.0.1:0").await.unwrap())
    }

    async fn says(&self, bytes: &[u8]) -> TcpStream {
        let accepted = tokio::time::timeout(Duration::from_secs(60), self.0.accept()).await;
        let (mut stream, _) = accepted.expect("a connection within a minute").unwrap();
        answer(&mut stream, bytes).await;
        stream
    }

    fn send(&self, id: u64) -> Command {
        let name = format!("s{id}").as_str().into();
        let work = UpstreamRequest {
            client_request_id: name,
            target: "/v1/chat/completions".into(),
            body: "{}".into(),
        };
        let (address, timeout) = (
            self.0.local_addr().unwrap().to_string(),
            Duration::from_secs(60),
        );
        Command::StartAttempt {
            id,
            attempt: 0,
            address: address.as_str().into(),
            upstream: work,
            timeout,
            needs_new_connection: false,
        }
    }
}

async fn answer(stream: &mut TcpStream, bytes: &[u8]) {
    let mut text = Vec::new();
    while !text.ends_with(b"\r\n\r\n{}") {
        let mut some = [0; 1024];
        let read = stream.read(&mut some).await.unwrap();
        text.extend_from_slice(&some[..read]);
    }
    // The dispatcher may have closed it in the middle.
    let _ = stream.write_all(bytes).await;
}

/// How an attempt ended; what was passed on of its stream, and whether that has a good end.
async fn outcome(inbox: &mut EventReceiver) -> (AttemptStatus, String, bool) {
    let (mut stream, mut text, mut whole) =
        (None::<mpsc::Receiver<StreamChunk>>, Vec::new(), false);
    loop {
        match inbox.recv().await.expect("an open queue") {
            Event::FirstEvent { stream: begun, .. } => stream = Some(begun),
            Event::AttemptEnded { reason, .. } => {
                while let Some(piece) = stream.as_mut().and_then(|it| it.try_recv().ok()) {
                    match piece {
                        StreamChunk::Data(data) => text.extend_from_slice(&data),
                        StreamChunk::End => whole = true,
                        StreamChunk::Migrate(_) => panic!("nothing moves here"),
                    }
                }
                return (reason.status(), String::from_utf8(text).unwrap(), whole);
            }
            other => panic!("{other:?}"),
        }
    }
}

/// A stream that is spoilt before its first event commits nothing; one spoilt later ends without its good end.
/// Both are errors that may have run, found within 5 s while the connection stays open.
#[tokio::test(start_paused = true)]
async fn a_spoilt_stream_is_found_and_never_whole() {
    let event = chunk(EVENT);
    let endless = format!("{HEAD}{event}b2d05e00\r\n{}", "x".repeat(200_000));
    let lines = format!("{HEAD}{event}b2d05e00\r\n{}", "data: x\n".repeat(20_000));
    for (said, passed) in [
        ("\u{1}\u{2}\u{3} what?\r\n\r\n".to_owned(), ""),
        ("HTTP/1.1 what\r\n\r\n".to_owned(), ""),
        (
            format!("HTTP/1.1 200 OK\r\nX-More: {}", "x".repeat(100_000)),
            "",
        ),
        (format!("{HEAD}{}", chunk("\u{1}\u{2}\u{3}")), ""),
        (
            format!("{HEAD}{}", chunk(": only a comment\n\n\nwhat\n")),
            "",
        ),
        (format!("{HEAD}zz\r\n{EVENT}\r\n"), ""),
        (format!("{HEAD}0\r\n\r\n"), ""),
        (format!("{HEAD}{event}zz\r\n{EVENT}\r\n"), EVENT),
        (format!("{HEAD}{event}5\r\n{EVENT}\r\n"), EVENT),
        (format!("{HEAD}{event}20\r\n{EVENT}\r\n{event}"), EVENT),
        (endless, EVENT),
        (lines, EVENT),
    ] {
        let (node, (commands, mut inbox)) = (Node::start().await, node_side(&[]));
        commands.send(node.send(1)).await.unwrap();
        let stream = node.says(said.as_bytes()).await;
        let began = Instant::now();
        let (status, text, whole) = outcome(&mut inbox).await;
        assert_eq!(status, AttemptStatus::Error, "{said:.200}");
        assert!(
            text == passed || !passed.is_empty() && text == EVENT.repeat(2),
            "{said:.200}: {text}"
        );
        assert!(
            !whole && began.elapsed() < Duration::from_secs(5),
            "{said:.200}: {:?}",
            began.elapsed()
        );
        drop(stream);
    }
}

/// A chunk that is said to be longer than it is, and then silence: the client is not left waiting.
#[tokio::test(start_paused = true)]
async fn a_stream_that_stops_is_broken_within_5_s_of_its_last_event() {
    let (node, (commands, mut inbox)) = (Node::start().await, node_side(&[]));
    commands.send(node.send(1)).await.unwrap();
    let mut stream = node.says(format!("{HEAD}ff\r\n{EVENT}").as_bytes()).await;
    let began = Instant::now();
    // Bytes that make no event don't keep it open.
    let drips = async {
        loop {
            tokio::time::sleep(Duration::from_secs(1)).await;
            let _ = stream.write_all(b":").await;
        }
    };
    let ended = tokio::select! {
        ended = outcome(&mut inbox) => ended,
        () = drips => unreachable!(),
    };
    assert_eq!(ended, (AttemptStatus::Reset, EVENT.to_owned(), false));
    assert!(
        began.elapsed() < Duration::from_secs(5),
        "{:?}",
        began.elapsed()
    );
}

/// A node that has much to do is silent for seconds and then goes on: its stream is not cut, over and over.
#[tokio::test(start_paused = true)]
async fn a_stream_that_goes_on_after_4_6_s_is_not_cut() {
    let (node, (commands, mut inbox)) = (Node::start().await, node_side(&[]));
    commands.send(node.send(1)).await.unwrap();
    let mut stream = node
        .says(format!("{HEAD}{}", chunk(EVENT)).as_bytes())
        .await;
    let goes_on = async {
        for _ in 0..2 {
            tokio::time::sleep(Duration::from_millis(4_600)).await;
            let _ = stream.write_all(chunk(EVENT).as_bytes()).await;
        }
        let _ = stream.write_all(b"0\r\n\r\n").await;
    };
    let (ended, ()) = tokio::join!(outcome(&mut inbox), goes_on);
    assert_eq!(ended, (AttemptStatus::Served, EVENT.repeat(3), true));
}

/// Early heads, a load report that can't be read and a second answer leave a good stream good; but a connection
/// on which more came than was asked for is not used again.
#[tokio::test(start_paused = true)]
async fn a_good_stream_with_more_than_belongs_to_it_is_good() {
    let (node, (commands, mut inbox)) = (Node::start().await, node_side(&[]));
    let early = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n";
    let head = HEAD.replacen(
        "\r\n",
        "\r\nEndpoint-Load-Metrics: TEXT inflight=\u{ff}, ?\r\n",
        1,
    );
    let body = format!("{EVENT}: Endpoint-Load-Metrics: \u{1}TEXT x0=much\n\n");
    let good = format!("{early}{head}{}0\r\n\r\n", chunk(&body));
    let mut held = Vec::new();
    for (id, behind) in [
        (1, format!("{HEAD}{}0\r\n\r\n", chunk("data: other\n\n"))),
        (2, String::new()),
    ] {
        commands.send(node.send(id)).await.unwrap();
        held.push(node.says(format!("{good}{behind}").as_bytes()).await);
        assert_eq!(
            outcome(&mut inbox).await,
            (AttemptStatus::Served, body.clone(), true)
        );
    }
    // With nothing behind, the connection serves again.
    commands.send(node.send(3)).await.unwrap();
    answer(&mut held[1], good.as_bytes()).await;
    assert_eq!(
        outcome(&mut inbox).await,
        (AttemptStatus::Served, body, true)
    );
}

#[tokio::test]
async fn a_bad_request_is_told_from_an_error_of_the_node() {
    for (code, wanted) in [
        ("400 Bad Request", AttemptStatus::InvalidRequest),
        ("500 Oh", AttemptStatus::Error),
        ("302 Found", AttemptStatus::Error),
    ] {
        let (node, (commands, mut inbox)) = (Node::start().await, node_side(&[]));
        commands.send(node.send(1)).await.unwrap();
        let _stream = node
            .says(format!("HTTP/1.1 {code}\r\nContent-Length: 0\r\n\r\n").as_bytes())
            .await;
        assert_eq!(outcome(&mut inbox).await.0, wanted, "{code}");
    }
}

/// A node that leaves the list in the middle of a stream, whatever byte has come by then: its kept connections are let
/// go, and one with a stream under way must not be taken for idle.
#[tokio::test(start_paused = true)]
async fn a_node_that_leaves_mid_stream_cuts_nothing() {
    let text = format!("{HEAD}{}{}0\r\n\r\n", chunk(EVENT), chunk(EVENT));
    for cut in 0..=text.len() {
        let (node, (commands, mut inbox)) = (Node::start().await, node_side(&[]));
        let address: std::sync::Arc<str> = node.0.local_addr().unwrap().to_string().into();
        commands.send(node.send(1)).await.unwrap();
        let mut stream = node.says(text.as_bytes()).await;
        assert_eq!(
            outcome(&mut inbox).await,
            (AttemptStatus::Served, EVENT.repeat(2), true)
        );
        // The second answer comes on the connection that was kept.
        commands.send(node.send(2)).await.unwrap();
        let (before, after) = text.as_bytes().split_at(cut);
        answer(&mut stream, before).await;
        tokio::time::sleep(Duration::from_millis(1)).await;
        commands
            .send(Command::BlockAddress {
                address,
                is_blocked: true,
            })
            .await
            .unwrap();
        tokio::time::sleep(Duration::from_millis(1)).await;
        stream.write_all(after).await.unwrap();
        drop(stream);
        assert_eq!(
            outcome(&mut inbox).await,
            (AttemptStatus::Served, EVENT.repeat(2), true),
            "cut at byte {cut}"
        );
    }
}

/// A node closes what has been idle for the settings' time (30 s in these), and what is written to it from then on
/// may have run: for seven tenths of that a connection is used again, and after that no more.
#[tokio::test(start_paused = true)]
async fn a_connection_is_not_used_again_when_its_node_may_be_closing_it() {
    let (node, (commands, mut inbox)) = (Node::start().await, node_side(&[]));
    let good = format!("{HEAD}{}0\r\n\r\n", chunk(EVENT));
    commands.send(node.send(1)).await.unwrap();
    let mut first = node.says(good.as_bytes()).await;
    assert_eq!(outcome(&mut inbox).await.0, AttemptStatus::Served);
    tokio::time::sleep(Duration::from_millis(20_500)).await;
    commands.send(node.send(2)).await.unwrap();
    answer(&mut first, good.as_bytes()).await;
    assert_eq!(
        outcome(&mut inbox).await.0,
        AttemptStatus::Served,
        "the same connection"
    );
    tokio::time::sleep(Duration::from_millis(21_500)).await;
    commands.send(node.send(3)).await.unwrap();
    let _second = node.says(good.as_bytes()).await;
    assert_eq!(
        outcome(&mut inbox).await.0,
        AttemptStatus::Served,
        "a connection of its own"
    );
}
