//! Reads and writes the table as a CSV file that can be edited in a spreadsheet.

use std::collections::BTreeSet;

use miette::Diagnostic;
use smol_str::SmolStr;
use thiserror::Error;

use crate::table::Row;
use crate::table::RowKind;

/// The header line, in the order of the columns.
pub const COLUMNS: [&str; 11] = [
    "name",
    "kind",
    "base",
    "weight",
    "limit",
    "replicas",
    "memory_mib",
    "load_mib",
    "priority",
    "idle_price",
    "repeat",
];

/// One error in a table file.
#[derive(Clone, Debug, Diagnostic, Eq, Error, PartialEq)]
#[error("line {line}, column {column}: {message}")]
pub struct TableFault {
    /// Line of the file, counted from 1.
    pub line: u64,
    /// Name of the column.
    pub column: &'static str,
    /// What is wrong and what is allowed.
    pub message: String,
}

/// All errors of a table file. A file with errors is rejected as a whole.
#[derive(Clone, Debug, Diagnostic, Error)]
#[error("the table has {} fault(s), and nothing of it was applied", faults.len())]
pub struct ReadTableError {
    /// The errors, in the order of the lines.
    #[related]
    pub faults: Vec<TableFault>,
}

struct Fields<'a> {
    record: &'a csv::StringRecord,
    line: u64,
    faults: Vec<TableFault>,
}

impl Fields<'_> {
    fn text(&self, column: usize) -> SmolStr {
        SmolStr::new(self.record.get(column).unwrap_or("").trim())
    }

    fn fault(&mut self, column: usize, message: impl Into<String>) {
        self.faults.push(TableFault {
            line: self.line,
            column: COLUMNS[column],
            message: message.into(),
        });
    }

    fn number(&mut self, column: usize, min: u64, max: u64) -> u64 {
        let text = self.text(column);
        match text.parse::<u64>() {
            Ok(n) if (min..=max).contains(&n) => n,
            _ => {
                self.fault(column, format!("`{text}` is not a whole number from {min} to {max}"));
                min
            }
        }
    }

    fn price(&mut self, column: usize) -> f64 {
        let text = self.text(column);
        match text.parse::<f64>() {
            Ok(n) if n.is_finite() && n >= 0.0 => n,
            _ => {
                self.fault(column, format!("`{text}` is not a number of at least 0"));
                0.0
            }
        }
    }

    fn kind(&mut self, column: usize) -> RowKind {
        match self.text(column).as_str() {
            "model" => RowKind::Model,
            "adapter" => RowKind::Adapter,
            "version" => RowKind::Version,
            "service" => RowKind::Service,
            other => {
                let message = format!("`{other}` is not model, adapter, version or service");
                self.fault(column, message);
                RowKind::Model
            }
        }
    }

    fn repeat(&mut self, column: usize) -> bool {
        match self.text(column).as_str() {
            "yes" => true,
            "no" => false,
            other => {
                let message = format!("`{other}` is not yes or no");
                self.fault(column, message);
                false
            }
        }
    }

    fn row(&mut self) -> Row {
        let row = Row {
            name: self.text(0),
            kind: self.kind(1),
            base: self.text(2),
            weight: self.number(3, 1, 1_000_000) as u32,
            limit: self.number(4, 1, 100_000) as u32,
            replicas: self.number(5, 0, 100_000) as u32,
            memory_mib: self.number(6, 0, 1 << 40),
            load_mib: self.number(7, 0, 1 << 40),
            priority: self.number(8, 0, 255) as u8,
            idle_price: self.price(9),
            repeat: self.repeat(10),
        };
        if !is_name(&row.name) {
            self.fault(0, "a name is needed, of letters, digits and . _ - / @ :");
        }
        if !row.base.is_empty() && !is_name(&row.base) {
            self.fault(2, "a base is a name of letters, digits and . _ - / @ :");
        }
        if row.kind == RowKind::Adapter && row.base.is_empty() {
            self.fault(2, "an adapter needs the name of its base model");
        }
        row
    }
}

fn is_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "._-/@:".contains(c);
    !text.is_empty() && text.chars().all(allowed)
}

/// Reads a table file.
///
/// # Errors
///
/// Returns all errors of the file with their lines and columns.
pub fn read_csv(text: &str) -> Result<Vec<Row>, ReadTableError> {
    let mut reader = csv::ReaderBuilder::new().flexible(true).from_reader(text.as_bytes());
    let mut faults = Vec::new();
    let header = reader.headers().cloned().unwrap_or_default();
    if !header.iter().map(str::trim).eq(COLUMNS) {
        let message = format!("the header must be: {}", COLUMNS.join(","));
        return Err(ReadTableError {
            faults: vec![TableFault { line: 1, column: COLUMNS[0], message }],
        });
    }
    let mut rows = Vec::new();
    let mut names = BTreeSet::new();
    for record in reader.records() {
        let record = match record {
            Ok(record) => record,
            Err(e) => {
                let line = e.position().map_or(0, csv::Position::line);
                faults.push(TableFault { line, column: COLUMNS[0], message: e.to_string() });
                continue;
            }
        };
        let line = record.position().map_or(0, csv::Position::line);
        let mut fields = Fields { record: &record, line, faults: Vec::new() };
        if record.len() == COLUMNS.len() {
            let row = fields.row();
            if !names.insert(row.name.clone()) {
                fields.fault(0, format!("`{}` stands twice", row.name));
            }
            rows.push(row);
        } else {
            let message = format!("{} fields, {} are needed", record.len(), COLUMNS.len());
            fields.fault(0, message);
        }
        faults.append(&mut fields.faults);
    }
    if faults.is_empty() { Ok(rows) } else { Err(ReadTableError { faults }) }
}

/// Writes rows as a table file that [`read_csv`] reads back unchanged.
pub fn write_csv<'a>(rows: impl IntoIterator<Item = &'a Row>) -> String {
    let mut out = COLUMNS.join(",");
    out.push('\n');
    for r in rows {
        let kind = match r.kind {
            RowKind::Model => "model",
            RowKind::Adapter => "adapter",
            RowKind::Version => "version",
            RowKind::Service => "service",
        };
        let repeat = if r.repeat { "yes" } else { "no" };
        let line = format!(
            "{},{kind},{},{},{},{},{},{},{},{},{repeat}\n",
            r.name,
            r.base,
            r.weight,
            r.limit,
            r.replicas,
            r.memory_mib,
            r.load_mib,
            r.priority,
            r.idle_price
        );
        out.push_str(&line);
    }
    out
}
