//! Which engine loads what: soonest for those who wait, never over an engine's memory.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use comfreymux_lib::boot_clock::Moment;
use comfreymux_lib::picture::configuration::CallerLimits;
use comfreymux_lib::picture::configuration::Configuration;
use comfreymux_lib::picture::configuration::EngineSpec;
use comfreymux_lib::picture::configuration::ModelSpec;
use comfreymux_lib::picture::configuration::Service;
use comfreymux_lib::picture::digest::CountNote;
use comfreymux_lib::picture::digest::DemandNote;
use comfreymux_lib::picture::digest::WantNote;
use comfreymux_lib::picture::directory::Copies;
use comfreymux_lib::picture::directory::HeldModel;
use comfreymux_lib::picture::directory::Server;
use comfreymux_lib::picture::loads::Loads;
use comfreymux_lib::picture::loads::Place;
use comfreymux_lib::place::demand::Demand;
use comfreymux_lib::place::ledger::Engine;
use comfreymux_lib::place::ledger::Job;
use comfreymux_lib::place::ledger::Ledger;
use comfreymux_lib::place::ledger::Source;
use comfreymux_lib::place::planner::Action;
use comfreymux_lib::place::planner::Scene;
use comfreymux_lib::place::store_pace::StoreShare;
use proptest::prelude::prop;
use proptest::prelude::proptest;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use smol_str::SmolStr;

const NOW: Moment = Duration::from_secs(100);
const SERVICE: &str = "draft";

/// A service of engines with room for two models of 70 GB and one of 40 GB, or three of 60.
struct Site {
    config: Configuration,
    ledger: Ledger,
    demand: Demand,
    loads: Loads,
    room: usize,
    share: StoreShare,
}

fn spec(size: u64, adapters: usize) -> ModelSpec {
    ModelSpec {
        size,
        load: Duration::from_secs(6),
        disk: Duration::from_millis(1600),
        warm: Duration::from_millis(1200),
        adapters: (1..=adapters).map(|n| format!("a{n}").into()).collect(),
        adapter_size: 50,
    }
}

impl Site {
    fn new(models: &[(&str, u64, usize)]) -> Self {
        let models = models.iter().map(|(n, size, a)| ((*n).into(), spec(*size, *a))).collect();
        let engine =
            EngineSpec { models, slots: 64, memory: 200_000, adapter_slots: 8, load_rate: 2.2 };
        let service = Service { name: SERVICE.into(), connections: 100, engine: Some(engine) };
        let limits = CallerLimits {
            head: 8192,
            body: 8192,
            head_time: Duration::from_secs(1),
            idle: Duration::from_secs(1),
        };
        Self {
            config: Configuration::new(1, Vec::new(), vec![service], limits),
            ledger: Ledger::default(),
            demand: Demand::default(),
            loads: Loads::default(),
            room: 8,
            share: StoreShare { proven: 4, limit: 4 },
        }
    }

    fn engine(&mut self, id: &str, held: &[&str], disk: &[&str]) -> &mut Engine {
        let held_model = |name: &&str| HeldModel { name: (*name).into(), adapters: Vec::new() };
        let server = Server {
            id: id.into(),
            service: SERVICE.into(),
            addr: "127.0.0.1:9000".parse().expect("an address"),
            centre: format!("c{}", id.len()).into(),
            slots: 64,
            leaving: false,
            models: held.iter().map(held_model).collect(),
            copies: Copies::default(),
            beat: 1,
        };
        let engine = Engine {
            models: server.models.clone(),
            server: Rc::new(server),
            sequence: 0,
            memory: Vec::new(),
            disk: disk.iter().chain(held).map(|m| (*m).into()).collect(),
            confirmed: true,
            job: None,
            adapters: Vec::new(),
            used: BTreeMap::new(),
            rest_until: Moment::ZERO,
        };
        self.ledger.engines.entry(id.into()).or_insert(engine)
    }

