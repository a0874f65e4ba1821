//! A daemon's account of the tokens that one workspace has taken from its quota, over all daemons.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use crate::boot_clock::Moment;
use crate::cluster::digest::ProcessId;
use crate::cluster::quota_bucket::Bucket;
use crate::cluster::quota_message::QuotaUsage;
use crate::cluster::quota_queue::Supply;
use crate::cluster::workspace::Tokens;
use crate::ids::CentreId;
use crate::ids::DaemonId;

/// Time without a message after which a daemon is silent: three reports.
const SILENT_AFTER: Duration = Duration::from_millis(700);
/// The same for homes of other data centres that reported the quota to be nearly used up, and then report more often.
const SCARCE_SILENT_AFTER: Duration = Duration::from_millis(400);
/// Time for which a part of the quota is reserved for a silent daemon, longer than most network partitions last.
const RESERVED_FOR: Duration = Duration::from_secs(20);
/// Minimum fraction of the quota that is never reserved for silent daemons.
const MIN_SHARE: f64 = 0.05;
/// Fraction of the bucket below which the quota is scarce: counts are then exchanged more often.
const SCARCE_LEVEL: f64 = 0.75;
/// Fraction of the bucket from which homes grant tokens to waiting requests whatever their part of the rate.
const AMPLE_LEVEL: f64 = 0.25;
/// Least level of the bucket, in seconds of the rate: late reports may show that more was taken than there was.
const MAX_DEBT_S: f64 = 4.0;
/// Daemons that begin to count within this time of each other count as beginning together.
const START_TOLERANCE: Duration = Duration::from_millis(300);
/// Fraction of a full bucket that a daemon begins with. Its predecessor may have used the rest.
const INITIAL_LEVEL: f64 = 0.5;
/// Fraction of the unused rest of a quota that is divided among daemons that reach no home.
const UNASKED_PART: f64 = 0.4;
/// Most tokens that a daemon by itself grants at once, as a multiple of its part of the bucket. Many daemons with small
/// parts would otherwise grant a request each.
const MAX_OVERDRAFT: f64 = 3.0;
/// Maximum time until a retry that a refusal names, in seconds.
const MAX_RETRY_S: f64 = 4.0;
/// Time constant of the decay of refused tokens, in seconds.
const BACKLOG_TIME_S: f64 = 1.0;

/// What another daemon last reported of a workspace.
#[derive(Clone, Debug)]
struct Peer {
    process: ProcessId,
    centre: CentreId,
    heard_at: Moment,
    /// Tokens per second that its own callers ask for.
    demand: f64,
    /// Tokens per second that daemons ask it for.
    home_demand: f64,
    /// Whether it reported the quota to be nearly used up.
    is_scarce: bool,
    /// Tokens that its ledger has granted, less those returned.
    taken: i64,
}

impl Peer {
    /// Returns whether no report came for so long that it may be cut off.
    fn is_silent(&self, now: Moment) -> bool {
        now > self.heard_at + if self.is_scarce { SCARCE_SILENT_AFTER } else { SILENT_AFTER }
    }
}

/// A workspace's demand in the last reply of a home.
#[derive(Clone, Copy, Debug)]
struct Hearsay {
    /// Tokens per second that all daemons are asked for.
    total: f64,
    /// The part of it that callers of this daemon ask for.
    own: f64,
}

impl Hearsay {
    /// Returns the part of a quota that is this daemon's.
    fn share(self, rate: f64, daemons: usize) -> f64 {
        let Self { total, own } = self;
        if total >= rate {
            return (own / total).min(1.0);
        }
        ((own + UNASKED_PART * (rate - total) / daemons.max(1) as f64) / rate).min(1.0)
    }
}

/// The answer to a request for tokens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Grant {
    /// The tokens are taken.
    Granted,
    /// The tokens will be there after this time.
    Exceeded(Duration),
}

/// What a home may grant of a quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaSupply {
    /// Tokens in the bucket.
    pub level: f64,
    /// Fraction of the quota that is not reserved for silent daemons.
    pub share: f64,
    /// Fraction of that which corresponds to the demand of this home's data centre.
    pub part: f64,
}

