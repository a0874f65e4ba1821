//! Requests that wait for tokens of their workspace's quota: how long they can, how a home answers them, and how their
//! daemon waits.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt as _;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::boot_clock::Moment;
use crate::cluster::digest::ProcessId;
use crate::cluster::quota_bucket::Bucket;
use crate::cluster::quota_ledger::Grant;
use crate::cluster::quota_message::AskId;
use crate::cluster::quota_message::QuotaAsk;
use crate::cluster::quota_message::QuotaMessage;
use crate::cluster::quota_message::QuotaReply;
use crate::cluster::quota_message::WorkspaceId;
use crate::cluster::quota_queue::QueueKey;
use crate::cluster::quota_queue::Waiting;
use crate::cluster::quota_queues::Decision;
use crate::ids::CentreId;
use crate::ids::DaemonId;
use crate::serve::attempt::Attempt;
use crate::serve::choose::EngineChoice;
use crate::serve::daemon_state::DaemonState;
use crate::serve::find_server::FIRST_EVENT_TIME;
use crate::serve::find_server::min_delay;
use crate::serve::quotas;
use crate::serve::quotas::Account;
use crate::serve::quotas::HomeAnswer;
use crate::serve::quotas::PendingAsk;

/// Times after which a request for tokens is repeated, since datagrams may be lost. A home is silent if it has not
/// answered after the last one.
const ASK_TIMES: [Duration; 3] =
    [Duration::from_millis(25), Duration::from_millis(30), Duration::from_millis(40)];
/// Interval between repetitions of a request that waits at a home: they show that its daemon is there, and get an answer
/// again that was lost.
const WAIT_REPEAT: Duration = Duration::from_millis(250);
/// Time without a response to them after which a home counts as silent: six in a row, so that lost datagrams do not end
/// waits.
const HOME_TIMEOUT: Duration = Duration::from_millis(1500);
/// Factor up to which the time to retry after a wait differs between requests: the interval that callers return within is
/// then that in which a home grants tokens several times.
const MAX_RETRY_FACTOR: f64 = 3.0;
/// Part of a latency goal that is kept for the run of a request.
const RUN_PART: f64 = 0.5;
/// Shortest wait that a home is asked for, and time after the last moment in which its answer may arrive.
pub(super) const MIN_WAIT: Duration = Duration::from_millis(50);

/// Returns until when a request can wait for tokens and still meet its latency goal; not later than now if it cannot.
pub(super) fn due(daemon: &DaemonState, attempt: &Attempt) -> Moment {
    let max_wait = daemon.settings().max_quota_wait;
    if max_wait.is_zero() {
        return attempt.arrived;
    }
    let latest = daemon.latest_start(attempt.deadline).min(attempt.arrived + max_wait);
    let goal = attempt.route.latency_goal;
    let run = goal.mul_f64(RUN_PART);
    let Some(target) = attempt.model_target() else { return (attempt.arrived + run).min(latest) };
    let choice =
        daemon.with_chooser(attempt.version(), |c| c.choose_engine(&target, &attempt.tried));
    let needed = match choice {
        EngineChoice::Server(chosen) => run.min(FIRST_EVENT_TIME) + chosen.queue_wait,
        EngineChoice::NotLoaded | EngineChoice::NoServer => min_delay(attempt, &target),
    };
    (attempt.arrived + goal.saturating_sub(needed)).min(latest)
}

/// The answer of a home to a request.
enum Offer {
    Granted,
    Queued,
    Exceeded(Duration),
}

impl Account {
    /// Decides on a request, which has its tokens, waits or is refused from now on.
    fn offer(&mut self, ask: Waiting, centre: &CentreId, now: Moment) -> Offer {
        let own = self.own.rate(now);
        let supply = self.ledger.supply(self.bucket, own, centre, now);
        let needed = supply.needed(ask.tokens, self.bucket);
        let for_waiting = supply.for_waiting(self.bucket);
        match self.queues.offer(Waiting { needed, ..ask }, supply.level, for_waiting, now) {
            Decision::Granted => {
                self.ledger.grant(ask.tokens, now);
                Offer::Granted
            }
            Decision::Queued => Offer::Queued,
            Decision::Refused => {
                Offer::Exceeded(self.ledger.refuse(needed, self.bucket.rate * supply.share))
            }
        }
    }

    /// Grants tokens to waiting requests that are next, and refuses those that cannot get them in time any more.
    fn decide_waiting(&mut self, centre: &CentreId, now: Moment) -> Vec<(Waiting, Grant)> {
        let own = self.own.rate(now);
        let mut decided = Vec::new();
        loop {
            let supply = self.ledger.supply(self.bucket, own, centre, now);
            let for_waiting = supply.for_waiting(self.bucket);
            if let Some(next) = self.queues.pop(supply.level, for_waiting, now) {
                self.ledger.grant(next.tokens, now);
                decided.push((next, Grant::Granted));
                continue;
            }
            for waiting in self.queues.remove_hopeless(for_waiting, now) {
                let retry = self.ledger.refuse(waiting.needed, self.bucket.rate * supply.share);
                decided.push((waiting, Grant::Exceeded(retry)));
            }
            return decided;
        }
    }
}