    fn want(&mut self, model: &str, adapter: Option<&str>) {
        let want = WantNote {
            service: SERVICE.into(),
            model: model.into(),
            adapter: adapter.map(Into::into),
            waiting: 1,
            left_ms: 10_000,
            due_ms: 4_000,
            avoid: Vec::new(),
        };
        let note = DemandNote { wants: vec![want], counts: Vec::new() };
        self.demand.hear(&format!("d-{model}").into(), note, NOW);
    }

    /// Makes a model asked for `rate` times a second.
    fn busy(&mut self, model: &str, rate: u32) {
        for count in [0, rate * 6] {
            let count =
                CountNote { service: SERVICE.into(), model: model.into(), adapter: None, count };
            let note = DemandNote { wants: Vec::new(), counts: vec![count] };
            self.demand.hear(&format!("busy-{model}").into(), note, NOW);
        }
    }

    fn plan(&self) -> Vec<Action> {
        let scene = Scene {
            now: NOW,
            config: &self.config,
            ledger: &self.ledger,
            demand: &self.demand,
            loads: &self.loads,
            unreachable: Vec::new(),
            share: self.share,
            store_room: self.room,
        };
        scene.plan()
    }
}

fn load_of<'a>(plan: &'a [Action], model: &str) -> Option<(&'a str, Vec<&'a str>, Source)> {
    plan.iter().find_map(|action| match action {
        Action::Load { server, model: m, victims, source, .. } if m == model => {
            Some((server.as_str(), victims.iter().map(SmolStr::as_str).collect(), *source))
        }
        _ => None,
    })
}

/// A rare model is asked for; its weights lie on one host's disk, 1.6 s away, and 6 s away from all
/// others.
#[test]
fn disk_preferred() {
    let mut site = Site::new(&[("a", 70_000, 0), ("b", 70_000, 0), ("rare", 70_000, 0)]);
    site.engine("e1", &["a", "b"], &[]);
    site.engine("e2", &["a", "b"], &["rare"]);
    site.want("rare", None);
    let plan = site.plan();
    let (server, victims, source) = load_of(&plan, "rare").expect("loaded");
    assert_eq!((server, source), ("e2", Source::Disk));
    assert_eq!(victims.len(), 1);
}

/// A caller waits ten seconds for a model that lay on a disk. The models on that host had been loaded
/// just before, so nothing there could make way for another second; the model was fetched from the
/// weight store to another host instead.
#[test]
fn settling_awaited() {
    let mut site = Site::new(&[("a", 70_000, 0), ("b", 70_000, 0), ("rare", 70_000, 0)]);
    site.engine("e1", &["a", "b"], &[]);
    let engine = site.engine("e2", &["a", "b"], &["rare"]);
    engine.used = [("a".into(), NOW), ("b".into(), NOW)].into();
    site.want("rare", None);
    assert_eq!(load_of(&site.plan(), "rare"), None);
}

/// The only host with a copy cannot be reached from the waiting daemons; the weight store has to do.
#[test]
fn copy_unreachable() {
    let mut site = Site::new(&[("a", 70_000, 0), ("b", 70_000, 0), ("rare", 70_000, 0)]);
    site.engine("e1", &["a", "b"], &[]);
    site.engine("e2", &["a", "b"], &["rare"]);
    let want = WantNote {
        service: SERVICE.into(),
        model: "rare".into(),
        adapter: None,
        waiting: 1,
        left_ms: 10_000,
        due_ms: 4_000,
        avoid: vec!["e2".into()],
    };
    let note = DemandNote { wants: vec![want], counts: Vec::new() };
    site.demand.hear(&"d1".into(), note, NOW);
    let plan = site.plan();
    let (server, _, source) = load_of(&plan, "rare").expect("loaded");
    assert_eq!((server, source), ("e1", Source::Store));
}

