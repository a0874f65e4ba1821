//! Small simulated deployments for failure tests, and helpers for them.

use std::time::Duration;

use comfreymux_lib::demand::WaitingRequests;
use comfreymux_lib::event::Event;
use comfreymux_lib::record::Phase;
use comfreymux_lib::record::Source;
use comfreymux_lib::table::Edit;
use comfreymux_lib::table::Row;
use comfreymux_lib::table::RowChange;
use comfreymux_testutils::rows;

use crate::fake_engine::FakeEngine;
use crate::world::World;

/// Step of virtual time in tests.
pub const STEP: Duration = Duration::from_millis(50);

/// Shorthand for [`Duration::from_secs`].
pub fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

/// Returns an edit that sets one row, based on the row's current version.
pub fn edit(world: &World, id: &str, row: Row) -> Event {
    let base = world.head.table.versioned_row(&row.name).map_or(0, |v| v.version);
    let changes = vec![RowChange { name: row.name.clone(), base, row: Some(row) }];
    Event::Edit(Edit { id: id.into(), author: "test".into(), changes })
}

/// Returns an engine with every checkpoint on its disk, so that nothing is loaded without demand.
pub fn engine(fencing: bool) -> FakeEngine {
    let mut engine = FakeEngine::new(25_000, fencing);
    for model in ["m1", "m2", "m3", "m4", "m5"] {
        engine.cached.insert(model.into(), Source::Disk);
    }
    engine
}

/// Returns [`world_of`] with the engine of [`engine`].
pub fn world(fencing: bool) -> World {
    world_of(&engine(fencing))
}

/// Returns two daemons and one engine in data centre `a`, one daemon and one engine in `b`, and four
/// models in the table.
///
/// # Panics
///
/// Panics if an invariant is violated during setup.
pub fn world_of(engine: &FakeEngine) -> World {
    let mut world = World::default();
    world.add_engine("e1", "a", engine.clone());
    world.add_engine("e2", "b", engine.clone());
    world.add_daemon("d1", "a");
    world.add_daemon("d2", "a");
    world.add_daemon("d3", "b");
    world.run(seconds(4), STEP).unwrap();
    for (i, name) in ["m1", "m2", "m3", "m4"].into_iter().enumerate() {
        let event = edit(&world, &format!("t{i}"), rows::model(name));
        world.give("d1", event);
        world.run(seconds(1), STEP).unwrap();
    }
    world
}

/// Replaces a daemon's queue with one request for each of these models.
///
/// # Panics
///
/// Panics if the daemon does not exist.
pub fn want(world: &mut World, daemon: &str, models: &[&str]) {
    let line = |m: &&str| WaitingRequests { model: (*m).into(), count: 1, weight: 5 };
    world.daemons.get_mut(daemon).unwrap().waiting = models.iter().map(line).collect();
}

/// Returns the lease holder of a data centre.
pub fn holder(world: &World, centre: &str) -> String {
    world.head.leases[centre].daemon.to_string()
}

/// Returns the phase of a model's first slot.
pub fn phase_of(world: &World, model: &str) -> Option<Phase> {
    world.head.slots_of(model).next().map(|(_, s)| s.phase)
}

/// Returns one daemon, one engine with memory for two models, and three models in the table.
///
/// # Panics
///
/// Panics if an invariant is violated during setup.
pub fn small_world(fencing: bool) -> World {
    let mut world = World::default();
    world.add_engine("e1", "a", engine(fencing));
    world.add_daemon("d1", "a");
    world.run(seconds(4), STEP).unwrap();
    for name in ["m1", "m2", "m3"] {
        let event = edit(&world, name, rows::model(name));
        world.give("d1", event);
        world.run(seconds(1), STEP).unwrap();
    }
    world
}