/// Grants tokens to the requests that wait at this home; called several times a second.
pub(super) fn grant_waiting(daemon: &DaemonState) {
    let (now, centre) = (daemon.now(), daemon.settings().centre.clone());
    let mut decided = Vec::new();
    for (id, account) in daemon.quotas.accounts.borrow_mut().iter_mut() {
        if account.queues.is_empty() {
            continue;
        }
        let total = account.ledger.total_demand(account.own.rate(now), &centre, now);
        for (waiting, grant) in account.decide_waiting(&centre, now) {
            decided.push((waiting, reply(waiting.key.1, *id, grant, total)));
        }
    }
    for (waiting, reply) in decided {
        let answer = HomeAnswer { reply, tokens: waiting.tokens, at: now };
        daemon.quotas.answers.borrow_mut().insert(waiting.key, answer);
        match waiting.reply_to {
            Some(addr) => quotas::send(daemon, addr, QuotaMessage::Reply(reply)),
            None => daemon.quotas.record_reply(reply),
        }
    }
}

fn reply(id: AskId, workspace: WorkspaceId, grant: Grant, total_demand: f64) -> QuotaReply {
    let retry_ms = match grant {
        Grant::Granted => None,
        Grant::Exceeded(wait) => Some(wait.as_millis() as u32),
    };
    QuotaReply { id, workspace, retry_ms, total_demand: total_demand as u32 }
}

/// Decides on a request for tokens as a home; `None` if it waits now.
fn decide(
    daemon: &DaemonState,
    ask: &QuotaAsk,
    bucket: Bucket,
    waiting: Waiting,
) -> Option<QuotaReply> {
    let (now, centre) = (daemon.now(), daemon.settings().centre.clone());
    daemon.quotas.with_account(ask.workspace, bucket, now, |account| {
        let grant = match account.offer(waiting, &centre, now) {
            Offer::Granted => Grant::Granted,
            Offer::Exceeded(retry) => Grant::Exceeded(retry),
            Offer::Queued => return None,
        };
        let total = account.ledger.total_demand(account.own.rate(now), &centre, now);
        Some(reply(ask.id, ask.workspace, grant, total))
    })
}

/// Answers another daemon's request for tokens, which can wait for `wait` if that is given.
pub(super) fn answer_ask(
    daemon: &DaemonState,
    from: &DaemonId,
    process: ProcessId,
    addr: SocketAddr,
    ask: &QuotaAsk,
    wait: Option<Duration>,
) {
    let key = (process, ask.id);
    let known = daemon.quotas.answers.borrow().get(&key).copied();
    if let Some(answer) = known {
        quotas::send(daemon, addr, QuotaMessage::Reply(answer.reply));
        return;
    }
    let (now, settings) = (daemon.now(), daemon.settings());
    // The sender may know a later version of the configuration that adds the workspace.
    let quota = quotas::known_quota(daemon, ask.workspace).unwrap_or(ask.quota());
    let bucket = settings.quota_tolerance.bucket(quota);
    let is_queued = daemon.quotas.with_account(ask.workspace, bucket, now, |account| {
        let (centre, demand) = (&settings.centre, f64::from(ask.demand));
        account.ledger.record_ask(from, process, centre, demand, now);
        account.queues.renew(key, now)
    });
    let waiting = Waiting {
        key,
        needed: ask.tokens as f64,
        tokens: ask.tokens,
        reply_to: Some(addr),
        due: now + wait.unwrap_or_default(),
        heard_at: now,
        since: now,
    };
    let reply = if is_queued { None } else { decide(daemon, ask, bucket, waiting) };
    let message = match reply {
        Some(reply) => {
            let answer = HomeAnswer { reply, tokens: ask.tokens, at: now };
            daemon.quotas.answers.borrow_mut().insert(key, answer);
            QuotaMessage::Reply(reply)
        }
        None => QuotaMessage::Queued(ask.id),
    };
    quotas::send(daemon, addr, message);
}

/// Withdraws a request of another daemon, whose tokens nobody will use.
pub(super) fn cancel(daemon: &DaemonState, workspace: WorkspaceId, key: QueueKey) {
    if let Some(account) = daemon.quotas.accounts.borrow_mut().get_mut(&workspace) {
        account.queues.remove(key);
    }
    let mut answers = daemon.quotas.answers.borrow_mut();
    let Some(answer) = answers.get_mut(&key) else { return };
    if answer.reply.grant() == Grant::Granted {
        // A repeated message returns them only once.
        answer.reply.retry_ms = Some(0);
        quotas::return_here(daemon, workspace, answer.tokens);
    }
}

