//! The account of a workspace's quota at one daemon.

use std::time::Duration;

use comfreymux_lib::boot_clock::Moment;
use comfreymux_lib::cluster::quota_bucket::Bucket;
use comfreymux_lib::cluster::quota_bucket::QuotaTolerance;
use comfreymux_lib::cluster::quota_ledger::Grant;
use comfreymux_lib::cluster::quota_ledger::QuotaLedger;
use comfreymux_lib::cluster::quota_message::QuotaUsage;
use comfreymux_lib::cluster::workspace::Quota;
use comfreymux_lib::ids::DaemonId;
use rstest::rstest;

const BUCKET: Bucket = Bucket { rate: 1000.0, size: 2000.0, burst: 2000.0, spare: 0.0 };
const CENTRE: &str = "north";
const STEP: Duration = Duration::from_millis(100);

fn start() -> Moment {
    Duration::from_secs(100)
}

/// A ledger whose bucket is full.
fn full() -> (QuotaLedger, Moment) {
    let mut ledger = QuotaLedger::new(BUCKET, start());
    let now = start() + Duration::from_secs(10);
    assert_eq!(ledger.take(0, BUCKET, 0.0, CENTRE, now), Grant::Granted);
    (ledger, now)
}

fn is_granted(grant: Grant) -> bool {
    grant == Grant::Granted
}

fn usage(taken: u64, home_demand: u32) -> QuotaUsage {
    QuotaUsage {
        workspace: 1,
        age_ms: 60_000,
        taken,
        returned: 0,
        demand: 0,
        home_demand,
        is_scarce: false,
    }
}

#[test]
fn bucket_drained() {
    let (mut ledger, now) = full();
    assert!(is_granted(ledger.take(2000, BUCKET, 0.0, CENTRE, now)));
    let Grant::Exceeded(wait) = ledger.take(500, BUCKET, 0.0, CENTRE, now) else {
        panic!("the bucket is empty")
    };
    assert_eq!(wait, Duration::from_millis(500));
    assert!(is_granted(ledger.take(500, BUCKET, 0.0, CENTRE, now + wait)));
}

/// Guards against requests that are refused together getting the same `Retry-After`, when there are tokens for one.
#[test]
fn returns_spread() {
    let (mut ledger, now) = full();
    assert!(is_granted(ledger.take(2000, BUCKET, 0.0, CENTRE, now)));
    let mut waits = Vec::new();
    for _ in 0..3 {
        if let Grant::Exceeded(wait) = ledger.take(500, BUCKET, 0.0, CENTRE, now) {
            waits.push(wait.as_millis());
        }
    }
    assert_eq!(waits, [500, 1000, 1500]);
}

/// Guards against a request that is larger than the bucket being refused for ever.
#[test]
fn larger_than_bucket() {
    let (mut ledger, now) = full();
    assert!(is_granted(ledger.take(5000, BUCKET, 0.0, CENTRE, now)));
    assert!(!is_granted(ledger.take(1, BUCKET, 0.0, CENTRE, now + STEP)));
}

/// Guards against refused requests using up the quota, though they did not run.
#[test]
fn tokens_returned() {
    let (mut ledger, now) = full();
    assert!(is_granted(ledger.take(2000, BUCKET, 0.0, CENTRE, now)));
    ledger.give_back(2000, BUCKET);
    assert!(is_granted(ledger.take(2000, BUCKET, 0.0, CENTRE, now)));
    assert_eq!(ledger.totals(), (4000, 2000));
}

/// Guards against datagrams that are lost, repeated or late changing what a daemon counts of another one.
#[rstest]
#[case::in_order(&[500, 1000, 1500])]
#[case::lost(&[1500])]
#[case::repeated(&[500, 500, 1500, 1500])]
#[case::overtaken(&[1000, 500, 1500])]
fn totals_counted(#[case] reports: &[u64]) {
    let (mut ledger, now) = full();
    let peer = DaemonId::from("d2");
    ledger.record_usage(&peer, 7, &"south".into(), &usage(0, 0), now);
    for taken in reports {
        ledger.record_usage(&peer, 7, &"south".into(), &usage(*taken, 0), now);
    }
    assert!(!is_granted(ledger.take(501, BUCKET, 0.0, CENTRE, now)));
    assert!(is_granted(ledger.take(500, BUCKET, 0.0, CENTRE, now)));
}

