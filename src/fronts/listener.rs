//! Connections from clients: taken, bounded, and ended in order.

use axum::Router;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use slog::{info, warn, Logger};
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{watch, Semaphore};
use tokio::task::JoinSet;
use tokio::time::sleep;

/// A client that takes longer over a request's head, or lets a connection stand idle longer, is cut off.
const HEAD_TIME: Duration = Duration::from_secs(90);
/// A connection's read buffer: a head must fit.
const BUFFER: usize = 16 * 1024;

/// Serves clients until `stop` turns true; then no more connections are taken, those that are idle are
/// closed, and it returns when all are over. `most` is the most connections at once.
pub async fn serve(
    listener: TcpListener, routes: Router, most: usize, mut stop: watch::Receiver<bool>, log: Logger,
) {
    let places = Arc::new(Semaphore::new(most));
    let mut connections = JoinSet::new();
    let mut pause = Duration::from_millis(5);
    let mut stopping = stop.clone();
    loop {
        while connections.try_join_next().is_some() {}
        let accepted = tokio::select! {
            biased;
            _ = stopping.wait_for(|stop| *stop) => break,
            accepted = async {
                // At the limit, new connections wait in the listener's queue: none is dropped.
                let place = places.clone().acquire_owned().await;
                (listener.accept().await, place)
            } => accepted,
        };
        let (stream, place) = match accepted {
            (Ok((stream, _)), Ok(place)) => (stream, place),
            (Err(error), _) => {
                // Out of descriptors, or the client was too quick: trying at once would spin.
                warn!(log, "accept failed"; "error" => %error);
                sleep(pause).await;
                pause = (pause * 2).min(Duration::from_millis(200));
                continue;
            }
            (_, Err(_)) => break,
        };
        pause = Duration::from_millis(5);
        let _ = stream.set_nodelay(true);
        let service = TowerToHyperService::new(routes.clone());
        let mut stop = stop.clone();
        connections.spawn(async move {
            let mut http = hyper::server::conn::http1::Builder::new();
            http.timer(TokioTimer::new()).header_read_timeout(HEAD_TIME).max_buf_size(BUFFER);
            let mut connection = pin!(http.serve_connection(TokioIo::new(stream), service).with_upgrades());
            let ended = tokio::select! {
                ended = connection.as_mut() => Some(ended),
                _ = stop.wait_for(|stop| *stop) => None,
            };
            if ended.is_none() {
                connection.as_mut().graceful_shutdown();
                let _ = connection.await;
            }
            drop(place);
        });
    }
    drop(listener);
    info!(log, "no more connections are taken"; "open" => connections.len());
    let _ = stop.wait_for(|stop| *stop).await;
    while connections.join_next().await.is_some() {}
}
