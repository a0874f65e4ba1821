//! Starts a daemon, reloads its settings and stops it gracefully.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::serve::abandoned_streams;
use crate::serve::accept;
use crate::serve::apply_updates;
use crate::serve::daemon_state::DaemonState;
use crate::serve::entry_settings::EntrySettings;
use crate::serve::follow_config;
use crate::serve::follow_servers;
use crate::serve::follow_versions;
use crate::serve::gossip::Gossip;
use crate::serve::graceful_stop::GracefulStop;
use crate::serve::lease_manager::LeaseManager;
use crate::serve::origin_exchange;
use crate::serve::peer_sync;
use crate::serve::peer_transfer;
use crate::serve::placement_controller::PlacementController;
use crate::serve::pooled_client::PooledEngineClient;
use crate::serve::restored_store;
use crate::serve::silence_checks;
use crate::serve::socket;
use crate::serve::standstill;
use crate::serve::stored_crashes;
use crate::serve::stored_origins;
use crate::serve::stored_quarantine;
use crate::serve::suspects;

/// Interval between checks for requests in progress during a stop.
const ACTIVE_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between checks whether the last responses have been written.
const FINAL_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Interval between attempts to release the lease while the store is unavailable.
const RELEASE_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between checks of the settings file, which may change without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between sweeps of awaited server entries, expired suspects and idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_millis(200);

/// Source from which the settings are reloaded.
pub trait SettingsSource {
    /// Reads the settings; returns `None` if they have not changed.
    ///
    /// # Errors
    ///
    /// Returns a description of the problem if the settings are invalid or cannot be read.
    fn reload(&self) -> Result<Option<EntrySettings>, String>;
}

/// Opens the daemon's sockets and starts its tasks on the current event loop.
///
/// # Errors
///
/// Fails if an address cannot be bound.
pub fn start(daemon: &Rc<DaemonState>) -> io::Result<Rc<LeaseManager>> {
    let settings = daemon.settings();
    let front = socket::listen_callers(settings.front)?;
    let ready = socket::listen(settings.ready)?;
    let peers = socket::listen(settings.peer)?;
    daemon.lease.borrow_mut().set_address(settings.peer, daemon.now());
    let datagrams = Rc::new(socket::bind_udp(settings.peer)?);
    let gossip = Gossip::new(Rc::clone(daemon), Rc::<UdpSocket>::clone(&datagrams));
    let calls = Rc::new(PooledEngineClient::new(Rc::clone(daemon)));
    let placement = PlacementController::new(Rc::clone(daemon), Rc::clone(&gossip), calls);
    let lease = LeaseManager::new(Rc::clone(daemon), Rc::clone(&gossip));
    slog::info!(daemon.log, "start"; "id" => settings.id.as_str(), "process" => daemon.process,
        "centre" => settings.centre.as_str(), "front" => %settings.front,
        "peer" => %settings.peer, "version" => env!("CARGO_PKG_VERSION"));
    spawn_local(follow_config::follow_config(Rc::clone(daemon)));
    spawn_local(follow_servers::follow_servers(Rc::clone(daemon)));
    spawn_local(apply_updates::follow_daemons(Rc::clone(daemon)));
    spawn_local(stored_quarantine::load_quarantine(Rc::clone(daemon)));
    spawn_local(restored_store::rewrite_records(Rc::clone(daemon)));
    spawn_local(follow_versions::follow_versions(Rc::clone(daemon)));
    spawn_local(stored_origins::store_origins(Rc::clone(daemon)));
    spawn_local(stored_origins::remove_expired(Rc::clone(daemon)));
    spawn_local(abandoned_streams::check_abandoned(Rc::clone(daemon)));
    spawn_local(stored_crashes::store_crashes(Rc::clone(daemon)));
    spawn_local(stored_crashes::remove_expired(Rc::clone(daemon)));
    spawn_local(peer_transfer::serve_peers(Rc::clone(daemon), peers));
    spawn_local(Rc::clone(&gossip).receive(datagrams));
    spawn_local(Rc::clone(&gossip).publish_digests());
    spawn_local(Rc::clone(&gossip).publish_demand());
    spawn_local(Rc::clone(&gossip).publish_quotas());
    spawn_local(Rc::clone(&gossip).publish_slowdowns());
    spawn_local(peer_sync::sync_from_peers(Rc::clone(daemon)));
    spawn_local(peer_sync::sync_from_readers(Rc::clone(daemon)));
    spawn_local(Rc::clone(&lease).run());
    spawn_local(Rc::clone(&placement).run());
    spawn_local(accept::serve_callers(Rc::clone(daemon), front));
    spawn_local(accept::serve_ready(Rc::clone(daemon), ready));
    match socket::listen(settings.metrics) {
        Ok(listener) => {
            spawn_local(accept::serve_metrics(Rc::clone(daemon), listener));
        }
        Err(error) => slog::warn!(daemon.log, "metrics-unserved"; "error" => %error),
    }
    spawn_local(sweep(Rc::clone(daemon)));
    spawn_local(silence_checks::check_silent(Rc::clone(daemon)));
    spawn_local(standstill::record_turns(Rc::clone(daemon)));
    Ok(lease)
}

