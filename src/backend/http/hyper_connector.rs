//! Adapts the [`Connector`] and its [`Transport`] to hyper-util's client.

use crate::backend::connector::{ConnectError, Connector};
use crate::backend::transport::Transport;
use hyper::Uri;
use hyper_util::client::legacy::connect::{Connected, Connection};
use hyper_util::rt::TokioIo;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Wraps a [`Transport`] with the traits that hyper-util's client requires.
pub struct HttpTransport(TokioIo<Transport>);

impl Connection for HttpTransport {
    fn connected(&self) -> Connected {
        Connected::new().extra(self.0.inner().connection().clone())
    }
}

impl hyper::rt::Read for HttpTransport {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: hyper::rt::ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_read(context, buffer)
    }
}

impl hyper::rt::Write for HttpTransport {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        hyper::rt::Write::poll_write(Pin::new(&mut self.0), context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        hyper::rt::Write::poll_flush(Pin::new(&mut self.0), context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        hyper::rt::Write::poll_shutdown(Pin::new(&mut self.0), context)
    }

    fn is_write_vectored(&self) -> bool {
        hyper::rt::Write::is_write_vectored(&self.0)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        hyper::rt::Write::poll_write_vectored(Pin::new(&mut self.0), context, slices)
    }
}

impl tower_service::Service<Uri> for Connector {
    type Response = HttpTransport;
    type Error = ConnectError;
    type Future = Pin<Box<dyn Future<Output = Result<HttpTransport, ConnectError>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), ConnectError>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let connector = self.clone();
        Box::pin(async move {
            let address = uri.authority().map_or("", |authority| authority.as_str());
            let transport = connector.connect_in_time(address).await?;
            Ok(HttpTransport(TokioIo::new(transport)))
        })
    }
}
