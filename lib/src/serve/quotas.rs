//! Quotas of workspaces: takes a request's tokens at a home of its workspace, and exchanges usage with other homes.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;

use crate::boot_clock::Moment;
use crate::cluster::demand_meter::DemandMeter;
use crate::cluster::digest::Payload;
use crate::cluster::digest::ProcessId;
use crate::cluster::quota_bucket::Bucket;
use crate::cluster::quota_ledger::Grant;
use crate::cluster::quota_ledger::QuotaLedger;
use crate::cluster::quota_message::AskId;
use crate::cluster::quota_message::QuotaAsk;
use crate::cluster::quota_message::QuotaMessage;
use crate::cluster::quota_message::QuotaReply;
use crate::cluster::quota_message::QuotaUsage;
use crate::cluster::quota_message::WorkspaceId;
use crate::cluster::quota_message::workspace_id;
use crate::cluster::quota_queue::QueueKey;
use crate::cluster::quota_queues::QuotaQueues;
use crate::cluster::workspace::Quota;
use crate::cluster::workspace::Tokens;
use crate::cluster::workspace::Workspace;
use crate::cluster::workspace::WorkspaceName;
use crate::ids::CentreId;
use crate::ids::DaemonId;
use crate::serve::attempt::Attempt;
use crate::serve::daemon_state::DaemonState;
use crate::serve::handle::OTHER_DAEMON_RETRY_AFTER;
use crate::serve::handle::UNREADY_RETRY_AFTER;
use crate::serve::quota_waits;
use crate::serve::reply::Refusal;
use crate::verdict::Verdict;

/// Reason for the refusal of a request whose workspace has used up its quota, for the log and the caller.
pub const EXCEEDED_REASON: &str = "the quota of the workspace is used up";
/// Reason for the refusal of a request whose quota cannot be checked.
const UNCHECKED_REASON: &str = "the quota of the workspace cannot be checked here";
/// Time for which a home that did not answer is not asked, at first and at most.
const MIN_PAUSE: Duration = Duration::from_millis(500);
const MAX_PAUSE: Duration = Duration::from_secs(4);
/// Most workspaces with metrics of their own: operators may rename workspaces any number of times.
const MAX_COUNTED: usize = 256;
/// Time for which a home keeps an answer, for repeated requests.
const ANSWER_RETENTION: Duration = Duration::from_secs(1);
/// Least demand, in tokens per second, that counts as use of a workspace.
pub(super) const MIN_DEMAND: f64 = 1.0;
/// Kind of these datagrams in metrics.
const BYTES_KIND: &str = "quotas";

/// Tokens that a request has taken.
#[derive(Clone, Debug)]
pub struct QuotaCharge {
    workspace: WorkspaceId,
    tokens: Tokens,
    /// The home that granted them; `None` if this daemon did.
    home: Option<SocketAddr>,
}

/// A home that did not answer.
#[derive(Clone, Copy, Debug)]
struct Unresponsive {
    until: Moment,
    pause: Duration,
}

/// A workspace at this daemon.
#[derive(Debug)]
pub(super) struct Account {
    pub(super) ledger: QuotaLedger,
    pub(super) bucket: Bucket,
    /// Demand of this daemon's own callers.
    pub(super) own: DemandMeter,
    /// Total of granted tokens that was last reported.
    pub(super) reported: Tokens,
    /// Requests that wait for tokens here.
    pub(super) queues: QuotaQueues,
}

/// What this daemon knows of the quotas of workspaces.
#[derive(Debug, Default)]
pub struct Quotas {
    pub(super) accounts: RefCell<HashMap<WorkspaceId, Account>>,
    pub(super) asks: RefCell<HashMap<AskId, PendingAsk>>,
    /// Answers of this daemon as a home.
    pub(super) answers: RefCell<HashMap<QueueKey, HomeAnswer>>,
    unresponsive: RefCell<HashMap<DaemonId, Unresponsive>>,
    asked: Cell<AskId>,
    /// Workspaces with metrics of their own.
    counted: RefCell<HashSet<WorkspaceName>>,
}