impl QuotaSupply {
    /// Returns the tokens that the bucket must hold for a request.
    pub fn needed(self, tokens: Tokens, bucket: Bucket) -> f64 {
        needed(tokens, bucket, self.share)
    }

    /// Returns what this home may grant to waiting requests.
    pub fn for_waiting(self, bucket: Bucket) -> Supply {
        let rate = bucket.rate * self.share * self.part;
        let is_ample = self.level >= bucket.size * AMPLE_LEVEL;
        Supply { level: self.level * self.part, rate, is_ample }
    }
}

/// Returns the tokens that a bucket must hold for a request: at most the quota's burst, since a single bucket of the quota
/// would hold no more.
fn needed(tokens: Tokens, bucket: Bucket, share: f64) -> f64 {
    (tokens as f64).min(bucket.burst * share)
}

/// The account of one workspace.
///
/// Each ledger refills a bucket with the whole rate of the quota and takes from it what it grants and what other
/// ledgers report. Reports hold running totals, so that one that is lost, repeated or late changes nothing in the end.
/// While daemons are silent, a part of the rate is left to them that corresponds to their last demand.
#[derive(Clone, Debug)]
pub struct QuotaLedger {
    /// Tokens in the bucket; negative after more was taken than there was.
    level: f64,
    begun_at: Moment,
    updated_at: Moment,
    /// Running total of tokens granted here.
    taken: Tokens,
    /// Running total of tokens returned here.
    returned: Tokens,
    /// Decaying sum of the tokens of refused requests.
    backlog: f64,
    peers: HashMap<DaemonId, Peer>,
    /// Demand of all daemons when none was silent.
    calm_demand: f64,
    hearsay: Option<Hearsay>,
    /// When a token was last granted here.
    granted_at: Option<Moment>,
}

impl QuotaLedger {
    /// Returns the ledger of a workspace that nothing is known of.
    pub fn new(bucket: Bucket, now: Moment) -> Self {
        Self {
            level: bucket.size * INITIAL_LEVEL,
            begun_at: now,
            updated_at: now,
            taken: 0,
            returned: 0,
            backlog: 0.0,
            peers: HashMap::new(),
            calm_demand: 0.0,
            hearsay: None,
            granted_at: None,
        }
    }

    /// Takes tokens, if they are there. `own_demand` is the demand of this daemon's own callers, in tokens per second.
    ///
    /// More tokens than the quota's burst are granted when the bucket holds the burst.
    pub fn take(
        &mut self,
        tokens: Tokens,
        bucket: Bucket,
        own_demand: f64,
        centre: &str,
        now: Moment,
    ) -> Grant {
        let share = self.refill(bucket, own_demand, centre, now);
        if share >= 1.0 {
            self.record_reply(self.calm_demand, own_demand);
        }
        self.take_share(tokens, bucket, share, now)
    }

    /// Takes tokens while no home can be reached, from this daemon's part of the quota: the last known demand of its own
    /// callers, and an equal part of the unused rest of the quota. The parts of all `daemons` add up to the quota.
    pub fn take_alone(
        &mut self,
        tokens: Tokens,
        bucket: Bucket,
        daemons: usize,
        now: Moment,
    ) -> Grant {
        let share = self.hearsay.map_or(0.0, |known| known.share(bucket.rate, daemons));
        let share = (share * (1.0 + bucket.spare)).min(1.0);
        self.advance(bucket, share, now);
        if tokens as f64 > bucket.size * share * MAX_OVERDRAFT {
            return Grant::Exceeded(Duration::from_secs_f64(MAX_RETRY_S));
        }
        self.take_share(tokens, bucket, share, now)
    }

    fn take_share(&mut self, tokens: Tokens, bucket: Bucket, share: f64, now: Moment) -> Grant {
        let needed = needed(tokens, bucket, share);
        if self.level + f64::EPSILON >= needed {
            self.grant(tokens, now);
            return Grant::Granted;
        }
        Grant::Exceeded(self.refuse(needed, bucket.rate * share))
    }

