//! Tests which engine loads which model: as soon as possible for waiting requests, and never beyond an engine's memory.

use std::rc::Rc;
use std::time::Duration;

use comfreymux_lib::cluster::digest::DemandReport;
use comfreymux_lib::cluster::digest::QueuedDemand;
use comfreymux_lib::cluster::workloads::WorkloadKey;
use comfreymux_lib::placement::engine_table::AdapterJob;
use comfreymux_lib::placement::engine_table::LoadJob;
use comfreymux_lib::placement::engine_table::Source;
use comfreymux_lib::placement::planner::Action;
use comfreymux_testutils::placing_site::NOW;
use comfreymux_testutils::placing_site::SERVICE;
use comfreymux_testutils::placing_site::Site;
use comfreymux_testutils::placing_site::load_of;
use proptest::prelude::prop;
use proptest::prelude::proptest;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use rstest::rstest;

/// A rare model is requested; a load takes 1.6 s at the host with its weights on disk and 6 s at all others.
#[test]
fn disk_preferred() {
    let mut site = Site::new(&[("a", 70_000, 0), ("b", 70_000, 0), ("rare", 70_000, 0)]);
    site.engine("e1", &["a", "b"], &[]);
    site.engine("e2", &["a", "b"], &["rare"]);
    site.add_queued("rare", None);
    let plan = site.plan();
    let (server, victims, source) = load_of(&plan, "rare").expect("loaded");
    assert_eq!((server, source), ("e2", Source::Disk));
    assert_eq!(victims.len(), 1);
}

/// Guards against a wait of ten seconds for a model with a copy on a disk: the models at that host had just been loaded
/// and could not be evicted for another second, so the model was fetched by another host instead.
#[test]
fn settling_awaited() {
    let mut site = Site::new(&[("a", 70_000, 0), ("b", 70_000, 0), ("rare", 70_000, 0)]);
    site.engine("e1", &["a", "b"], &[]);
    let engine = site.engine("e2", &["a", "b"], &["rare"]);
    engine.last_used = [("a".into(), NOW), ("b".into(), NOW)].into();
    site.add_queued("rare", None);
    assert_eq!(load_of(&site.plan(), "rare"), None);
}

/// A busy engine is worth waiting for if its disk has the model.
#[test]
fn job_awaited() {
    let mut site = Site::new(&[("a", 70_000, 0), ("b", 70_000, 0), ("rare", 70_000, 0)]);
    site.engine("e1", &["a", "b"], &[]);
    let engine = site.engine("e2", &["a"], &["rare"]);
    engine.load_job = Some(LoadJob {
        model: "b".into(),
        victims: Vec::new(),
        source: Source::Disk,
        started_at: NOW,
        eta: NOW + Duration::from_secs(1),
    });
    site.add_queued("rare", None);
    assert_eq!(load_of(&site.plan(), "rare"), None);
}

/// Guards against two changes of an engine that evict the same adapter: the second one found it already removed and had
/// no slot.
#[test]
fn victims_distinct() {
    let mut site = Site::new(&[("a", 70_000, 12)]);
    let engine = site.engine("e1", &["a"], &[]);
    engine.models[0].adapters = (1..=8).map(|n| format!("a{n}").into()).collect();
    engine.adapter_jobs = vec![AdapterJob {
        model: "a".into(),
        adapter: "a9".into(),
        victim: Some(("a".into(), "a1".into())),
        eta: NOW,
    }];
    site.add_queued("a", Some("a10"));
    let plan = site.plan();
    let Some(Action::LoadAdapter { victim: Some((_, victim)), .. }) = plan.first() else {
        panic!("expected an adapter load that evicts another: {plan:?}");
    };
    assert_ne!(victim, "a1");
}