/// Runs a daemon until SIGTERM, then until its requests have ended or the grace period is over.
///
/// # Errors
///
/// Fails if an address cannot be bound or a signal handler cannot be installed.
pub async fn run(daemon: Rc<DaemonState>, source: Rc<dyn SettingsSource>) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let lease = start(&daemon)?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => reload(&daemon, &*source, "signal"),
            () = sleep(RELOAD_INTERVAL) => reload(&daemon, &*source, "look"),
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
            daemon.slowdowns.set_limit(settings.max_slowdown);
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
        sleep(SWEEP_INTERVAL).await;
        apply_updates::sweep_servers(&daemon);
        suspects::release_expired(&daemon);
        let directory = daemon.directory.borrow();
        daemon.pool.evict_idle(|instance| directory.is_current(instance));
        daemon.check_pool.evict_idle(|instance| directory.is_current(instance));
    }
}

/// Stops gracefully: new callers use other daemons, and requests in progress are completed. Those that cannot be
/// completed within the grace period are answered with an error.
pub async fn stop(daemon: &Rc<DaemonState>, lease: &LeaseManager) {
    let began = daemon.now();
    let stop = GracefulStop::new(began, daemon.settings().grace);
    daemon.stopping.set(Some(stop));
    slog::info!(daemon.log, "stop"; "phase" => "begun", "active" => daemon.active.get());
    spawn_local(origin_exchange::hand_over_origins(Rc::clone(daemon)));
    let mut next_release = began;
    loop {
        if daemon.now() >= next_release {
            // An unavailable store delays the release, but must not delay the end of the stop.
            let remaining = stop.abort_at().saturating_sub(daemon.now());
            let _timed_out = timeout(remaining, lease.release()).await;
            next_release = daemon.now() + RELEASE_RETRY_INTERVAL;
        }
        let now = daemon.now();
        let is_idle = now >= stop.deregistered_at()
            && daemon.active.get() == 0
            && daemon.relay_slots.in_progress() == 0;
        if is_idle || now >= stop.abort_at() {
            break;
        }
        sleep(ACTIVE_POLL_INTERVAL.min(stop.abort_at().saturating_sub(now))).await;
    }
    abort_requests(daemon, stop).await;
    slog::info!(daemon.log, "stop"; "phase" => "ended", "active" => daemon.active.get(),
        "ms" => daemon.now().saturating_sub(began).as_millis());
}

/// Aborts the requests still in progress with an error response; streams break off.
///
/// Otherwise callers would see a closed connection and not know whether their request had run.
async fn abort_requests(daemon: &DaemonState, stop: GracefulStop) {
    if daemon.active.get() == 0 {
        return;
    }
    slog::info!(daemon.log, "stop"; "phase" => "given-up", "active" => daemon.active.get());
    daemon.aborting.send_replace(true);
    while daemon.active.get() > 0 && daemon.now() < stop.answers_until() {
        sleep(FINAL_POLL_INTERVAL).await;
    }
}
