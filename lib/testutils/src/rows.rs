//! Table rows for tests and the demo.

use comfreymux_lib::table::Row;
use comfreymux_lib::table::RowKind;

/// Returns a model of 10,000 MiB with one replica, whose requests may be repeated.
pub fn model(name: &str) -> Row {
    Row {
        name: name.into(),
        kind: RowKind::Model,
        base: "".into(),
        weight: 1,
        limit: 8,
        replicas: 1,
        memory_mib: 10_000,
        load_mib: 1_000,
        priority: 5,
        idle_price: 60.0,
        repeat: true,
    }
}

/// Returns a plain service whose calls may not be repeated.
pub fn service(name: &str) -> Row {
    Row {
        kind: RowKind::Service,
        replicas: 0,
        memory_mib: 0,
        load_mib: 0,
        limit: 64,
        repeat: false,
        ..model(name)
    }
}