/// Guards against evicting a smaller adapter for a larger one: its memory did not suffice, and the engine had no room.
#[test]
fn victim_large() {
    let mut site = Site::new(&[("a", 99_900, 4), ("b", 99_800, 4)]);
    let engine_spec = site.config.services.get_mut(SERVICE).expect("a service").engine.as_mut();
    let models = &mut engine_spec.expect("an engine").models;
    models.get_mut("a").expect("a model").adapter_size = 20;
    models.get_mut("b").expect("a model").adapter_size = 250;
    let engine = site.engine("e1", &["a", "b"], &[]);
    engine.models[0].adapters = vec!["a1".into()];
    engine.models[1].adapters = vec!["a1".into()];
    site.add_queued("b", Some("a2"));
    let plan = site.plan();
    let Some(Action::LoadAdapter { victim: Some((model, _)), .. }) = plan.first() else {
        panic!("expected an adapter load that evicts another: {plan:?}");
    };
    assert_eq!(model, "b");
}

/// Requests run on one of two models that could be evicted; unloading it would wait for them.
#[test]
fn idle_victim() {
    let mut site = Site::new(&[("a", 70_000, 0), ("b", 70_000, 0), ("rare", 70_000, 0)]);
    site.engine("e1", &["a", "b"], &["rare"]);
    let place = WorkloadKey { server: "e1".into(), model: Some("a".into()) };
    let _running = site.loads.begin(place, 100);
    site.add_queued("rare", None);
    let plan = site.plan();
    assert_eq!(load_of(&plan, "rare").expect("loaded").1, ["b"]);
}

/// Guards against refusing a request at once because "the model will be loaded too late": the load had to wait for a
/// request running on its victim, which ended a moment later. How long others' requests run is an estimate and no
/// reason to refuse a request.
#[test]
fn guess_untold() {
    let mut site = Site::new(&[("a", 70_000, 0), ("b", 70_000, 0), ("wanted", 70_000, 0)]);
    site.engine("e1", &["a", "b"], &["wanted"]);
    let place = |model: &str| WorkloadKey { server: "e1".into(), model: Some(model.into()) };
    let _runs = [site.loads.begin(place("a"), 10), site.loads.begin(place("b"), 10)];
    site.add_queued("wanted", None);
    let time = site.plan().iter().find_map(|action| match action {
        Action::LoadModel { expected_time: time, .. } => Some(*time),
        Action::LoadAdapter { .. } => None,
    });
    let time = time.expect("a load");
    assert!(time < Duration::from_secs(2), "{time:?}; the load itself takes 1.6 s");
}

/// Requests wait for four rare models. One host has all their weights; another one has the fourth's, but would have to
/// evict a busier model. Each model was assigned to the first host as the fastest and waited for it while the other was
/// idle, and the fourth caller was late.
#[test]
fn crowded_host() {
    let mut site = Site::new(&["a", "b", "c", "r1", "r2", "r3", "r4"].map(|n| (n, 70_000, 0)));
    site.engine("e1", &["a", "b"], &["r1", "r2", "r3", "r4"]);
    site.engine("e22", &["a", "c"], &["r4"]);
    site.busy("a", 1);
    site.busy("c", 1);
    for model in ["r1", "r2", "r3", "r4"] {
        site.add_queued(model, None);
    }
    let plan = site.plan();
    assert_eq!(load_of(&plan, "r1").expect("loaded").0, "e1");
    assert_eq!(load_of(&plan, "r2"), None);
    assert_eq!(load_of(&plan, "r3"), None);
    assert_eq!(load_of(&plan, "r4").expect("loaded").0, "e22");
}

/// Of two hosts with a rare model's weights, the idle one must evict a model that has other replicas, and the other one
/// is busy for seconds. The model's requests waited for the busy host as long as no others arrived.
#[test]
fn replica_yields() {
    let mut site = Site::new(&["a", "b", "c", "rare"].map(|n| (n, 70_000, 0)));
    let job = LoadJob {
        model: "c".into(),
        victims: Vec::new(),
        source: Source::Store,
        started_at: NOW,
        eta: NOW + Duration::from_secs(12),
    };
    site.engine("e1", &[], &["rare"]).load_job = Some(job);
    site.engine("e22", &["a", "b"], &["rare"]);
    site.engine("e333", &["a", "b"], &[]);
    site.busy("a", 1);
    site.busy("b", 1);
    site.add_queued("rare", None);
    assert_eq!(load_of(&site.plan(), "rare").expect("loaded").0, "e22");
}