/// An engine at work is worth waiting for where its disk has the model.
#[test]
fn job_awaited() {
    let mut site = Site::new(&[("a", 70_000, 0), ("b", 70_000, 0), ("rare", 70_000, 0)]);
    site.engine("e1", &["a", "b"], &[]);
    let engine = site.engine("e2", &["a"], &["rare"]);
    engine.job = Some(Job {
        model: "b".into(),
        victims: Vec::new(),
        source: Source::Disk,
        since: NOW,
        eta: NOW + Duration::from_secs(1),
    });
    site.want("rare", None);
    assert_eq!(load_of(&site.plan(), "rare"), None);
}

/// Requests run on one of two possible victims; its unloading would wait for them.
#[test]
fn idle_victim() {
    let mut site = Site::new(&[("a", 70_000, 0), ("b", 70_000, 0), ("rare", 70_000, 0)]);
    site.engine("e1", &["a", "b"], &["rare"]);
    let place = Place { server: "e1".into(), model: Some("a".into()) };
    let _running = site.loads.begin(place, 100);
    site.want("rare", None);
    let plan = site.plan();
    assert_eq!(load_of(&plan, "rare").expect("loaded").1, ["b"]);
}

/// The last replicas of what most callers ask for must not make way for one rare request.
#[test]
fn busy_stays() {
    let mut site = Site::new(&[("a", 100_000, 0), ("b", 100_000, 0), ("rare", 70_000, 0)]);
    site.engine("e1", &["a", "b"], &["rare"]);
    site.busy("a", 3);
    site.want("rare", None);
    let plan = site.plan();
    assert_eq!(load_of(&plan, "rare").expect("loaded").1, ["b"]);
}

/// Demand moves to a model with one replica; it needs more before its queue grows.
#[test]
fn replica_added() {
    let mut site = Site::new(&[("a", 70_000, 0), ("b", 70_000, 0), ("riser", 70_000, 0)]);
    site.engine("e1", &["riser", "a"], &[]);
    site.engine("e22", &["a", "b"], &["riser"]);
    site.busy("riser", 6);
    let plan = site.plan();
    assert_eq!(load_of(&plan, "riser").expect("a second replica").0, "e22");
}

/// Four models fill all places twice over, and each is asked for often. Two further models are asked
/// for as often and were never loaded: nothing was allowed to make way for them.
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
    site.want("late", None);
    let plan = site.plan();
    assert_eq!(load_of(&plan, "late").expect("loaded").1.len(), 1);
}

#[test]
fn adapter_placed() {
    let mut site = Site::new(&[("a", 70_000, 12)]);
    let engine = site.engine("e1", &["a"], &[]);
    engine.models[0].adapters = (1..=8).map(|n| format!("a{n}").into()).collect();
    site.want("a", Some("a9"));
    let plan = site.plan();
    let [Action::Adapter { server, adapter, victim, .. }] = plan.as_slice() else {
        panic!("{plan:?}");
    };
    assert_eq!((server.as_str(), adapter.as_str()), ("e1", "a9"));
    assert!(victim.is_some(), "all places are taken");
}

/// Before traffic starts, models without a copy on any disk are fetched, a few at a time.
#[test]
fn copies_fetched() {
    let names: Vec<String> = (0..20).map(|n| format!("m{n}")).collect();
    let models: Vec<_> = names.iter().map(|n| (n.as_str(), 60_000, 0)).collect();
    let mut site = Site::new(&models);
    for (n, name) in names.iter().take(6).enumerate() {
        site.engine(&format!("e{n}"), &[name], &[]);
    }
    assert_eq!(site.plan().len(), 4);
    site.room = 1;
    assert_eq!(site.plan().len(), 1);
}

