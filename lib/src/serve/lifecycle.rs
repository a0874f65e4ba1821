//! The daemon's life: start, reload, a stop that cuts no request.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::serve::accept;
use crate::serve::apply_updates;
use crate::serve::daemon_state::DaemonState;
use crate::serve::daemon_state::EntrySettings;
use crate::serve::follow_config;
use crate::serve::follow_servers;
use crate::serve::gossip::Gossip;
use crate::serve::graceful_stop::GracefulStop;
use crate::serve::lease_manager::LeaseManager;
use crate::serve::peer_sync;
use crate::serve::peer_transfer;
use crate::serve::placement_controller::PlacementController;
use crate::serve::pooled_client::PooledCalls;
use crate::serve::socket;
use crate::serve::suspects;

/// Time between looks at what is in progress.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// Time between looks at whether last answers are written.
const LAST_LOOK_EVERY: Duration = Duration::from_millis(5);
/// Time between tries to give the lease up, while the store is away.
const RELEASE_EVERY: Duration = Duration::from_millis(500);
/// Time between looks at the settings' file, which may change without a signal.
const RELOAD_EVERY: Duration = Duration::from_secs(2);
/// Time between clearings of what is no longer needed.
const SWEEP_EVERY: Duration = Duration::from_millis(200);

/// Where settings come from again after a change.
pub trait SettingsSource {
    /// Reads the settings; none where they are as before.
    ///
    /// # Errors
    ///
    /// Tells what is wrong with them.
    fn reload(&self) -> Result<Option<EntrySettings>, String>;
}

/// Opens the daemon's sockets and starts its tasks on the current event loop.
///
/// # Errors
///
/// An address cannot be used.
pub fn start(daemon: &Rc<DaemonState>) -> io::Result<Rc<LeaseManager>> {
    let settings = daemon.settings();
    let front = socket::listen(settings.front)?;
    let ready = socket::listen(settings.ready)?;
    let peers = socket::listen(settings.peer)?;
    daemon.lease.borrow_mut().set_address(settings.peer, daemon.now());
    let gossip = Gossip::new(Rc::clone(daemon), socket::bind_udp(settings.peer)?);
    let calls = Rc::new(PooledCalls::new(Rc::clone(daemon)));
    let orders = PlacementController::new(Rc::clone(daemon), Rc::clone(&gossip), calls);
    let lease = LeaseManager::new(Rc::clone(daemon), Rc::clone(&gossip));
    slog::info!(daemon.log, "start"; "id" => settings.id.as_str(), "process" => daemon.process,
        "centre" => settings.centre.as_str(), "front" => %settings.front,
        "peer" => %settings.peer, "version" => env!("CARGO_PKG_VERSION"));
    spawn_local(follow_config::follow_config(Rc::clone(daemon)));
    spawn_local(follow_servers::follow_servers(Rc::clone(daemon)));
    spawn_local(apply_updates::follow_daemons(Rc::clone(daemon)));
    spawn_local(suspects::load_quarantine(Rc::clone(daemon)));
    spawn_local(peer_transfer::serve_peers(Rc::clone(daemon), peers));
    spawn_local(Rc::clone(&gossip).receive());
    spawn_local(Rc::clone(&gossip).publish_digests());
    spawn_local(Rc::clone(&gossip).publish_demand());
    spawn_local(peer_sync::sync_from_peers(Rc::clone(daemon)));
    spawn_local(peer_sync::sync_from_readers(Rc::clone(daemon)));
    spawn_local(Rc::clone(&lease).run());
    spawn_local(Rc::clone(&orders).run());
    spawn_local(accept::serve_callers(Rc::clone(daemon), front));
    spawn_local(accept::serve_ready(Rc::clone(daemon), ready));
    match socket::listen(settings.metrics) {
        Ok(listener) => {
            spawn_local(accept::serve_metrics(Rc::clone(daemon), listener));
        }
        Err(error) => slog::warn!(daemon.log, "metrics-unserved"; "error" => %error),
    }
    spawn_local(sweep(Rc::clone(daemon)));
    Ok(lease)
}

/// Runs a daemon until SIGTERM and the end of its requests.
///
/// # Errors
///
/// An address cannot be used, or the system gives no signals.
pub async fn run(daemon: Rc<DaemonState>, source: Rc<dyn SettingsSource>) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let lease = start(&daemon)?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => reload(&daemon, &*source, "signal"),
            () = sleep(RELOAD_EVERY) => reload(&daemon, &*source, "look"),
        }
    }
    stop(&daemon, &lease).await;
    Ok(())
}

fn reload(daemon: &DaemonState, source: &dyn SettingsSource, cause: &str) {
    match source.reload() {
        Ok(None) if cause == "look" => {}
        Ok(None) => slog::info!(daemon.log, "reload"; "cause" => cause, "changed" => false),
        Ok(Some(settings)) => {
            slog::info!(daemon.log, "reload"; "cause" => cause, "changed" => true,
                "settings" => ?settings);
            daemon.retry_budgets.borrow_mut().set_limits(settings.budget);
            *daemon.settings.borrow_mut() = Rc::new(settings);
        }
        Err(error) => {
            slog::error!(daemon.log, "reload"; "cause" => cause, "changed" => false,
                "error" => error);
        }
    }
}

async fn sweep(daemon: Rc<DaemonState>) {
    loop {
        sleep(SWEEP_EVERY).await;
        apply_updates::sweep_servers(&daemon);
        suspects::release_expired(&daemon);
        let directory = daemon.directory.borrow();
        daemon.pool.evict_idle(|start| directory.is_current(start));
    }
}

/// Stops without cutting a request: new callers go elsewhere, those that are here are served, and those
/// that cannot be served in the grace are told.
pub async fn stop(daemon: &Rc<DaemonState>, lease: &LeaseManager) {
    let began = daemon.now();
    let stop = GracefulStop::new(began, daemon.settings().grace);
    daemon.stopping.set(Some(stop));
    slog::info!(daemon.log, "stop"; "phase" => "begun", "active" => daemon.active.get());
    let mut next_release = began;
    loop {
        if daemon.now() >= next_release {
            // A store that is out of reach holds the release up; the stop's end does not wait for it.
            let left = stop.abort_at().saturating_sub(daemon.now());
            let _unanswered = timeout(left, lease.release()).await;
            next_release = daemon.now() + RELEASE_EVERY;
        }
        let now = daemon.now();
        let is_idle = now >= stop.deregistered_at() && daemon.active.get() == 0;
        if is_idle || now >= stop.abort_at() {
            break;
        }
        sleep(LOOK_EVERY.min(stop.abort_at().saturating_sub(now))).await;
    }
    give_up(daemon, stop).await;
    slog::info!(daemon.log, "stop"; "phase" => "ended", "active" => daemon.active.get(),
        "ms" => daemon.now().saturating_sub(began).as_millis());
}

/// Tells the callers of what is still in progress that it ends here; streams break off.
///
/// They would see a closed connection, and not know whether a request had run.
async fn give_up(daemon: &DaemonState, stop: GracefulStop) {
    if daemon.active.get() == 0 {
        return;
    }
    slog::info!(daemon.log, "stop"; "phase" => "given-up", "active" => daemon.active.get());
    daemon.aborting.send_replace(true);
    while daemon.active.get() > 0 && daemon.now() < stop.answers_until() {
        sleep(LAST_LOOK_EVERY).await;
    }
}
