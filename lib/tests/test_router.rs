//! Choice of replicas, retry budget, request limits and backoff after failures.

use std::time::Duration;

use comfreymux_lib::failure_backoff::FailureBackoff;
use comfreymux_lib::request_limits::RequestLimit;
use comfreymux_lib::request_limits::RequestLimits;
use comfreymux_lib::retry_budget::RetryBudget;
use comfreymux_lib::router::RouteRequest;
use comfreymux_lib::router::Router;
use comfreymux_lib::routing_view::Replica;
use comfreymux_lib::routing_view::RoutingView;
use comfreymux_lib::table::Edit;
use comfreymux_lib::table::Row;
use comfreymux_lib::table::RowChange;
use comfreymux_lib::table::Table;
use comfreymux_lib::verdict::Verdict;
use comfreymux_testutils::rig::ANY;
use comfreymux_testutils::rows;
use proptest::prelude::*;

const NOW: Duration = Duration::from_secs(100);

fn view(limit: u32, servers: &[(&str, &str)]) -> RoutingView {
    let row = Row { limit, ..rows::model("m") };
    let changes = vec![RowChange { name: "m".into(), base: 0, row: Some(row) }];
    let edit = Edit { id: "e".into(), author: "a".into(), changes };
    let replica = |(server, centre): &(&str, &str)| Replica {
        server: (*server).into(),
        addr: ANY,
        centre: (*centre).into(),
    };
    let mut view =
        RoutingView { table: Table::default().apply(&edit, 1), ..RoutingView::default() };
    view.replicas.insert("m".into(), servers.iter().map(replica).collect());
    view
}

fn route_request(prefix: Option<u64>) -> RouteRequest<'static> {
    RouteRequest { model: "m", prefix, tried: &[] }
}

#[test]
fn near_first() {
    let view = view(2, &[("e1", "a"), ("e2", "b")]);
    let mut router = Router::new("a".into(), 1);
    let mut next = || router.choose(NOW, &view, route_request(None)).map(|r| r.server);
    let chosen: Vec<_> = (0..5).map(|_| next()).collect();
    let expected = [Some("e1"), Some("e1"), Some("e2"), Some("e2"), None];
    assert_eq!(chosen, expected.map(|s| s.map(Into::into)));
}

#[test]
fn leaving_avoided() {
    // A server refuses requests because it is leaving; the host list shows this only later.
    let view = view(9, &[("e1", "a"), ("e2", "a")]);
    let mut router = Router::new("a".into(), 1);
    router.mark_leaving(NOW, &"e1".into());
    for _ in 0..8 {
        assert_eq!(router.choose(NOW, &view, route_request(None)).unwrap().server, "e2");
    }
}

#[test]
fn failing_avoided() {
    // A server that fails twice in a row is avoided; a single failure between answers has no
    // effect.
    let view = view(9, &[("e1", "a"), ("e2", "a")]);
    let mut router = Router::new("a".into(), 1);
    router.record_failure(NOW, &"e1".into());
    router.record_answer(NOW, &"e1".into(), &"m".into(), None);
    router.record_failure(NOW, &"e1".into());
    let chosen = |router: &mut Router| {
        let servers =
            (0..8).map(|_| router.choose(NOW, &view, route_request(None)).unwrap().server);
        let found = servers.collect::<Vec<_>>().contains(&"e1".into());
        for server in ["e1", "e2"] {
            for _ in 0..8 {
                router.record_end(&server.into(), &"m".into());
            }
        }
        found
    };
    assert!(chosen(&mut router));
    router.record_failure(NOW, &"e1".into());
    assert!(!chosen(&mut router));
}

#[test]
fn prefix_kept() {
    // Requests with the same prompt prefix go to one server until it has clearly more requests than
    // the others.
    let view = view(100, &[("e1", "a"), ("e2", "a"), ("e3", "a")]);
    let mut router = Router::new("a".into(), 1);
    let first_server = router.choose(NOW, &view, route_request(Some(5))).unwrap().server;
    router.record_end(&first_server, &"m".into());
    let chosen: Vec<_> = (0..30)
        .map(|_| router.choose(NOW, &view, route_request(Some(5))).unwrap().server)
        .collect();
    assert_eq!(chosen[..2], [first_server.clone(), first_server.clone()]);
    let share = chosen.iter().filter(|s| **s == first_server).count();
    assert!((10..=14).contains(&share), "{share} of 30 requests went to the first server");
}

