//! Signals: stop and reload.

use std::rc::Rc;

use carobstep_clock::BootTime;
use carobstep_tier::LifecyclePhase;
use log::{info, warn};
use tokio::{
    signal::unix::{SignalKind, signal},
    task::spawn_local,
    time::{Duration, sleep},
};

use crate::{gateway::Gateway, main_entry::load_settings, membership};

/// Interval at which a stopping node looks whether its next step is due.
const STOP_TICK: Duration = Duration::from_millis(50);

/// Returns when the process has to end.
pub(crate) async fn wait_for_end(gateway: Rc<Gateway>) -> std::io::Result<()> {
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
    gateway.state.borrow_mut().lifecycle.stop(BootTime::now());
    info!(in_flight = gateway.state.borrow().in_flight; "stopping");
    let leaving = gateway.clone();
    spawn_local(async move { membership::leave(&leaving).await });
    let mut phase = gateway.phase();
    while phase == LifecyclePhase::Leaving {
        sleep(STOP_TICK).await;
        phase = gateway.phase();
    }
    gateway.closing.send_replace(true);
    while phase != LifecyclePhase::Ended {
        sleep(STOP_TICK).await;
        phase = gateway.phase();
    }
    // Lets the last answers leave their sockets.
    sleep(STOP_TICK).await;
    let in_flight = gateway.state.borrow().in_flight;
    if in_flight > 0 {
        warn!(in_flight = in_flight; "stopped with requests in flight");
    } else {
        info!("stopped");
    }
    Ok(())
}

/// Reads the settings file again after a signal. What a process was started
/// with stays in force: listeners and limits are bound to it.
fn check_settings(gateway: &Gateway) {
    match load_settings() {
        Ok(settings) => {
            let changed = settings != gateway.settings;
            info!(changed = changed; "settings read again; changes hold from the next start");
        }
        Err(faults) => warn!(faults = faults.as_str(); "settings can't be read again"),
    }
}