/// A request for tokens that this daemon has sent.
#[derive(Debug)]
pub(super) struct PendingAsk {
    pub(super) sender: oneshot::Sender<QuotaReply>,
    /// When the last `Queued` for it was received.
    pub(super) queued_at: Option<Moment>,
}

/// An answer that this daemon gave as a home.
#[derive(Clone, Copy, Debug)]
pub(super) struct HomeAnswer {
    pub(super) reply: QuotaReply,
    pub(super) tokens: Tokens,
    pub(super) at: Moment,
}

/// The result of a request for tokens.
struct Answer {
    grant: Grant,
    home: Option<SocketAddr>,
    /// Whether no home answered, so that this daemon used its own share.
    is_alone: bool,
}

impl Quotas {
    /// Calls `f` with the account of a workspace, which is begun if there is none.
    pub(super) fn with_account<T>(
        &self,
        workspace: WorkspaceId,
        bucket: Bucket,
        now: Moment,
        f: impl FnOnce(&mut Account) -> T,
    ) -> T {
        let mut accounts = self.accounts.borrow_mut();
        let account = accounts.entry(workspace).or_insert_with(|| Account {
            ledger: QuotaLedger::new(bucket, now),
            bucket,
            own: DemandMeter::default(),
            reported: 0,
            queues: QuotaQueues::default(),
        });
        account.bucket = bucket;
        f(account)
    }

    /// Returns the name under which a workspace is counted in metrics.
    fn metrics_name<'a>(&self, workspace: &'a WorkspaceName) -> &'a str {
        let mut counted = self.counted.borrow_mut();
        if counted.len() < MAX_COUNTED {
            counted.insert(workspace.clone());
        }
        if counted.contains(workspace) { workspace } else { "other" }
    }

    pub(super) fn is_unresponsive(&self, home: &DaemonId, now: Moment) -> bool {
        self.unresponsive.borrow().get(home).is_some_and(|known| now < known.until)
    }

    pub(super) fn record_responsive(&self, home: &DaemonId) {
        self.unresponsive.borrow_mut().remove(home);
    }

    pub(super) fn record_unresponsive(&self, home: &DaemonId, now: Moment) {
        let mut unresponsive = self.unresponsive.borrow_mut();
        let last = unresponsive.get(home).map_or(Duration::ZERO, |known| known.pause);
        let pause = (last * 2).clamp(MIN_PAUSE, MAX_PAUSE);
        unresponsive.insert(home.clone(), Unresponsive { until: now + pause, pause });
    }

    /// Removes expired answers.
    pub(super) fn forget_answers(&self, now: Moment) {
        self.answers.borrow_mut().retain(|_, answer| now <= answer.at + ANSWER_RETENTION);
    }

    /// Removes expired reports of other daemons, and unused accounts.
    pub(super) fn sweep(&self, now: Moment) {
        let mut accounts = self.accounts.borrow_mut();
        accounts.retain(|_, account| {
            account.ledger.sweep(now);
            !account.ledger.is_idle(now)
                || account.own.rate(now) >= MIN_DEMAND
                || !account.queues.is_empty()
        });
        self.unresponsive.borrow_mut().retain(|_, known| now < known.until + MAX_PAUSE);
    }

    /// Returns a number for the next request of this process. Those of its predecessors differ, whose answers may still
    /// arrive.
    fn next_id(&self, process: ProcessId) -> AskId {
        self.asked.set(self.asked.get().wrapping_add(1));
        self.asked.get().wrapping_add(process as AskId)
    }

    pub(super) fn record_reply(&self, reply: QuotaReply) {
        if let Some(ask) = self.asks.borrow_mut().remove(&reply.id) {
            // The caller may have left at this moment.
            let _abandoned = ask.sender.send(reply);
        }
    }
}