/// Two hosts have a rare model's weights, and one of them is busy for two more seconds; both must evict a model that is
/// requested occasionally. Waiting seemed cheaper than starting, since the later eviction was not counted, and the
/// caller waited twice as long.
#[rstest]
#[case::idle(0)]
#[case::in_use(2)]
fn start_first(#[case] running: usize) {
    let mut site = Site::new(&["a", "b", "c", "d", "new", "rare"].map(|n| (n, 90_000, 0)));
    let job = LoadJob {
        model: "new".into(),
        victims: vec!["a".into()],
        source: Source::Disk,
        started_at: NOW,
        eta: NOW + Duration::from_millis(1900),
    };
    site.engine("e1", &["a", "b"], &["rare", "new"]).load_job = Some(job);
    site.engine("e22", &["c", "d"], &["rare"]);
    for model in ["b", "c", "d"] {
        site.add_arrivals(model, 2);
    }
    let place = |model: &str| WorkloadKey { server: "e22".into(), model: Some(model.into()) };
    let runs = ["c", "d"].into_iter().cycle().take(running);
    let _runs: Vec<_> = runs.map(|model| site.loads.begin(place(model), 100)).collect();
    site.add_queued("rare", None);
    assert_eq!(load_of(&site.plan(), "rare").expect("loaded").0, "e22");
}

/// Four models fill all engines with two replicas each, and all are requested often. A further model that is requested
/// as often and was never loaded must replace one of them: no model could be evicted for it.
#[test]
fn second_yields() {
    let names = ["a", "b", "c", "d"];
    let all = ["a", "b", "c", "d", "late", "later"].map(|n| (n, 90_000, 0));
    let mut site = Site::new(&all);
    for (id, held) in
        [("e1", ["a", "b"]), ("e2", ["a", "b"]), ("e3", ["c", "d"]), ("e4", ["c", "d"])]
    {
        site.engine(id, &held, &[]);
    }
    for name in names {
        site.busy(name, 2);
    }
    site.busy("late", 2);
    site.add_queued("late", None);
    let plan = site.plan();
    assert_eq!(load_of(&plan, "late").expect("loaded").1.len(), 1);
}

#[test]
fn adapter_placed() {
    let mut site = Site::new(&[("a", 70_000, 12)]);
    let engine = site.engine("e1", &["a"], &[]);
    engine.models[0].adapters = (1..=8).map(|n| format!("a{n}").into()).collect();
    site.add_queued("a", Some("a9"));
    let plan = site.plan();
    let [Action::LoadAdapter { server, adapter, victim, .. }] = plan.as_slice() else {
        panic!("{plan:?}");
    };
    assert_eq!((server.as_str(), adapter.as_str()), ("e1", "a9"));
    assert!(victim.is_some(), "all adapter slots are full");
}

/// Returns which of two models with queued requests is loaded, if only one engine can load them soon.
fn contended(first: (u32, u32), second: (u32, u32)) -> Option<String> {
    let mut site = Site::new(&["a", "b", "c", "first", "second"].map(|n| (n, 70_000, 0)));
    site.engine("e1", &["a", "b"], &["first", "second"]);
    site.engine("e22", &["a", "c"], &[]);
    for (seconds, model, (due_ms, remaining_ms)) in [(5, "first", first), (1, "second", second)] {
        let queued = QueuedDemand {
            service: SERVICE.into(),
            model: model.into(),
            adapter: None,
            waiting: 1,
            remaining_ms,
            due_ms,
            avoid: Vec::new(),
        };
        for now in [NOW.saturating_sub(Duration::from_secs(seconds)), NOW] {
            let report = DemandReport { queued: vec![queued.clone()], arrivals: Vec::new() };
            site.demand.update(&format!("d-{model}").into(), report, now);
        }
    }
    let plan = site.plan();
    ["first", "second"].into_iter().find(|m| load_of(&plan, m).is_some()).map(Into::into)
}

/// Guards against responses after five seconds instead of the promised three, for all callers: the longest wait came
/// first, so every load served a caller that had just become late. Requests that can still meet their goal come first,
/// the nearest goal before others, then those with the earliest deadline, and last those that no load can serve in
/// time.
#[rstest]
#[case::older_late((0, 9_000), (2_500, 9_000), "second")]
#[case::nearer_limit((2_900, 9_000), (2_500, 9_000), "second")]
#[case::both_late((0, 9_000), (0, 3_000), "second")]
#[case::older_lost((0, 300), (0, 9_000), "second")]
#[case::older_first((0, 3_000), (0, 9_000), "first")]
fn punctual_first(#[case] first: (u32, u32), #[case] second: (u32, u32), #[case] loaded: &str) {
    assert_eq!(contended(first, second).as_deref(), Some(loaded));
}

