//! Settings: defaults, reporting all faults together, lease margins and keep-warm times.

use std::time::Duration;

use comfreymux_lib::keep_warm::KeepWarm;
use comfreymux_lib::keep_warm::KeepWarmPolicy;
use comfreymux_lib::lease::BID_AFTER;
use comfreymux_lib::lease::DRIFT_PERCENT;
use comfreymux_lib::lease::LEASE_TTL;
use comfreymux_lib::lease::LeaseAuthority;
use comfreymux_lib::settings::Settings;
use comfreymux_testutils::rig::FlagValues;

fn texts(pairs: &[(&str, &str)]) -> FlagValues {
    FlagValues(pairs.iter().map(|(k, v)| ((*k).to_owned(), (*v).to_owned())).collect())
}

#[test]
fn good_settings() {
    let needed = [
        ("id", "d1"),
        ("centre", "makati-a"),
        ("log", "http://127.0.0.1:7000"),
        ("hosts", "http://127.0.0.1:7001"),
        ("keep-warm", "90s"),
    ];
    let settings = Settings::from_source(&texts(&needed)).unwrap();
    assert_eq!(settings.keep_warm, KeepWarmPolicy::Fixed(Duration::from_secs(90)));
    assert_eq!(settings.idle_timeout, Duration::from_secs(10));
}

#[test]
fn all_faults() {
    // The settings have seven faults; one error lists all of them.
    let wrong = [
        ("id", "two words"),
        ("listen", "localhost"),
        ("log", "7000"),
        ("idle-timeout", "10"),
        ("queue", "0"),
    ];
    let error = Settings::from_source(&texts(&wrong)).unwrap_err();
    let flags: Vec<&str> = error.faults.iter().map(|f| f.flag).collect();
    assert_eq!(flags, ["id", "centre", "listen", "log", "hosts", "idle-timeout", "queue"]);
    assert!(error.faults[3].to_string().contains("COMFREYMUX_LOG"));
}

#[test]
fn lease_margins() {
    // The holder's clock may run slow and the bidder's fast, each by half the bound; the holder's
    // lease must still expire before the bidder may bid.
    let drift = f64::from(DRIFT_PERCENT) / 100.0;
    assert!(LEASE_TTL.mul_f64(1.0 + drift) < BID_AFTER.mul_f64(1.0 - drift));
    let mut authority = LeaseAuthority::default();
    authority.record_renewal(Duration::from_secs(5));
    authority.record_renewal(Duration::from_secs(4));
    assert!(authority.is_valid(Duration::from_secs(4) + LEASE_TTL));
    assert!(!authority.is_valid(Duration::from_secs(5) + LEASE_TTL));
}

#[test]
fn keep_learned() {
    // A model that is requested every two minutes is kept loaded for that long if idle time is
    // cheap. It is unloaded soon if idle time is expensive or the model is requested once a day.
    let cold = Duration::from_secs(20);
    let mut warm = KeepWarm::new(KeepWarmPolicy::Learned);
    for _ in 0..50 {
        warm.record_gap(&"often".into(), Duration::from_mins(2));
        warm.record_gap(&"daily".into(), Duration::from_secs(80_000));
    }
    assert_eq!(warm.keep_time("often", cold, 200.0), Duration::from_secs(150));
    assert!(warm.keep_time("often", cold, 10_000.0) < Duration::from_mins(1));
    assert!(warm.keep_time("daily", cold, 200.0) < Duration::from_mins(1));
    let fixed = KeepWarm::new(KeepWarmPolicy::Fixed(Duration::from_mins(10)));
    assert_eq!(fixed.keep_time("daily", cold, 10.0), Duration::from_mins(10));
}