    /// Takes tokens, whatever the bucket holds.
    pub fn grant(&mut self, tokens: Tokens, now: Moment) {
        self.level -= tokens as f64;
        self.taken += tokens;
        self.granted_at = Some(now);
    }

    /// Counts a refused request for which the bucket would have to hold `needed`, at `rate` tokens per second; returns
    /// after what time its tokens will be there, behind those of the callers who were refused just before.
    pub fn refuse(&mut self, needed: f64, rate: f64) -> Duration {
        let missing = needed - self.level + self.backlog;
        self.backlog += needed;
        Duration::from_secs_f64((missing / rate).clamp(0.0, MAX_RETRY_S))
    }

    /// Refills the bucket; returns what this home may grant.
    ///
    /// While all homes have requests that wait, each grants the part of the rate that corresponds to the demand of its
    /// data centre.
    pub fn supply(
        &mut self,
        bucket: Bucket,
        own_demand: f64,
        centre: &str,
        now: Moment,
    ) -> QuotaSupply {
        let share = self.refill(bucket, own_demand, centre, now);
        if share >= 1.0 {
            self.record_reply(self.calm_demand, own_demand);
        }
        let total = self.total_demand(own_demand, centre, now);
        let here = self.home_demand(own_demand, centre, now);
        let part = if total > bucket.rate { (here / total).clamp(MIN_SHARE, 1.0) } else { 1.0 };
        QuotaSupply { level: self.level, share, part }
    }

    /// Returns tokens that were granted to a request which did not run.
    pub fn give_back(&mut self, tokens: Tokens, bucket: Bucket) {
        self.returned += tokens;
        self.level = (self.level + tokens as f64).min(bucket.size);
    }

    /// Refills the bucket of a home, to be called several times a second: of silent daemons, the demand counts that was
    /// known when none was silent.
    pub fn refresh(&mut self, bucket: Bucket, own_demand: f64, centre: &str, now: Moment) {
        if !self.peers.is_empty() {
            self.refill(bucket, own_demand, centre, now);
        }
    }

    /// Refills the bucket; returns the fraction of the quota that is not reserved for silent daemons.
    fn refill(&mut self, bucket: Bucket, own_demand: f64, centre: &str, now: Moment) -> f64 {
        let (total, silent) = self.demands(own_demand, centre, now);
        if silent <= 0.0 {
            self.calm_demand = total;
        }
        let base = self.calm_demand.max(silent);
        let share = if silent > 0.0 { 1.0 - silent / base + bucket.spare } else { 1.0 };
        let share = share.clamp(MIN_SHARE, 1.0);
        self.advance(bucket, share, now);
        share
    }

    fn advance(&mut self, bucket: Bucket, share: f64, now: Moment) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.level = (self.level + elapsed * bucket.rate * share)
            .min(bucket.size * share)
            .max(-bucket.rate * MAX_DEBT_S);
        self.backlog *= (-elapsed / BACKLOG_TIME_S).exp();
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the demand of all daemons, and that of the silent ones.
    ///
    /// Daemons of this data centre ask its homes, so each is known. Homes of another one report its demand; all of them
    /// report about the same.
    fn demands(&self, own_demand: f64, centre: &str, now: Moment) -> (f64, f64) {
        let known = self.peers.iter().filter(|(_, p)| now <= p.heard_at + RESERVED_FOR);
        let (own, remote): (Vec<_>, Vec<_>) = known.partition(|(_, p)| p.centre == centre);
        let mut total = own_demand + own.iter().map(|(_, p)| p.demand).sum::<f64>();
        let silent_own = own.into_iter().filter(|(_, p)| now > p.heard_at + SILENT_AFTER);
        let mut silent = silent_own.map(|(_, p)| p.demand).sum::<f64>();
        let mut centres: BTreeMap<&CentreId, Vec<&Peer>> = BTreeMap::new();
        for (_, peer) in remote {
            centres.entry(&peer.centre).or_default().push(peer);
        }
        for homes in centres.into_values() {
            let demand = homes.iter().map(|home| home.home_demand).fold(0.0, f64::max);
            total += demand;
            if homes.iter().all(|home| home.is_silent(now)) {
                silent += demand;
            }
        }
        (total, silent)
    }

