//! Datagrams between dispatchers, over loopback sockets.

mod testbed;
use quartzhall::config::{Config, Deployment};
use quartzhall::dispatcher::{self, Event};
use quartzhall::gossip::transport::GossipTransport;
use slog::{o, Discard, Logger};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;

fn config(listen: &str, peers: &[&str], all: &str) -> Config {
    let (profile, peers) = (testbed::PROFILE, peers.join("\",\""));
    let text = format!(
        r#"{{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"7","limits":{{}},
            "peer_listen":"{listen}","peers":["{peers}"],"peers_all":"{all}","settings":{profile}}}"#
    );
    Config::parse(&text).unwrap()
}

async fn socket() -> (UdpSocket, String) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let address = socket.local_addr().unwrap().to_string();
    (socket, address)
}

/// Messages go out to where all are told, and come in from addresses of dispatchers only; one that is longer than allowed
/// shows as longer.
#[tokio::test]
async fn messages_are_carried_from_known_dispatchers_only() {
    let log = Logger::root(Discard, o!());
    let ((known, known_at), (stranger, _), (all, all_at)) =
        (socket().await, socket().await, socket().await);
    let (taken, listen) = socket().await;
    let config = config(&listen, &["127.0.0.1:9", &known_at], &all_at);
    let peers = GossipTransport::new(&config).expect("it may listen");
    let site = Arc::new(Deployment::new(&config.settings).unwrap());
    let (door, mut inbox) = dispatcher::channel(site);
    let (tell, telling) = GossipTransport::queue();
    let run = tokio::spawn(peers.run(telling, door, log));

    // A predecessor has the address still; when it ends, this one has it.
    tell.send("lost".into()).await.unwrap();
    while tell.capacity() < tell.max_capacity() {
        tokio::task::yield_now().await;
    }
    drop(taken);
    let news = async {
        loop {
            let _ = tell.try_send("to all".into());
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let mut buffer = [0; 300];
    let (length, from) = tokio::select! {
        received = all.recv_from(&mut buffer) => received.unwrap(),
        () = news => unreachable!(),
    };
    assert_eq!(
        (&buffer[..length], from.to_string()),
        (&b"to all"[..], listen.clone())
    );

    stranger.send_to(b"nonsense", &listen).await.unwrap();
    known.send_to(b"news", &listen).await.unwrap();
    known.send_to(&[7; 300], &listen).await.unwrap();
    for length in [4, 257] {
        match inbox.recv().await {
            Some(Event::GossipReceived { from: 1, message }) => assert_eq!(message.len(), length),
            other => panic!("{other:?}"),
        }
    }
    drop(tell);
    run.await.unwrap();
}
