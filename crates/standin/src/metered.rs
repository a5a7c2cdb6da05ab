//! A TCP stream that counts its bytes and can send each response twice.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Byte counters and the duplication fault shared by all connections of one listener.
#[derive(Debug, Default)]
pub(crate) struct ConnectionMeter {
    /// Total bytes received.
    pub(crate) received: AtomicU64,
    /// Total bytes sent, without duplicates.
    pub(crate) sent: AtomicU64,
    /// Whether sent bytes are sent a second time when the stream is flushed.
    pub(crate) duplicate: AtomicBool,
}

/// A TCP stream that records its traffic in a [`ConnectionMeter`] and applies its duplication fault.
#[derive(Debug)]
pub(crate) struct MeteredStream {
    stream: TcpStream,
    meter: Arc<ConnectionMeter>,
    /// Bytes sent once that the next flush sends again.
    duplicate_buf: Vec<u8>,
}

impl MeteredStream {
    /// Wraps `stream`, recording its traffic in `meter`.
    pub(crate) const fn new(stream: TcpStream, meter: Arc<ConnectionMeter>) -> Self {
        Self { stream, meter, duplicate_buf: Vec::new() }
    }

    fn record_sent(&mut self, sent: &[u8]) {
        self.meter.sent.fetch_add(sent.len() as u64, Ordering::Relaxed);
        if self.meter.duplicate.load(Ordering::Relaxed) {
            self.duplicate_buf.extend_from_slice(sent);
        }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        let received = buffer.filled().len() - before;
        self.meter.received.fetch_add(received as u64, Ordering::Relaxed);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let sent = ready!(Pin::new(&mut self.stream).poll_write(cx, buffer))?;
        self.record_sent(&buffer[..sent]);
        Poll::Ready(Ok(sent))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.duplicate_buf.is_empty() {
            let this = &mut *self;
            let sent = ready!(Pin::new(&mut this.stream).poll_write(cx, &this.duplicate_buf))?;
            this.duplicate_buf.drain(..sent);
        }
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
