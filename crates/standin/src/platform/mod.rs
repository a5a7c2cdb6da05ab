//! Stand-in of the platform: its object API, its VM list and its faults.

mod calls;
mod faults;
mod objects;
mod request;
mod routes;
mod state;
mod vms;
mod watch;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use carobstep_store::{ObjectKind, ObjectVersion, VmRecord};
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::{
    net::{TcpListener, TcpStream},
    task::{AbortHandle, JoinSet},
};

pub use calls::CallReport;
pub use faults::{PlatformFaults, PlatformFaultsPatch};

use crate::{error::StandinError, http, metered::MeteredStream};
use state::{ConnectionState, PlatformState};

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// What a platform stand-in starts with.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformSettings {
    /// Address to listen on; port 0 takes a free port.
    pub address: SocketAddr,
    /// The VM list.
    pub vms: Vec<VmRecord>,
    /// Objects that exist from the start, written in this order.
    pub objects: Vec<SeedObject>,
    /// Changes that stay available to watches.
    pub watch_history: usize,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            vms: Vec::new(),
            objects: Vec::new(),
            watch_history: 16_384,
        }
    }
}

/// An object that exists from the start.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SeedObject {
    /// Kind of the object.
    pub kind: ObjectKind,
    /// Name of the object.
    pub name: String,
    /// Its value.
    pub value: serde_json::Value,
}

/// A running platform stand-in; it stops when dropped.
#[derive(Debug)]
pub struct PlatformStandin {
    address: SocketAddr,
    state: Arc<PlatformState>,
    task: AbortHandle,
}

impl PlatformStandin {
    /// Starts to listen.
    ///
    /// # Errors
    ///
    /// When the address can't be bound or a seed object has no valid JSON form.
    pub async fn start(settings: PlatformSettings) -> Result<Self, StandinError> {
        let listener = TcpListener::bind(settings.address).await.map_err(|error| {
            StandinError::new(format!("listen on {}: {error}", settings.address))
        })?;
        let address = listener
            .local_addr()
            .map_err(|error| StandinError::new(format!("address of the listener: {error}")))?;
        let state = Arc::new(PlatformState::new(settings)?);
        let task = tokio::spawn(accept(listener, Arc::clone(&state))).abort_handle();
        Ok(Self { address, state, task })
    }

    /// Address that it listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the faults named by the patch.
    pub fn apply_faults(&self, patch: PlatformFaultsPatch) {
        self.state.apply_faults(patch);
    }

    /// The calls counted so far.
    #[must_use]
    pub fn report(&self) -> CallReport {
        self.state.report()
    }

    /// Adds or replaces an entry of the VM list.
    pub fn put_vm(&self, vm: VmRecord) {
        self.state.put_vm(vm);
    }

    /// Removes an entry of the VM list.
    pub fn remove_vm(&self, name: &str) {
        self.state.remove_vm(name);
    }

    /// Version and value of an object, past all faults.
    #[must_use]
    pub fn object(
        &self,
        kind: ObjectKind,
        name: &str,
    ) -> Option<(ObjectVersion, serde_json::Value)> {
        self.state.object(kind, name)
    }
}

impl Drop for PlatformStandin {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, state: Arc<PlatformState>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                connections.spawn(serve(stream, Arc::clone(&state)));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

/// Serves one connection until either end closes it or a fault severs it.
async fn serve(stream: TcpStream, state: Arc<PlatformState>) {
    let _ = stream.set_nodelay(true);
    let stream = MeteredStream::new(stream, state.bytes());
    let connection = Arc::new(ConnectionState::default());
    let service = service_fn(|request| routes::answer(&state, &connection, request));
    let serving = http::server(IDLE_TIMEOUT).serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        _ = serving => {}
        () = state.severed(&connection) => {}
    }
}
