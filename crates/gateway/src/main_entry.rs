//! Main function of the gateway daemon.

use std::{env, fs, net::SocketAddr, process::ExitCode, rc::Rc, sync::Arc};

use carobstep_logging::LogSink;
use carobstep_platform::{SETTINGS_VARIABLE, read_settings};
use carobstep_tier::{CallerBounds, NodeSettings};
use carobstep_wire::{PeerBounds, serve_peers_within};
use eyre::WrapErr;
use log::{LevelFilter, info};
use tokio::{net::TcpListener, task::LocalSet, task::spawn_local};

use crate::{
    account_handover::hand_over_accounts,
    account_quota::announce_short_accounts,
    args::GatewayArgs,
    callers::limit_callers,
    cold::ask_for_cold,
    crash_store::store_crashes,
    follow::follow_peer,
    gateway::Gateway,
    ingress,
    links::monitor_links,
    membership,
    observations::share_observations,
    peers::{PeerBridge, serve_calls},
    quarantine::announce_quarantines,
    quota::ask_for_tokens,
    report::Reporter,
    shares::ask_for_extra,
    stop,
    watcher::{remove_expired, watch_store},
};

/// Exit code for an invalid command line or settings file.
const EXIT_USAGE: u8 = 2;

/// Runs the gateway daemon with the arguments that follow the `gateway` mode argument.
#[must_use]
pub fn main(args: &[String]) -> ExitCode {
    let args = match GatewayArgs::try_from(args) {
        Ok(args) => args,
        Err(error) => {
            eprintln!("carobstepd gateway: {error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if let GatewayArgs::Help(text) = args {
        println!("{text}");
        return ExitCode::SUCCESS;
    }
    let settings = match load_settings() {
        Ok(settings) => settings,
        Err(errors) => {
            eprintln!("{errors}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let GatewayArgs::Run { metrics } = args else { return ExitCode::SUCCESS };
    match run(settings, metrics) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("carobstepd gateway: {report:#}");
            ExitCode::FAILURE
        }
    }
}

/// Loads the settings file that [`SETTINGS_VARIABLE`] names.
pub(crate) fn load_settings() -> Result<NodeSettings, String> {
    let path = env::var(SETTINGS_VARIABLE).map_err(|error| {
        format!(
            "environment variable {SETTINGS_VARIABLE}, expected to hold the path of the \
                 settings file: {error}"
        )
    })?;
    let text = fs::read_to_string(&path).map_err(|error| format!("{path}: {error}"))?;
    read_settings(&path, &text).map_err(|errors| errors.to_string())
}

fn run(settings: NodeSettings, metrics: Option<u16>) -> eyre::Result<()> {
    carobstep_logging::install(LevelFilter::Info, &settings.node, &settings.zone, LogSink::Stdout)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("cannot start the async runtime")?;
    let result = LocalSet::new().block_on(&runtime, serve(settings, metrics));
    log::logger().flush();
    result
}

async fn serve(settings: NodeSettings, metrics: Option<u16>) -> eyre::Result<()> {
    let caller_listener = bind("callers", settings.caller_listener).await?;
    let readiness_listener = bind("readiness", settings.readiness_listener).await?;
    let peer_address = SocketAddr::new(settings.caller_listener.ip(), settings.peer_port);
    let peer_listener = bind("peers", peer_address).await?;
    let reporter = Reporter::new().wrap_err("cannot register the metrics")?;
    let gateway = Rc::new(Gateway::new(settings, reporter));
    if let Some(port) = metrics {
        let address = SocketAddr::new(gateway.settings.caller_listener.ip(), port);
        let listener = bind("metrics", address).await?;
        spawn_local(ingress::serve_metrics(gateway.clone(), listener));
    }
    let (bridge, calls) = PeerBridge::new();
    spawn_local(serve_calls(gateway.clone(), calls));
    let settings = &gateway.settings;
    let bounds = CallerBounds::for_peers(settings.memory_bytes, settings.max_descriptors);
    let bounds =
        PeerBounds { max_connections: bounds.max_connections, max_frame_bytes: bounds.max_bytes };
    let stop = gateway.closing.subscribe();
    spawn_local(serve_peers_within(peer_listener, Arc::new(bridge), bounds, stop));
    membership::register(&gateway);
    spawn_local(watch_store(gateway.clone()));
    spawn_local(follow_peer(gateway.clone()));
    spawn_local(remove_expired(gateway.clone()));
    spawn_local(ask_for_tokens(gateway.clone()));
    spawn_local(ask_for_extra(gateway.clone()));
    spawn_local(ask_for_cold(gateway.clone()));
    spawn_local(share_observations(gateway.clone()));
    spawn_local(announce_short_accounts(gateway.clone()));
    spawn_local(hand_over_accounts(gateway.clone()));
    spawn_local(announce_quarantines(gateway.clone()));
    spawn_local(store_crashes(gateway.clone()));
    spawn_local(monitor_links(gateway.clone()));
    spawn_local(limit_callers(gateway.clone()));
    spawn_local(ingress::serve_readiness(gateway.clone(), readiness_listener));
    spawn_local(ingress::serve_callers(gateway.clone(), caller_listener));
    info!(callers:% = gateway.settings.caller_listener; "started");
    stop::wait_for_exit(gateway).await.wrap_err("cannot install the signal handlers")
}

async fn bind(name: &str, address: SocketAddr) -> eyre::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("cannot bind the {name} listener to {address}"))
}