/// Callers of a busy model are refused for a minute. All hosts with copies of its weights were taken
/// away; the weight store serves one load at a time, and a rare model that had been asked for a little
/// earlier took its turn, since the longest wait came first.
#[test]
fn demand_first() {
    let names = ["a", "b", "c", "d", "rare", "asked"];
    let mut site = Site::new(&names.map(|n| (n, 60_000, 0)));
    site.engine("e1", &["a", "b"], &[]);
    site.engine("e2", &["c", "d"], &[]);
    site.share = StoreShare { proven: 1, limit: 1 };
    site.want("rare", None);
    site.busy("asked", 2);
    let plan = site.plan();
    assert!(load_of(&plan, "asked").is_some(), "{plan:?}");
    assert_eq!(load_of(&plan, "rare"), None);
}

/// The same callers: every engine was at work on some other load, and the busy model was promised the
/// one that would be free first, over and over, as that had nothing to lose yet.
#[test]
fn copyless_begun() {
    let mut site = Site::new(&["a", "b", "c", "d", "asked"].map(|n| (n, 70_000, 0)));
    site.engine("e1", &["a", "b"], &[]).job = Some(Job {
        model: "c".into(),
        victims: vec!["b".into()],
        source: Source::Disk,
        since: NOW,
        eta: NOW + Duration::from_millis(200),
    });
    site.engine("e2", &["c", "d"], &[]);
    site.busy("asked", 3);
    site.want("asked", None);
    for model in ["c", "d"] {
        site.busy(model, 2);
    }
    assert_eq!(load_of(&site.plan(), "asked").map(|l| l.0), Some("e2"));
}

/// Engines with copies of a busy model were at work for another second when it needed a replica. It was
/// fetched from the weight store, which took 13 s, and those that lay on no host waited behind it.
#[test]
fn copy_awaited() {
    let mut site = Site::new(&["a", "b", "c", "d", "busy"].map(|n| (n, 70_000, 0)));
    site.engine("e1", &["busy", "a"], &[]);
    site.engine("e22", &["b", "c"], &["busy"]).job = Some(Job {
        model: "d".into(),
        victims: vec!["b".into()],
        source: Source::Disk,
        since: NOW,
        eta: NOW + Duration::from_millis(900),
    });
    site.engine("e333", &["a", "d"], &[]);
    site.busy("busy", 3);
    assert_eq!(load_of(&site.plan(), "busy"), None);
}

/// A model's callers rise from eight a second to twenty-four within two seconds. Counted over six
/// seconds its arrivals ask for three replicas; a quarter of the first events came late until more were
/// added.
#[test]
fn peak_followed() {
    let mut site = Site::new(&["a", "b", "c", "d", "e", "f", "hot"].map(|n| (n, 70_000, 0)));
    site.engine("e1", &["hot", "a"], &[]);
    site.engine("e22", &["hot", "b"], &[]);
    site.engine("e333", &["hot", "c"], &[]);
    site.engine("e4444", &["d", "e"], &["hot"]);
    let count =
        |count| CountNote { service: SERVICE.into(), model: "hot".into(), adapter: None, count };
    for (seconds, total) in [(10, 0), (8, 16), (6, 32), (4, 48), (2, 64), (0, 112)] {
        let note = DemandNote { wants: Vec::new(), counts: vec![count(total)] };
        site.demand.hear(&"d1".into(), note, NOW.saturating_sub(Duration::from_secs(seconds)));
    }
    assert_eq!(load_of(&site.plan(), "hot").map(|l| l.0), Some("e4444"));
}

/// Streams of a model take longer than its arrivals tell: most slots of its engines are taken, and new
/// requests wait for one.
#[test]
fn full_relieved() {
    let mut site = Site::new(&["a", "b", "c", "d", "hot"].map(|n| (n, 70_000, 0)));
    site.engine("e1", &["hot", "a"], &[]);
    site.engine("e22", &["hot", "b"], &[]);
    site.engine("e333", &["c", "d"], &["hot"]);
    site.busy("hot", 1);
    assert_eq!(load_of(&site.plan(), "hot"), None);
    let place = |server: &str| Place { server: server.into(), model: Some("hot".into()) };
    let running: Vec<_> =
        (0..80).map(|n| site.loads.begin(place(["e1", "e22"][n % 2]), 100)).collect();
    assert_eq!(load_of(&site.plan(), "hot").map(|l| l.0), Some("e333"));
    drop(running);
}

