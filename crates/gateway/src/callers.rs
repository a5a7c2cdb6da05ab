//! Connections of clients: what they hold, how fast they send and read, and their end.
//!
//! The decisions are in [`CallerBudget`]; this module reports to it what happens on the
//! sockets and ends the connections that it names.

use std::{
    cell::{Cell, RefCell},
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use carobstep_clock::BootTime;
use carobstep_tier::{
    CallerBounds, CallerBudget, CallerFault, CallerKey, CallerLimits, CallerPhase, MAX_ROOM_WAIT,
    MAX_SENT_AHEAD,
};
use http::HeaderMap;
use slotmap::SecondaryMap;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    sync::{Notify, Semaphore, SemaphorePermit},
    time::{sleep, timeout},
};

use crate::gateway::Gateway;

/// Interval between two checks of the time that connections take.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Pause before a new connection looks for room again.
const FULL_PAUSE: Duration = Duration::from_millis(20);

/// Bytes that the parsed form of a header field takes beside its text.
const FIELD_BYTES: usize = 160;

/// Limits of the listener for readiness checks.
const READINESS_BOUNDS: CallerBounds =
    CallerBounds { max_connections: 128, max_bytes: 1024 * 1024 };

/// Limits of the listener for metrics.
const METRICS_BOUNDS: CallerBounds = CallerBounds { max_connections: 32, max_bytes: 1024 * 1024 };

/// Connections of all listeners for clients.
pub(crate) struct CallerListeners {
    pub(crate) callers: Rc<CallerListener>,
    pub(crate) readiness: Rc<CallerListener>,
    pub(crate) metrics: Rc<CallerListener>,
}

impl CallerListeners {
    pub(crate) fn new(memory_bytes: Option<usize>, max_descriptors: Option<usize>) -> Self {
        let bounds = CallerBounds::within(memory_bytes, max_descriptors);
        Self {
            callers: Rc::new(CallerListener::new(bounds)),
            readiness: Rc::new(CallerListener::new(READINESS_BOUNDS)),
            metrics: Rc::new(CallerListener::new(METRICS_BOUNDS)),
        }
    }
}

/// Ends connections that take too long, for the lifetime of the process.
pub(crate) async fn limit_callers(gateway: Rc<Gateway>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        let limits = gateway.state.borrow().configuration.limits;
        let CallerListeners { callers, readiness, metrics } = &gateway.callers;
        for listener in [callers, readiness, metrics] {
            listener.budget.borrow_mut().expire(BootTime::now(), &limits);
            listener.end_evicted(&gateway);
        }
    }
}

/// Connections of one listener.
pub(crate) struct CallerListener {
    budget: RefCell<CallerBudget>,
    connections: RefCell<SecondaryMap<CallerKey, Rc<EvictionSignal>>>,
    /// Room for requests that were sent ahead.
    ahead: Semaphore,
    /// Number of connections whose answers have not been sent completely.
    answering: Cell<usize>,
}

/// Permit of a request that was sent ahead; `None` for other requests.
pub(crate) type TurnPermit<'listener> = Option<SemaphorePermit<'listener>>;

/// Tells the tasks of a connection that it has to end.
#[derive(Debug, Default)]
struct EvictionSignal {
    /// What the connection was used for when it was evicted.
    phase: Cell<Option<CallerPhase>>,
    notify: Notify,
}

impl CallerListener {
    fn new(bounds: CallerBounds) -> Self {
        Self {
            budget: RefCell::new(CallerBudget::new(bounds)),
            connections: RefCell::new(SecondaryMap::new()),
            ahead: Semaphore::new(MAX_SENT_AHEAD),
            answering: Cell::new(0),
        }
    }

    /// Returns the number of connections and the bytes that they hold beyond what each one
    /// may hold.
    pub(crate) fn usage(&self) -> (usize, usize) {
        let budget = self.budget.borrow();
        (budget.connections(), budget.held_bytes())
    }

    /// Returns the number of answers that have not been sent completely.
    pub(crate) const fn answering(&self) -> usize {
        self.answering.get()
    }

    /// Registers a new connection, as soon as there is room for it.
    pub(crate) async fn connect(self: &Rc<Self>, gateway: &Rc<Gateway>) -> Rc<CallerConnection> {
        loop {
            let key = self.budget.borrow_mut().connect(BootTime::now());
            self.end_evicted(gateway);
            let Some(key) = key else {
                sleep(FULL_PAUSE).await;
                continue;
            };
            let signal = Rc::<EvictionSignal>::default();
            self.connections.borrow_mut().insert(key, signal.clone());
            return Rc::new(CallerConnection {
                gateway: gateway.clone(),
                listener: self.clone(),
                key,
                signal,
                phase: Cell::new(CallerPhase::Idle),
                has_read_ahead: Cell::new(false),
                is_next_ahead: Cell::new(false),
            });
        }
    }

    /// Tells the evicted connections to end.
    fn end_evicted(&self, gateway: &Gateway) {
        let evictions = self.budget.borrow_mut().take_evictions();
        for eviction in evictions {
            gateway.reporter.count_caller_fault(eviction.fault);
            let connections = self.connections.borrow();
            let Some(signal) = connections.get(eviction.key) else { continue };
            signal.phase.set(Some(eviction.phase));
            signal.notify.notify_waiters();
        }
    }
}

/// One connection; removed from its listener on drop.
pub(crate) struct CallerConnection {
    gateway: Rc<Gateway>,
    listener: Rc<CallerListener>,
    key: CallerKey,
    signal: Rc<EvictionSignal>,
    phase: Cell<CallerPhase>,
    /// Whether bytes have arrived during the request in progress.
    has_read_ahead: Cell<bool>,
    /// Whether nothing has arrived since the last answer was sent, so that a request that
    /// begins was sent ahead.
    is_next_ahead: Cell<bool>,
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        self.count_answer(false);
        self.listener.budget.borrow_mut().disconnect(self.key);
        self.listener.connections.borrow_mut().remove(self.key);
    }
}

