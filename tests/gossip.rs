//! The UDP transport of gossip, over loopback sockets.

mod testbed;
use quartzhall::config::{Config, Deployment};
use quartzhall::dispatcher::{self, Event};
use quartzhall::gossip::transport::GossipTransport;
use slog::{o, Discard, Logger};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;

fn config(listen: &str, peers: &[&str], broadcast: &str) -> Config {
    let settings = testbed::SETTINGS;
    let peers = peers.join("\",\"");
    let text = format!(
        r#"{{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"7","limits":{{}},
            "peer_listen":"{listen}","peers":["{peers}"],"peers_all":"{broadcast}","settings":{settings}}}"#
    );
    Config::parse(&text).unwrap()
}

async fn bind_socket() -> (UdpSocket, String) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let address = socket.local_addr().unwrap().to_string();
    (socket, address)
}

/// Messages are sent to the broadcast address and accepted from peers' addresses only. A datagram that is too long is
/// passed on with more than the maximum length, so that the dispatcher can reject it.
#[tokio::test]
async fn messages_are_carried_from_known_dispatchers_only() {
    let log = Logger::root(Discard, o!());
    let (peer, peer_address) = bind_socket().await;
    let (unknown_sender, _) = bind_socket().await;
    let (broadcast, broadcast_address) = bind_socket().await;
    let (predecessor, listen_address) = bind_socket().await;
    let config = config(
        &listen_address,
        &["127.0.0.1:9", &peer_address],
        &broadcast_address,
    );
    let transport = GossipTransport::new(&config).expect("a transport is configured");
    let deployment = Arc::new(Deployment::new(&config.settings).unwrap());
    let (dispatcher, mut events) = dispatcher::channel(deployment);
    let (outgoing, outgoing_receiver) = GossipTransport::queue();
    let run = tokio::spawn(transport.run(outgoing_receiver, dispatcher, log));

    // The predecessor process still uses the address, so the queued message is dropped. Once the address is free, the
    // transport binds it.
    outgoing.send("lost".into()).await.unwrap();
    while outgoing.capacity() < outgoing.max_capacity() {
        tokio::task::yield_now().await;
    }
    drop(predecessor);
    let send_repeatedly = async {
        loop {
            let _ = outgoing.try_send("to all".into());
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let mut buffer = [0; 300];
    let (length, sender) = tokio::select! {
        received = broadcast.recv_from(&mut buffer) => received.unwrap(),
        () = send_repeatedly => unreachable!(),
    };
    assert_eq!(
        (&buffer[..length], sender.to_string()),
        (&b"to all"[..], listen_address.clone())
    );

    unknown_sender
        .send_to(b"nonsense", &listen_address)
        .await
        .unwrap();
    peer.send_to(b"news", &listen_address).await.unwrap();
    peer.send_to(&[7; 300], &listen_address).await.unwrap();
    for length in [4, 257] {
        match events.recv().await {
            Some(Event::GossipReceived { peer: 1, message }) => assert_eq!(message.len(), length),
            other => panic!("{other:?}"),
        }
    }
    drop(outgoing);
    run.await.unwrap();
}
