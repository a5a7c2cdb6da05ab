//! Signal handling: graceful shutdown, and settings check on SIGHUP.

use std::rc::Rc;

use carobstep_clock::BootTime;
use carobstep_tier::LifecyclePhase;
use log::{info, warn};
use tokio::{
    signal::unix::{SignalKind, signal},
    task::spawn_local,
    time::{Duration, sleep},
};

use crate::{
    account_handover::hand_over_all, gateway::Gateway, main_entry::load_settings, membership,
};

/// Interval at which a stopping node checks whether its next phase has begun.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Waits for SIGTERM or SIGINT, shuts down gracefully, and returns when the
/// process can exit.
///
/// # Errors
///
/// Fails when a signal handler can't be installed.
pub(crate) async fn wait_for_exit(gateway: Rc<Gateway>) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => check_settings(&gateway),
        }
    }
    {
        let state = &mut *gateway.state.borrow_mut();
        state.lifecycle.stop(BootTime::now());
        state.fleet.set_horizon(state.lifecycle.horizon());
    }
    info!(in_flight = gateway.state.borrow().in_flight; "stopping");
    hand_over_all(&gateway);
    let deregistering = gateway.clone();
    spawn_local(async move { membership::deregister(&deregistering).await });
    let mut phase = gateway.phase();
    while phase == LifecyclePhase::Leaving {
        sleep(STOP_CHECK_INTERVAL).await;
        phase = gateway.phase();
    }
    gateway.closing.send_replace(true);
    while phase != LifecyclePhase::Ended {
        sleep(STOP_CHECK_INTERVAL).await;
        phase = gateway.phase();
    }
    // Gives the last responses time to leave their sockets.
    sleep(STOP_CHECK_INTERVAL).await;
    let in_flight = gateway.state.borrow().in_flight;
    let answering = gateway.callers.callers.answering();
    if in_flight + answering > 0 {
        warn!(
            in_flight = in_flight, unsent_responses = answering;
            "stopped with requests in flight"
        );
    } else {
        info!("stopped");
    }
    Ok(())
}

/// Reads the settings file again and logs whether it changed. The running
/// process keeps its settings, because listeners and limits are bound to them.
fn check_settings(gateway: &Gateway) {
    match load_settings() {
        Ok(settings) => {
            let changed = settings != gateway.settings;
            info!(changed = changed; "settings reread; changes take effect at the next start");
        }
        Err(errors) => {
            warn!(
                faults = errors.as_str();
                "rereading the settings failed; the settings in use stay in effect"
            );
        }
    }
}
