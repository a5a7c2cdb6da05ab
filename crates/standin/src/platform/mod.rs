//! Simulated platform: its object API, its VM list and its injected faults.

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

/// Startup settings of a platform stand-in.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformSettings {
    /// Address to listen on; port 0 selects a free port.
    pub address: SocketAddr,
    /// Initial VM list.
    pub vms: Vec<VmRecord>,
    /// Objects that exist at startup, written in this order.
    pub objects: Vec<SeedObject>,
    /// Number of recent changes from which a watch can start.
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

/// An object that exists at startup.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SeedObject {
    /// Kind of the object.
    pub kind: ObjectKind,
    /// Name of the object.
    pub name: String,
    /// Value of the object.
    pub value: serde_json::Value,
}

/// A running platform stand-in, which stops when dropped.
#[derive(Debug)]
pub struct PlatformStandin {
    address: SocketAddr,
    state: Arc<PlatformState>,
    task: AbortHandle,
}

impl PlatformStandin {
    /// Binds the address of `settings` and starts serving.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound or two seed objects have the same kind and name.
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

    /// Returns the address on which the stand-in listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the faults that the patch contains.
    pub fn apply_faults(&self, patch: PlatformFaultsPatch) {
        self.state.apply_faults(patch);
    }

    /// Returns the calls counted so far.
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

    /// Returns the current version and value of an object, ignoring faults such as stale reads.
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

/// Serves one connection until either end closes it or a fault drops it.
async fn serve(stream: TcpStream, state: Arc<PlatformState>) {
    let _ = stream.set_nodelay(true);
    let stream = MeteredStream::new(stream, state.meter());
    let connection = Arc::new(ConnectionState::default());
    let service = service_fn(|request| routes::handle_request(&state, &connection, request));
    let serving =
        http::server_builder(IDLE_TIMEOUT).serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        _ = serving => {}
        () = state.wait_for_drop(&connection) => {}
    }
}