/// A new lease holder does not know yet what an engine holds after a late order.
#[test]
fn unconfirmed_spared() {
    let mut site = Site::new(&[("a", 70_000, 0), ("rare", 70_000, 0)]);
    site.engine("e1", &["a"], &["rare"]).confirmed = false;
    site.add_queued("rare", None);
    assert_eq!(site.plan(), []);
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(5), ..Config::default() })]

    /// For any loaded, queued and busy models: no action exceeds an engine's memory, and no engine gets two actions.
    #[test]
    fn never_overfilled(
        sizes in prop::collection::vec(20_000..90_000_u64, 12),
        held in prop::collection::vec(prop::collection::btree_set(0..12_usize, 0..3), 1..8),
        wants in prop::collection::vec((0..12_usize, 0..10_u32), 0..12),
        busy in prop::collection::vec((0..12_usize, 1..12_u32), 0..4),
    ) {
        let names: Vec<String> = (0..12).map(|n| format!("m{n}")).collect();
        let models: Vec<_> = names.iter().zip(&sizes).map(|(n, s)| (n.as_str(), *s, 9)).collect();
        let mut site = Site::new(&models);
        for (n, set) in held.iter().enumerate() {
            let mut free = 200_000;
            let fits = |m: &&usize| {
                let fits = sizes[**m] <= free;
                free -= if fits { sizes[**m] } else { 0 };
                fits
            };
            let list: Vec<&str> = set.iter().filter(fits).map(|m| names[*m].as_str()).collect();
            site.engine(&format!("e{n}"), &list, &[&names[n]]);
        }
        for (model, adapter) in wants {
            let adapter = (adapter > 0).then(|| format!("a{}", adapter.min(9)));
            site.add_queued(&names[model], adapter.as_deref());
        }
        for (model, rate) in busy {
            site.busy(&names[model], rate);
        }
        let engine_spec = site.config.services[SERVICE].engine.clone().expect("engines");
        let mut seen = Vec::new();
        for action in site.plan() {
            let (Action::LoadModel { server, .. } | Action::LoadAdapter { server, .. }) = &action;
            assert!(!seen.contains(server), "two actions for {server}");
            seen.push(server.clone());
            let engine = site.engine_table.engines.get_mut(server).expect("known");
            match action {
                Action::LoadModel { model, victims, .. } => {
                    for victim in victims {
                        engine.remove_model(&victim);
                    }
                    engine.add_model(&model, NOW);
                }
                Action::LoadAdapter { model, adapter, victim, .. } => {
                    if let Some((model, adapter)) = victim {
                        let held = engine.models.iter_mut().find(|m| m.name == model);
                        held.expect("held").adapters.retain(|a| *a != adapter);
                    }
                    let held = engine.models.iter_mut().find(|m| m.name == model);
                    held.expect("held").adapters.push(adapter);
                }
            }
            assert!(engine.memory_used(&engine_spec) <= engine_spec.memory);
            assert!(engine.adapter_count() <= engine_spec.adapter_slots);
        }
    }
}

/// Guards against a stream that waits for its model at an engine of its software version while the lease holder counts
/// on an engine of another one.
#[rstest]
#[case::held_elsewhere("v1", Some("e1"))]
#[case::held("v2", None)]
#[case::no_server("v3", None)]
fn version_served(#[case] version: &str, #[case] server: Option<&str>) {
    let mut site = Site::new(&[("a", 70_000, 0), ("rare", 70_000, 0)]);
    site.engine("e1", &["a"], &["rare"]);
    let engine = site.engine("e2", &["a", "rare"], &[]);
    Rc::get_mut(&mut engine.server).expect("one reference").version = "v2".into();
    site.add_stream("rare", version);
    assert_eq!(load_of(&site.plan(), "rare").map(|(id, ..)| id), server);
}
