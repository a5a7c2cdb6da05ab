//! Limits on the bytes of responses that the process reads and holds.
//!
//! A faulty server may send bytes without end, in a header section or in a body, and a
//! search reads the responses of hundreds of servers at the same time. Bytes are counted
//! where they leave the socket, so that the limits cover whatever they are parsed as.

use std::{
    cell::{Cell, RefCell},
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Limit on the response bytes that the process holds.
#[derive(Debug)]
pub(crate) struct ByteBudget {
    max_bytes: usize,
    held_bytes: Cell<usize>,
}

impl ByteBudget {
    pub(crate) const fn new(max_bytes: usize) -> Self {
        Self { max_bytes, held_bytes: Cell::new(0) }
    }

    /// Starts to count the bytes of a response of at most `max_bytes`.
    pub(crate) fn reserve(self: &Rc<Self>, max_bytes: usize) -> Rc<ByteReservation> {
        Rc::new(ByteReservation {
            budget: self.clone(),
            max_bytes,
            held_bytes: Cell::new(0),
            is_exceeded: Cell::new(false),
        })
    }

    fn try_hold(&self, bytes: usize) -> bool {
        let held_bytes = self.held_bytes.get().saturating_add(bytes);
        if held_bytes > self.max_bytes {
            return false;
        }
        self.held_bytes.set(held_bytes);
        true
    }

    fn release(&self, bytes: usize) {
        self.held_bytes.set(self.held_bytes.get().saturating_sub(bytes));
    }
}

/// Bytes of one response; released on drop.
#[derive(Debug)]
pub(crate) struct ByteReservation {
    budget: Rc<ByteBudget>,
    max_bytes: usize,
    held_bytes: Cell<usize>,
    is_exceeded: Cell<bool>,
}

impl ByteReservation {
    /// Whether the response exceeded its limit or that of the process.
    pub(crate) const fn is_exceeded(&self) -> bool {
        self.is_exceeded.get()
    }

    /// Records that the response is too long.
    pub(crate) fn exceed(&self) {
        self.is_exceeded.set(true);
    }

    /// Counts bytes of the response; returns whether the limits allow them.
    pub(crate) fn try_hold(&self, bytes: usize) -> bool {
        let held_bytes = self.held_bytes.get().saturating_add(bytes);
        if held_bytes > self.max_bytes || !self.budget.try_hold(bytes) {
            self.is_exceeded.set(true);
            return false;
        }
        self.held_bytes.set(held_bytes);
        true
    }
}

impl Drop for ByteReservation {
    fn drop(&mut self) {
        self.budget.release(self.held_bytes.get());
    }
}

/// Counts the bytes that are read from one connection against the response that is
/// being read.
#[derive(Debug)]
pub(crate) struct ByteMeter {
    budget: Rc<ByteBudget>,
    reservation: RefCell<Rc<ByteReservation>>,
}

impl ByteMeter {
    /// Creates a meter that allows no bytes until [`ByteMeter::start`].
    pub(crate) fn new(budget: Rc<ByteBudget>) -> Self {
        let reservation = RefCell::new(budget.reserve(0));
        Self { budget, reservation }
    }

    /// Starts a response of at most `max_bytes`.
    pub(crate) fn start(&self, max_bytes: usize) -> Rc<ByteReservation> {
        let reservation = self.budget.reserve(max_bytes);
        self.reservation.replace(reservation.clone());
        reservation
    }

    /// Ends a response: releases its bytes unless the response still exists, and allows
    /// no further ones.
    pub(crate) fn stop(&self) {
        self.start(0);
    }
}

/// A socket whose received bytes are counted; reading fails beyond the limit.
#[derive(Debug)]
pub(crate) struct MeteredStream {
    socket: TcpStream,
    meter: Rc<ByteMeter>,
}

impl MeteredStream {
    pub(crate) const fn new(socket: TcpStream, meter: Rc<ByteMeter>) -> Self {
        Self { socket, meter }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        let polled = Pin::new(&mut self.socket).poll_read(context, buffer);
        let count = buffer.filled().len() - filled_before;
        if count > 0 && !self.meter.reservation.borrow().try_hold(count) {
            return Poll::Ready(Err(io::Error::other("the response exceeds the limit of bytes")));
        }
        polled
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }
}