/// Guards against the totals of a daemon that restarted being taken as returned tokens.
#[test]
fn peer_restarted() {
    let (mut ledger, now) = full();
    let peer = DaemonId::from("d2");
    ledger.record_usage(&peer, 7, &"south".into(), &usage(90_000, 0), now);
    ledger.record_usage(&peer, 8, &"south".into(), &usage(0, 0), now);
    ledger.record_usage(&peer, 8, &"south".into(), &usage(2000, 0), now);
    assert!(!is_granted(ledger.take(1, BUCKET, 0.0, CENTRE, now)));
}

/// Takes what a ledger grants for a time; returns the sum.
fn drain(ledger: &mut QuotaLedger, mut now: Moment, time: Duration, own: f64) -> u64 {
    let end = now + time;
    let mut sum = 0;
    while now < end {
        now += STEP;
        while is_granted(ledger.take(50, BUCKET, own, CENTRE, now)) {
            sum += 50;
        }
    }
    sum
}

/// Guards against two data centres that are cut off from each other using the whole quota each.
#[test]
fn centre_silent() {
    let (mut ledger, now) = full();
    let peer = DaemonId::from("d2");
    for _ in 0..2 {
        ledger.record_usage(&peer, 7, &"south".into(), &usage(0, 600), now);
        assert!(is_granted(ledger.take(0, BUCKET, 400.0, CENTRE, now)));
    }
    let burst = drain(&mut ledger, now, Duration::from_secs(2), 400.0);
    assert!(burst <= 4000, "{burst}");
    let now = now + Duration::from_secs(2);
    // The demand of both sides may grow during the partition.
    let later = drain(&mut ledger, now, Duration::from_secs(8), 4000.0);
    assert!((3000..=3400).contains(&later), "{later} of 3200");
}

/// Guards against callers being refused for seconds after a cut, because what the other side took of its own share
/// during the cut is counted again.
#[test]
fn centre_back() {
    let (mut ledger, mut now) = full();
    let peer = DaemonId::from("d2");
    ledger.record_usage(&peer, 7, &"south".into(), &usage(0, 500), now);
    assert!(is_granted(ledger.take(0, BUCKET, 500.0, CENTRE, now)));
    for _ in 0..60 {
        now += STEP;
        assert!(is_granted(ledger.take(20, BUCKET, 500.0, CENTRE, now)));
    }
    ledger.record_usage(&peer, 7, &"south".into(), &usage(2500, 500), now);
    assert!(is_granted(ledger.take(500, BUCKET, 500.0, CENTRE, now)));
}

/// Guards against a daemon that reaches no home granting more than its share of the last known demand.
#[test]
fn alone_limited() {
    let (mut ledger, mut now) = full();
    ledger.record_reply(1000.0, 250.0);
    let mut sum = 0;
    for _ in 0..80 {
        now += STEP;
        while is_granted(ledger.take_alone(10, BUCKET, 4, now)) {
            sum += 10;
        }
    }
    assert!((2000..=2600).contains(&sum), "{sum} of 2000 and a burst of 500");
}

/// Guards against a daemon that reaches no home and never knew of callers granting anything.
#[test]
fn alone_unknown() {
    let mut ledger = QuotaLedger::new(BUCKET, start());
    let now = start() + STEP;
    assert!(!is_granted(ledger.take_alone(1, BUCKET, 4, now)));
}

/// Guards against a lower limit that leaves a burst of the higher one.
#[test]
fn limit_falls() {
    let (mut ledger, now) = full();
    let lower = Bucket { rate: 10.0, size: 20.0, burst: 20.0, spare: 0.0 };
    assert!(is_granted(ledger.take(20, lower, 0.0, CENTRE, now)));
    assert!(!is_granted(ledger.take(1, lower, 0.0, CENTRE, now)));
}

#[test]
fn tolerance_used() {
    let tolerance =
        QuotaTolerance { window: Duration::from_secs(8), overage: 0.1, tokens: 11_000.0 };
    let quota = Quota { rate: 2700.0, burst: 2700.0 };
    let bucket = tolerance.bucket(quota);
    let allowed = 1.1 * (8.0 * 2700.0 + 2700.0) + 11_000.0;
    assert!(bucket.size > quota.burst);
    assert!(bucket.rate * 8.0 + bucket.size < allowed);
    assert_eq!(
        QuotaTolerance::default().bucket(quota),
        Bucket { rate: 2700.0, size: 2700.0, burst: 2700.0, spare: 0.0 }
    );
}