impl CallerConnection {
    pub(crate) fn phase(&self) -> CallerPhase {
        self.phase.get()
    }

    pub(crate) fn limits(&self) -> CallerLimits {
        self.gateway.state.borrow().configuration.limits
    }

    /// Whether the connection has to end.
    pub(crate) fn is_evicted(&self) -> bool {
        self.signal.phase.get().is_some()
    }

    /// Whether the request in progress may be answered before the connection ends.
    pub(crate) fn is_answerable(&self) -> bool {
        self.signal.phase.get() == Some(CallerPhase::Body)
    }

    /// Waits until the connection has to end.
    pub(crate) async fn evicted(&self) {
        let notified = self.signal.notify.notified();
        if !self.is_evicted() {
            notified.await;
        }
    }

    pub(crate) fn enter(&self, phase: CallerPhase) {
        self.count_answer(phase == CallerPhase::Answer);
        self.phase.set(phase);
        self.listener.budget.borrow_mut().enter(BootTime::now(), self.key, phase);
    }

    /// Adjusts the number of answers that have not been sent completely.
    fn count_answer(&self, is_answering: bool) {
        let was_answering = self.phase() == CallerPhase::Answer;
        let answering = &self.listener.answering;
        answering.set(answering.get() + usize::from(is_answering) - usize::from(was_answering));
    }

    /// Waits until a request that was sent ahead may be executed; `None` if there is no
    /// room for it in time.
    pub(crate) async fn wait_for_turn(&self, is_sent_ahead: bool) -> Option<TurnPermit<'_>> {
        if !is_sent_ahead {
            return Some(None);
        }
        let permit = timeout(MAX_ROOM_WAIT, self.listener.ahead.acquire()).await;
        permit.ok()?.ok().map(Some)
    }

    /// Whether the request that begins was sent before the last answer was.
    pub(crate) const fn is_sent_ahead(&self) -> bool {
        self.is_next_ahead.get()
    }

    /// Records that everything that has arrived belongs to the request in progress.
    pub(crate) fn end_body(&self) {
        self.has_read_ahead.set(false);
        if self.phase() == CallerPhase::Head {
            self.enter(CallerPhase::Idle);
        }
    }

    /// Starts a request; returns whether there is room for its header section.
    pub(crate) fn begin(&self, headers: &HeaderMap) -> bool {
        self.has_read_ahead.set(false);
        self.enter(CallerPhase::Working);
        let field_bytes = headers.len() * FIELD_BYTES;
        self.try_hold(header_bytes(headers) + field_bytes)
    }

    /// Charges the connection with bytes of its request; returns whether there is room.
    pub(crate) fn try_hold(&self, bytes: usize) -> bool {
        let has_room = self.listener.budget.borrow_mut().try_hold(BootTime::now(), self.key, bytes);
        self.listener.end_evicted(&self.gateway);
        has_room
    }

    /// Starts to send an answer with a body of that many bytes.
    pub(crate) fn begin_answer(&self, bytes: usize) {
        self.enter(CallerPhase::Answer);
        self.listener.budget.borrow_mut().hold_answer(BootTime::now(), self.key, bytes);
        self.listener.end_evicted(&self.gateway);
    }

    pub(crate) fn count_fault(&self, fault: CallerFault) {
        self.gateway.reporter.count_caller_fault(fault);
    }

    fn record_progress(&self, bytes: usize) {
        self.listener.budget.borrow_mut().record_progress(BootTime::now(), self.key, bytes);
    }

    fn on_read(&self, bytes: usize) {
        match self.phase.get() {
            CallerPhase::Idle => {
                self.is_next_ahead.set(false);
                self.enter(CallerPhase::Head);
            }
            CallerPhase::Body => self.record_progress(bytes),
            CallerPhase::Working | CallerPhase::Answer => self.has_read_ahead.set(true),
            CallerPhase::Head => {}
        }
    }

    fn on_written(&self, bytes: usize) {
        if self.phase.get() == CallerPhase::Answer {
            self.record_progress(bytes);
        }
    }

    fn on_flushed(&self) {
        if self.phase.get() != CallerPhase::Answer {
            return;
        }
        self.is_next_ahead.set(true);
        self.enter(CallerPhase::Idle);
        if self.has_read_ahead.get() {
            self.enter(CallerPhase::Head);
        }
    }
}

/// Returns the size of the fields of a header section.
pub(crate) fn header_bytes(headers: &HeaderMap) -> usize {
    headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 4).sum()
}

/// A client's socket, which reports what is received and sent.
pub(crate) struct CallerStream {
    socket: TcpStream,
    connection: Rc<CallerConnection>,
}

impl CallerStream {
    pub(crate) const fn new(socket: TcpStream, connection: Rc<CallerConnection>) -> Self {
        Self { socket, connection }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        let polled = Pin::new(&mut self.socket).poll_read(context, buffer);
        let count = buffer.filled().len() - filled_before;
        if count > 0 {
            self.connection.on_read(count);
        }
        polled
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.socket).poll_write(context, bytes);
        if let Poll::Ready(Ok(count)) = polled {
            self.connection.on_written(count);
        }
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.socket).poll_write_vectored(context, slices);
        if let Poll::Ready(Ok(count)) = polled {
            self.connection.on_written(count);
        }
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The HTTP implementation flushes when it has written all of its buffer.
        let polled = Pin::new(&mut self.socket).poll_flush(context);
        if polled.is_ready() {
            self.connection.on_flushed();
        }
        polled
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }
}