#[test]
fn told_load() {
    // An engine reports requests of other daemons; the router uses the report instead of its own
    // count, until the report is outdated.
    let view = view(4, &[("e1", "a")]);
    let mut router = Router::new("a".into(), 1);
    let route = router.choose(NOW, &view, route_request(None)).unwrap();
    router.record_answer(NOW, &route.server, &"m".into(), Some(4));
    assert!(router.choose(NOW, &view, route_request(None)).is_none());
    assert_eq!(router.free_capacity(NOW, &view, "m"), 0);
    assert!(router.choose(NOW + Duration::from_secs(3), &view, route_request(None)).is_some());
}

#[test]
fn told_falls() {
    // An engine reports with an answer that it is at its limit. Once that request ends there is
    // free capacity; the report must not block the queue until it expires.
    let view = view(4, &[("e1", "a")]);
    let mut router = Router::new("a".into(), 1);
    let route = router.choose(NOW, &view, route_request(None)).unwrap();
    router.record_answer(NOW, &route.server, &"m".into(), Some(4));
    router.record_end(&route.server, &"m".into());
    assert_eq!(router.free_capacity(NOW, &view, "m"), 1);
}

#[test]
fn limits_kept() {
    let mut limits = RequestLimits::new(3, 2);
    let (a, b) = ("a".into(), "b".into());
    assert_eq!(limits.acquire(&a), Ok(()));
    assert_eq!(limits.acquire(&a), Ok(()));
    assert_eq!(limits.acquire(&a), Err(RequestLimit::Caller));
    assert_eq!(limits.acquire(&b), Ok(()));
    assert_eq!(limits.acquire(&b), Err(RequestLimit::Daemon));
    limits.release(&a);
    assert_eq!(limits.acquire(&b), Ok(()));
}

#[test]
fn budget_bounded() {
    // Every request fails. Retries add a tenth to the requests sent, after a burst from the saved
    // budget.
    let mut budget = RetryBudget::default();
    let retries = (0..1000)
        .filter(|_| {
            budget.record_first();
            budget.take_retry()
        })
        .count();
    assert!((100..=160).contains(&retries), "{retries}");
}

#[test]
fn suspicion_grows() {
    let mut backoff = FailureBackoff::default();
    backoff.record_failure(NOW);
    assert!(!backoff.is_active(NOW));
    backoff.record_failure(NOW);
    assert!(backoff.is_active(NOW) && !backoff.is_active(NOW + Duration::from_secs(1)));
    backoff.record_failure(NOW);
    assert!(backoff.is_active(NOW + Duration::from_secs(1)));
    backoff.record_answer();
    assert!(!backoff.is_active(NOW));
}

#[test]
fn verdicts_joined() {
    let all = [Verdict::DidNotRun, Verdict::MayHaveRun, Verdict::Ran];
    for (i, a) in all.into_iter().enumerate() {
        for (j, b) in all.into_iter().enumerate() {
            assert_eq!(a.combine(b), all[i.max(j)]);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn never_overfull(limit in 1_u32..5, steps in prop::collection::vec(any::<(bool, u8)>(), 1..200)) {
        let view = view(limit, &[("e1", "a"), ("e2", "a"), ("e3", "b")]);
        let mut router = Router::new("a".into(), 1);
        let mut active: Vec<comfreymux_lib::ids::ServerId> = Vec::new();
        for (begin, n) in steps {
            if begin {
                let capacity = router.free_capacity(NOW, &view, "m");
                let route = router.choose(NOW, &view, route_request(n.is_multiple_of(2).then_some(u64::from(n))));
                prop_assert_eq!(capacity > 0, route.is_some());
                active.extend(route.map(|r| r.server));
            } else if !active.is_empty() {
                let server = active.swap_remove(n as usize % active.len());
                router.record_end(&server, &"m".into());
            }
            for server in ["e1", "e2", "e3"] {
                let count = active.iter().filter(|s| **s == server).count();
                prop_assert!(count <= limit as usize);
            }
        }
    }
}
