//! The operators' table of models and services, and its edits.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::ids::Mebibytes;
use crate::ids::ModelName;
use crate::ids::Position;

/// What a row describes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum RowKind {
    /// A model that a backend server loads from a checkpoint.
    Model,
    /// An adapter that is loaded beside its base model.
    Adapter,
    /// A version of a model, loaded as a separate model.
    Version,
    /// A plain service: always running, never loaded.
    Service,
}

/// One row of the table.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Row {
    /// Name that requests use. Invariant: not empty, unique in a table.
    pub name: ModelName,
    /// What the row describes.
    pub kind: RowKind,
    /// Base model of an adapter or version; empty for others.
    pub base: ModelName,
    /// Relative share of the weight store and of the queue when they are contended. Invariant: at
    /// least 1.
    pub weight: u32,
    /// Maximum number of requests in progress on one replica. Invariant: at least 1.
    pub limit: u32,
    /// Maximum number of replicas loaded at the same time, over all data centres.
    pub replicas: u32,
    /// Accelerator memory of one replica.
    pub memory_mib: Mebibytes,
    /// Size of the checkpoint that a load reads.
    pub load_mib: Mebibytes,
    /// Priority; under overload, requests with a lower value are refused first.
    pub priority: u8,
    /// Price of an idle accelerator hour, in seconds of a caller's cold-start wait.
    /// Invariant: finite, not negative.
    pub idle_price: f64,
    /// Whether a request may run twice without harm.
    pub repeat: bool,
}

impl Row {
    /// Returns whether a replica of this row is loaded onto a backend server.
    pub fn is_loadable(&self) -> bool {
        self.kind != RowKind::Service
    }
}

/// A row and the position of the edit that set it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct VersionedRow {
    /// The row.
    pub row: Row,
    /// Position of the accepted edit. Invariant: grows with every accepted change of the row.
    pub version: Position,
}

/// One row's change inside an edit.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RowChange {
    /// The row that changes.
    pub name: ModelName,
    /// Version that the author saw; 0 if the row did not exist.
    pub base: Position,
    /// The new row; `None` removes it.
    pub row: Option<Row>,
}

/// A set of row changes that is applied atomically.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Edit {
    /// Chosen by the author. Submitting an edit again with the same id does not apply it twice.
    pub id: SmolStr,
    /// Who made it, for the history.
    pub author: SmolStr,
    /// The changes, at most one per row.
    pub changes: Vec<RowChange>,
}

/// The table as of one position in the log.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Table {
    rows: BTreeMap<ModelName, VersionedRow>,
}

impl Table {
    /// Creates a table from rows with their versions.
    pub fn from_rows(rows: impl IntoIterator<Item = VersionedRow>) -> Self {
        Self { rows: rows.into_iter().map(|v| (v.row.name.clone(), v)).collect() }
    }

    /// Returns the row named `name`.
    pub fn row(&self, name: &str) -> Option<&Row> {
        self.rows.get(name).map(|v| &v.row)
    }

    /// Returns the row named `name` with its version.
    pub fn versioned_row(&self, name: &str) -> Option<&VersionedRow> {
        self.rows.get(name)
    }

    /// Iterates over the rows in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &VersionedRow> {
        self.rows.values()
    }

    /// Returns the first row of the edit whose version differs from the one that its author saw.
    ///
    /// This decides between concurrent edits of a row: the first in the log wins, and every later
    /// one based on the same version conflicts. Every daemon that reads the log gets the same
    /// result.
    pub fn find_conflict<'a>(&self, edit: &'a Edit) -> Option<&'a ModelName> {
        edit.changes
            .iter()
            .find(|c| self.rows.get(&c.name).map_or(0, |v| v.version) != c.base)
            .map(|c| &c.name)
    }

    /// Returns the table after `edit`, which must not conflict.
    #[must_use]
    pub fn apply(&self, edit: &Edit, version: Position) -> Self {
        let mut rows = self.rows.clone();
        for change in &edit.changes {
            match &change.row {
                Some(row) => {
                    let row = row.clone();
                    rows.insert(change.name.clone(), VersionedRow { row, version });
                }
                None => {
                    rows.remove(&change.name);
                }
            }
        }
        Self { rows }
    }

    /// Returns the changes that turn this table into `rows`.
    pub fn diff(&self, rows: &[Row]) -> Vec<RowChange> {
        let mut changes = Vec::new();
        for row in rows {
            let base = self.rows.get(&row.name);
            if base.is_some_and(|v| v.row == *row) {
                continue;
            }
            changes.push(RowChange {
                name: row.name.clone(),
                base: base.map_or(0, |v| v.version),
                row: Some(row.clone()),
            });
        }
        for (name, old) in &self.rows {
            if rows.iter().all(|r| r.name != *name) {
                changes.push(RowChange { name: name.clone(), base: old.version, row: None });
            }
        }
        changes
    }
}