/// A request for tokens until it is answered; withdrawn if it is dropped before.
struct AskGuard<'a> {
    daemon: &'a DaemonState,
    ask: QuotaAsk,
    /// The home; `None` if it is this daemon.
    home: Option<SocketAddr>,
    is_answered: bool,
}

impl<'a> AskGuard<'a> {
    fn new(
        daemon: &'a DaemonState,
        ask: QuotaAsk,
        home: Option<SocketAddr>,
    ) -> (Self, oneshot::Receiver<QuotaReply>) {
        let (sender, receiver) = oneshot::channel();
        daemon.quotas.asks.borrow_mut().insert(ask.id, PendingAsk { sender, queued_at: None });
        (Self { daemon, ask, home, is_answered: false }, receiver)
    }

    fn queued_at(&self) -> Option<Moment> {
        self.daemon.quotas.asks.borrow().get(&self.ask.id).and_then(|ask| ask.queued_at)
    }

    fn end(mut self, reply: QuotaReply) -> QuotaReply {
        self.is_answered = true;
        reply
    }

    /// Returns the answer to a request that has waited as long as it can. Requests that ended their wait together are given
    /// different times to retry.
    fn refusal(&self) -> QuotaReply {
        let spread = rand::rng().random_range(1.0..=MAX_RETRY_FACTOR);
        let retry = Grant::Exceeded(WAIT_REPEAT.mul_f64(spread));
        reply(self.ask.id, self.ask.workspace, retry, f64::from(self.ask.demand))
    }
}

impl Drop for AskGuard<'_> {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        let AskGuard { daemon, ask, home, .. } = self;
        daemon.quotas.asks.borrow_mut().remove(&ask.id);
        match home {
            Some(addr) => {
                quotas::send(daemon, *addr, QuotaMessage::Cancel(ask.workspace, ask.id));
            }
            None => cancel(daemon, ask.workspace, (daemon.process, ask.id)),
        }
    }
}

/// Requests tokens from this daemon as a home.
pub(super) async fn ask_here(
    daemon: &Rc<DaemonState>,
    ask: &QuotaAsk,
    bucket: Bucket,
    due: Moment,
) -> QuotaReply {
    let (guard, mut receiver) = AskGuard::new(daemon, *ask, None);
    let now = daemon.now();
    let waiting = Waiting {
        key: (daemon.process, ask.id),
        needed: ask.tokens as f64,
        tokens: ask.tokens,
        reply_to: None,
        due: due.max(now),
        // The queue ends with this process, so that no messages are needed.
        heard_at: due.max(now),
        since: now,
    };
    if let Some(reply) = decide(daemon, ask, bucket, waiting) {
        daemon.quotas.asks.borrow_mut().remove(&ask.id);
        return guard.end(reply);
    }
    let left = due.saturating_sub(daemon.now()) + MIN_WAIT;
    match timeout(left, &mut receiver).await {
        Ok(Ok(reply)) => guard.end(reply),
        _ => guard.refusal(),
    }
}

/// Requests tokens from a home, and waits for them there until `due` if the home accepts that; `None` if it is silent.
pub(super) async fn ask_home(
    daemon: &Rc<DaemonState>,
    home: &DaemonId,
    addr: SocketAddr,
    ask: QuotaAsk,
    due: Moment,
) -> Option<QuotaReply> {
    let (guard, mut receiver) = AskGuard::new(daemon, ask, Some(addr));
    let send = || {
        let left = due.saturating_sub(daemon.now());
        let message = if left >= MIN_WAIT {
            QuotaMessage::Wait(ask, left.as_millis() as u32)
        } else {
            QuotaMessage::Ask(ask)
        };
        quotas::send(daemon, addr, message);
    };
    for time in ASK_TIMES {
        send();
        if let Ok(Ok(reply)) = timeout(time, &mut receiver).await {
            daemon.quotas.record_responsive(home);
            return Some(guard.end(reply));
        }
        if guard.queued_at().is_some() {
            break;
        }
    }
    while let Some(queued_at) = guard.queued_at() {
        let now = daemon.now();
        if now > queued_at + HOME_TIMEOUT {
            break;
        }
        let left = (due + MIN_WAIT).saturating_sub(now);
        if left.is_zero() {
            return Some(guard.refusal());
        }
        if let Ok(Ok(reply)) = timeout(left.min(WAIT_REPEAT), &mut receiver).await {
            daemon.quotas.record_responsive(home);
            return Some(guard.end(reply));
        }
        send();
    }
    daemon.quotas.record_unresponsive(home, daemon.now());
    slog::info!(daemon.log, "quota-home-silent"; "home" => %home, "addr" => %addr);
    None
}