    /// Returns the demand of all daemons, in tokens per second.
    pub fn total_demand(&self, own: f64, centre: &str, now: Moment) -> f64 {
        self.demands(own, centre, now).0
    }

    /// Returns the demand of the daemons of this data centre, in tokens per second.
    pub fn home_demand(&self, own_demand: f64, centre: &str, now: Moment) -> f64 {
        let own = self.peers.values().filter(|p| p.centre == centre);
        own_demand + own.filter(|p| now <= p.heard_at + RESERVED_FOR).map(|p| p.demand).sum::<f64>()
    }

    /// Records that a daemon asked for tokens, with the demand of its callers.
    pub fn record_ask(
        &mut self,
        from: &DaemonId,
        process: ProcessId,
        centre: &CentreId,
        demand: f64,
        now: Moment,
    ) {
        let peer = self.peer(from, process, centre, now);
        peer.demand = demand;
        peer.heard_at = now;
    }

    /// Records a daemon's report, and takes what its ledger granted since its last one.
    ///
    /// For the first report of a process, all of it is taken if that process began to count after this ledger; else it is
    /// unknown what it granted before.
    pub fn record_usage(
        &mut self,
        from: &DaemonId,
        process: ProcessId,
        centre: &CentreId,
        usage: &QuotaUsage,
        now: Moment,
    ) {
        let is_known = self.peers.get(from).is_some_and(|p| p.process == process);
        let age = Duration::from_millis(usage.age_ms.into());
        let is_younger = age <= now.saturating_sub(self.begun_at) + START_TOLERANCE;
        let peer = self.peer(from, process, centre, now);
        // While it was silent, it had no more than its part, which was left to it here.
        let was_silent = is_known && peer.is_silent(now);
        let taken = usage.taken.cast_signed() - usage.returned.cast_signed();
        let new = if !was_silent && (is_known || is_younger) { taken - peer.taken } else { 0 };
        peer.taken = taken;
        peer.demand = f64::from(usage.demand);
        peer.home_demand = f64::from(usage.home_demand);
        peer.is_scarce = usage.is_scarce;
        peer.heard_at = now;
        self.level -= new as f64;
    }

    fn peer(
        &mut self,
        id: &DaemonId,
        process: ProcessId,
        centre: &CentreId,
        now: Moment,
    ) -> &mut Peer {
        let new = || Peer {
            process,
            centre: centre.clone(),
            heard_at: now,
            demand: 0.0,
            home_demand: 0.0,
            is_scarce: false,
            taken: 0,
        };
        let peer = self.peers.entry(id.clone()).or_insert_with(new);
        if peer.process != process {
            *peer = new();
        }
        peer
    }

    /// Records the total demand in a home's reply; `own` is the demand of this daemon's callers.
    pub fn record_reply(&mut self, total: f64, own: f64) {
        self.hearsay = Some(Hearsay { total, own });
    }

    /// Returns the time since the ledger was begun.
    pub fn age(&self, now: Moment) -> Duration {
        now.saturating_sub(self.begun_at)
    }

    /// Returns whether the quota is nearly used up.
    pub fn is_scarce(&self, bucket: Bucket) -> bool {
        self.level < bucket.size * SCARCE_LEVEL
    }

    /// Returns whether this ledger granted tokens recently, so that its totals are reported to other homes.
    pub fn is_active(&self, now: Moment) -> bool {
        self.granted_at.is_some_and(|at| now <= at + RESERVED_FOR)
    }

    /// Returns the running totals of granted and returned tokens.
    pub fn totals(&self) -> (Tokens, Tokens) {
        (self.taken, self.returned)
    }

    /// Returns whether the last grant and all reports of other daemons have expired.
    pub fn is_idle(&self, now: Moment) -> bool {
        self.peers.is_empty() && !self.is_active(now)
    }

    /// Removes expired reports of other daemons.
    pub fn sweep(&mut self, now: Moment) {
        self.peers.retain(|_, peer| now <= peer.heard_at + RESERVED_FOR * 2);
    }
}
