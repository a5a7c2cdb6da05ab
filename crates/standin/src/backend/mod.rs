//! Simulated backend server: its limits, its service times and its injected faults.

mod control;
mod execution;
mod faults;
mod load_tracker;
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
pub use load_tracker::ServerReport;
pub use service_time::ServiceTimeSampler;
pub use settings::ServerSettings;

use crate::{error::StandinError, http, metered::MeteredStream};
use state::ServerState;

/// Time after which an idle control connection is closed.
const CONTROL_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// A running backend server stand-in, which stops when dropped.
#[derive(Debug)]
pub struct BackendStandin {
    address: SocketAddr,
    control: SocketAddr,
    state: Arc<ServerState>,
    tasks: [AbortHandle; 2],
}

impl BackendStandin {
    /// Binds the query and control addresses of `settings` and starts serving.
    ///
    /// # Errors
    ///
    /// Fails when an address can't be bound.
    pub async fn start(settings: ServerSettings) -> Result<Self, StandinError> {
        let (query_listener, address) = listen(&settings.name, settings.address).await?;
        let (control_listener, control) = listen(&settings.name, settings.control).await?;
        let state = Arc::new(ServerState::new(settings));
        let tasks = [
            tokio::spawn(accept_query_connections(query_listener, Arc::clone(&state)))
                .abort_handle(),
            tokio::spawn(accept_control_connections(control_listener, Arc::clone(&state)))
                .abort_handle(),
        ];
        Ok(Self { address, control, state, tasks })
    }

    /// Returns the name of the server.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.state.settings().name
    }

    /// Returns the address for queries.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address for control requests.
    #[must_use]
    pub const fn control(&self) -> SocketAddr {
        self.control
    }

    /// Sets the faults that the patch contains.
    pub fn apply_faults(&self, patch: ServerFaultsPatch) {
        self.state.apply_faults(patch);
    }

    /// Returns the requests and connections counted so far.
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
    let to_error =
        |error| StandinError::new(format!("server {name}: listen on {address}: {error}"));
    let listener = TcpListener::bind(address).await.map_err(to_error)?;
    let bound = listener.local_addr().map_err(to_error)?;
    Ok((listener, bound))
}

async fn accept_query_connections(listener: TcpListener, state: Arc<ServerState>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                connections.spawn(serve_query_connection(stream, Arc::clone(&state)));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve_query_connection(stream: TcpStream, state: Arc<ServerState>) {
    let connection = state.open_connection();
    let _ = stream.set_nodelay(true);
    state.pause(state.settings().connect_delay()).await;
    let stream = MeteredStream::new(stream, state.meter());
    let service = service_fn(|request| query::handle_request(&state, connection.id(), request));
    let idle_timeout = state.settings().idle_timeout();
    let _ =
        http::server_builder(idle_timeout).serve_connection(TokioIo::new(stream), service).await;
    let hold_time = state.hold_time_after_close(connection.id());
    if !hold_time.is_zero() {
        sleep(hold_time).await;
    }
}

async fn accept_control_connections(listener: TcpListener, state: Arc<ServerState>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                connections.spawn(serve_control_connection(stream, Arc::clone(&state)));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve_control_connection(stream: TcpStream, state: Arc<ServerState>) {
    let service = service_fn(|request| control::handle_request(&state, request));
    let _ = http::server_builder(CONTROL_IDLE_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service)
        .await;
}