/// Two callers wait for models that only one engine can load soon.
fn contended(first: (u32, u32), second: (u32, u32)) -> Option<String> {
    let mut site = Site::new(&["a", "b", "c", "first", "second"].map(|n| (n, 70_000, 0)));
    site.engine("e1", &["a", "b"], &["first", "second"]);
    site.engine("e22", &["a", "c"], &[]);
    for (seconds, model, (due_ms, left_ms)) in [(5, "first", first), (1, "second", second)] {
        let want = WantNote {
            service: SERVICE.into(),
            model: model.into(),
            adapter: None,
            waiting: 1,
            left_ms,
            due_ms,
            avoid: Vec::new(),
        };
        for now in [NOW.saturating_sub(Duration::from_secs(seconds)), NOW] {
            let note = DemandNote { wants: vec![want.clone()], counts: Vec::new() };
            site.demand.hear(&format!("d-{model}").into(), note, now);
        }
    }
    let plan = site.plan();
    ["first", "second"].into_iter().find(|m| load_of(&plan, m).is_some()).map(Into::into)
}

/// A family's draft comes after five seconds where three were promised, and so do all that follow: the
/// longest wait came first, so every load was for a caller who had just become late. Those who can
/// still be served in time go first, the nearest to its limit before others; then those who leave first;
/// last those whom no load can reach.
#[rstest]
#[case::older_late((0, 9_000), (2_500, 9_000), "second")]
#[case::nearer_limit((2_900, 9_000), (2_500, 9_000), "second")]
#[case::both_late((0, 9_000), (0, 3_000), "second")]
#[case::older_lost((0, 300), (0, 9_000), "second")]
#[case::older_first((0, 3_000), (0, 9_000), "first")]
fn punctual_first(#[case] first: (u32, u32), #[case] second: (u32, u32), #[case] loaded: &str) {
    assert_eq!(contended(first, second).as_deref(), Some(loaded));
}

/// A new holder of the lease does not know yet what an engine holds after a late order.
#[test]
fn unconfirmed_spared() {
    let mut site = Site::new(&[("a", 70_000, 0), ("rare", 70_000, 0)]);
    site.engine("e1", &["a"], &["rare"]).confirmed = false;
    site.want("rare", None);
    assert_eq!(site.plan(), []);
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(5), ..Config::default() })]

    /// Whatever is held, wanted and busy: no step overfills an engine, and none gets two at once.
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
            site.want(&names[model], adapter.as_deref());
        }
        for (model, rate) in busy {
            site.busy(&names[model], rate);
        }
        let engine_spec = site.config.services[SERVICE].engine.clone().expect("engines");
        let mut seen = Vec::new();
        for action in site.plan() {
            let (Action::Load { server, .. } | Action::Adapter { server, .. }) = &action;
            assert!(!seen.contains(server), "two steps for {server}");
            seen.push(server.clone());
            let engine = site.ledger.engines.get_mut(server).expect("known");
            match action {
                Action::Load { model, victims, .. } => {
                    for victim in victims {
                        engine.unloaded(&victim);
                    }
                    engine.loaded(&model, NOW);
                }
                Action::Adapter { model, adapter, victim, .. } => {
                    if let Some((model, adapter)) = victim {
                        let held = engine.models.iter_mut().find(|m| m.name == model);
                        held.expect("held").adapters.retain(|a| *a != adapter);
                    }
                    let held = engine.models.iter_mut().find(|m| m.name == model);
                    held.expect("held").adapters.push(adapter);
                }
            }
            assert!(engine.taken(&engine_spec) <= engine_spec.memory);
            assert!(engine.adapter_count() <= engine_spec.adapter_slots);
        }
    }
}