/// Takes the tokens of a request from the quota of its workspace.
///
/// # Errors
///
/// Returns the refusal if the quota is used up, or if it cannot be checked.
pub async fn charge(daemon: &Rc<DaemonState>, attempt: &mut Attempt) -> Result<(), Refusal> {
    let Some(workspace) = attempt.workspace.clone() else { return Ok(()) };
    let Some(quota) = workspace.quota else { return Ok(()) };
    if !knows_fleet(daemon) {
        return Err(Refusal::not_run(UNCHECKED_REASON, UNREADY_RETRY_AFTER));
    }
    let tokens = attempt.tokens();
    let (asked_at, due) = (daemon.now(), quota_waits::due(daemon, attempt));
    let answer = take(daemon, &workspace, quota, tokens, due).await;
    attempt.quota_wait = daemon.now().saturating_sub(asked_at);
    let outcome = match (answer.grant, answer.is_alone) {
        (Grant::Granted, false) if attempt.quota_wait >= quota_waits::MIN_WAIT => "granted-later",
        (Grant::Granted, false) => "granted",
        (Grant::Granted, true) => "granted-alone",
        (Grant::Exceeded(_), false) => "refused",
        (Grant::Exceeded(_), true) => "refused-alone",
    };
    let name = daemon.quotas.metrics_name(&workspace.name);
    daemon.metrics.record_quota(name, outcome, tokens);
    let Grant::Exceeded(wait) = answer.grant else {
        let id = workspace_id(&workspace.name);
        attempt.charge = Some(QuotaCharge { workspace: id, tokens, home: answer.home });
        return Ok(());
    };
    slog::info!(daemon.log, "quota-refused"; "attempt" => attempt.id(),
        "workspace" => workspace.name.as_str(), "tokens" => tokens, "outcome" => outcome,
        "could_wait_ms" => due.saturating_sub(asked_at).as_millis(),
        "waited_ms" => attempt.quota_wait.as_millis(),
        "rate" => quota.rate as u64, "retry_ms" => wait.as_millis(),
        "home" => answer.home.map_or_else(|| "-".to_owned(), |addr| addr.to_string()));
    if answer.is_alone {
        return Err(Refusal::not_run(UNCHECKED_REASON, OTHER_DAEMON_RETRY_AFTER));
    }
    Err(Refusal::quota_exceeded(EXCEEDED_REASON, wait))
}

/// Returns whether this daemon knows others, or that there are none. All daemons of a fleet that begins at the same time
/// would otherwise grant a whole burst each.
fn knows_fleet(daemon: &DaemonState) -> bool {
    daemon.peers_known.get() || daemon.peers.borrow().daemons() > 1
}

async fn take(
    daemon: &Rc<DaemonState>,
    workspace: &Workspace,
    quota: Quota,
    tokens: Tokens,
    due: Moment,
) -> Answer {
    let id = workspace_id(&workspace.name);
    let settings = daemon.settings();
    let bucket = settings.quota_tolerance.bucket(quota);
    let demand = daemon.quotas.with_account(id, bucket, daemon.now(), |account| {
        // The average at the moments of requests is too high after, and without a first request, before each of them.
        let before = account.own.rate(daemon.now());
        account.own.add(tokens as f64, daemon.now());
        f64::midpoint(before, account.own.rate(daemon.now()))
    });
    for (home, addr) in homes(daemon, id) {
        if addr.is_some() && daemon.quotas.is_unresponsive(&home, daemon.now()) {
            continue;
        }
        let ask = QuotaAsk {
            id: daemon.quotas.next_id(daemon.process),
            workspace: id,
            tokens,
            demand: demand as u32,
            rate: quota.rate as f32,
            burst: quota.burst as f32,
        };
        let reply = match addr {
            None => Some(quota_waits::ask_here(daemon, &ask, bucket, due).await),
            Some(addr) => quota_waits::ask_home(daemon, &home, addr, ask, due).await,
        };
        let Some(reply) = reply else { continue };
        if addr.is_some() {
            daemon.quotas.with_account(id, bucket, daemon.now(), |account| {
                account.ledger.record_reply(f64::from(reply.total_demand), demand);
            });
        }
        return Answer { grant: reply.grant(), home: addr, is_alone: false };
    }
    let (now, daemons) = (daemon.now(), daemon.peers.borrow().daemons());
    let grant = daemon.quotas.with_account(id, bucket, now, |account| {
        account.ledger.take_alone(tokens, bucket, daemons, now)
    });
    Answer { grant, home: None, is_alone: true }
}

