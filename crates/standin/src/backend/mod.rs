//! Stand-in of a backend server: its limits, its service times and its faults.

mod control;
mod execution;
mod faults;
mod ledger;
mod pause;
mod query;
mod service_time;
mod settings;
mod state;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::{
    net::{TcpListener, TcpStream},
    task::{AbortHandle, JoinSet},
    time::sleep,
};

pub use faults::{HealthState, ServerFaults, ServerFaultsPatch};
pub use ledger::ServerReport;
pub use service_time::ServiceTime;
pub use settings::ServerSettings;

use crate::{error::StandinError, http, metered::MeteredStream};
use state::ServerState;

/// Time after which an idle control connection is closed.
const CONTROL_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// A running backend server stand-in; it stops when dropped.
#[derive(Debug)]
pub struct BackendStandin {
    address: SocketAddr,
    control: SocketAddr,
    state: Arc<ServerState>,
    tasks: [AbortHandle; 2],
}

impl BackendStandin {
    /// Starts to listen for queries and on the control address.
    ///
    /// # Errors
    ///
    /// When an address can't be bound.
    pub async fn start(settings: ServerSettings) -> Result<Self, StandinError> {
        let (queries, address) = listen(&settings.name, settings.address).await?;
        let (controls, control) = listen(&settings.name, settings.control).await?;
        let state = Arc::new(ServerState::new(settings));
        let tasks = [
            tokio::spawn(accept_queries(queries, Arc::clone(&state))).abort_handle(),
            tokio::spawn(accept_controls(controls, Arc::clone(&state))).abort_handle(),
        ];
        Ok(Self { address, control, state, tasks })
    }

    /// Name of the server.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.state.settings().name
    }

    /// Address that takes queries.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Address that takes control requests.
    #[must_use]
    pub const fn control(&self) -> SocketAddr {
        self.control
    }

    /// Changes the faults named by the patch.
    pub fn apply_faults(&self, patch: ServerFaultsPatch) {
        self.state.apply_faults(patch);
    }

    /// What the server has seen so far.
    #[must_use]
    pub fn report(&self) -> ServerReport {
        self.state.report()
    }
}

impl Drop for BackendStandin {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

async fn listen(
    name: &str,
    address: SocketAddr,
) -> Result<(TcpListener, SocketAddr), StandinError> {
    let fail = |error| StandinError::new(format!("server {name}: listen on {address}: {error}"));
    let listener = TcpListener::bind(address).await.map_err(fail)?;
    let bound = listener.local_addr().map_err(fail)?;
    Ok((listener, bound))
}

async fn accept_queries(listener: TcpListener, state: Arc<ServerState>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                connections.spawn(serve_queries(stream, Arc::clone(&state)));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve_queries(stream: TcpStream, state: Arc<ServerState>) {
    let connection = state.open_connection();
    let _ = stream.set_nodelay(true);
    state.pause(state.settings().connect_delay()).await;
    let stream = MeteredStream::new(stream, state.bytes());
    let service = service_fn(|request| query::answer(&state, connection.id(), request));
    let idle_timeout = state.settings().idle_timeout();
    let _ = http::server(idle_timeout).serve_connection(TokioIo::new(stream), service).await;
    let held_time = state.held_time(connection.id());
    if !held_time.is_zero() {
        sleep(held_time).await;
    }
}

async fn accept_controls(listener: TcpListener, state: Arc<ServerState>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                connections.spawn(serve_controls(stream, Arc::clone(&state)));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve_controls(stream: TcpStream, state: Arc<ServerState>) {
    let service = service_fn(|request| control::answer(&state, request));
    let _ =
        http::server(CONTROL_IDLE_TIMEOUT).serve_connection(TokioIo::new(stream), service).await;
}