/// Returns the homes that this daemon may request tokens from, including itself; none if it knows no other daemon, since
/// unknown ones may be homes.
fn homes(daemon: &DaemonState, id: WorkspaceId) -> Vec<(DaemonId, Option<SocketAddr>)> {
    let peers = daemon.peers.borrow();
    let now = daemon.now();
    if peers.daemons() > 1 && peers.all().all(|(_, peer)| peers.is_expired(peer, now)) {
        return Vec::new();
    }
    let settings = daemon.settings();
    peers.quota_homes(id, &settings, &settings.centre, now)
}

/// Sends a message on quotas to another daemon.
pub(super) fn send(daemon: &DaemonState, addr: SocketAddr, message: QuotaMessage) {
    let bytes = daemon.encode_message(Payload::Quota(message));
    daemon.send_datagram(addr, &bytes, BYTES_KIND);
}

/// Returns the tokens of a request that did not run to its workspace.
pub fn give_back(daemon: &DaemonState, attempt: &mut Attempt) {
    if attempt.verdict != Verdict::DidNotRun || attempt.sending {
        return;
    }
    let Some(charge) = attempt.charge.take() else { return };
    let QuotaCharge { workspace, tokens, home } = charge;
    match home {
        Some(addr) => send(daemon, addr, QuotaMessage::Return(workspace, tokens)),
        None => return_here(daemon, workspace, tokens),
    }
}

pub(super) fn return_here(daemon: &DaemonState, workspace: WorkspaceId, tokens: Tokens) {
    if let Some(account) = daemon.quotas.accounts.borrow_mut().get_mut(&workspace) {
        account.ledger.give_back(tokens, account.bucket);
    }
}

/// Applies a message of another daemon.
pub fn apply_message(
    daemon: &DaemonState,
    from: &DaemonId,
    process: ProcessId,
    addr: SocketAddr,
    message: QuotaMessage,
) {
    match message {
        QuotaMessage::Ask(ask) => {
            quota_waits::answer_ask(daemon, from, process, addr, &ask, None);
        }
        QuotaMessage::Wait(ask, wait_ms) => {
            let wait = Duration::from_millis(wait_ms.into());
            quota_waits::answer_ask(daemon, from, process, addr, &ask, Some(wait));
        }
        QuotaMessage::Queued(id) => {
            if let Some(ask) = daemon.quotas.asks.borrow_mut().get_mut(&id) {
                ask.queued_at = Some(daemon.now());
            }
        }
        QuotaMessage::Cancel(workspace, id) => {
            quota_waits::cancel(daemon, workspace, (process, id));
        }
        QuotaMessage::Reply(reply) => daemon.quotas.record_reply(reply),
        QuotaMessage::Return(workspace, tokens) => return_here(daemon, workspace, tokens),
        QuotaMessage::Usage(rows) => {
            let centre = centre_of(daemon, from);
            for usage in rows {
                record_usage(daemon, from, process, &centre, &usage);
            }
        }
    }
}

pub(super) fn known_quota(daemon: &DaemonState, workspace: WorkspaceId) -> Option<Quota> {
    daemon.config()?.workspaces.by_id(workspace)?.quota
}

fn centre_of(daemon: &DaemonState, id: &DaemonId) -> CentreId {
    let peers = daemon.peers.borrow();
    peers.get(id).map(|peer| peer.centre.clone()).unwrap_or_default()
}

fn record_usage(
    daemon: &DaemonState,
    from: &DaemonId,
    process: ProcessId,
    centre: &CentreId,
    usage: &QuotaUsage,
) {
    let Some(quota) = known_quota(daemon, usage.workspace) else { return };
    let bucket = daemon.settings().quota_tolerance.bucket(quota);
    let now = daemon.now();
    daemon.quotas.with_account(usage.workspace, bucket, now, |account| {
        account.ledger.record_usage(from, process, centre, usage, now);
    });
}
