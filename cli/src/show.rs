//! Output of the command line: JSON for scripts or text.

use comfreymux_lib::table::RowChange;
use serde_json::Value;

/// Prints a value as JSON if `json` is set, otherwise with `text`.
pub(crate) fn value(json: bool, value: &Value, text: impl FnOnce(&Value)) {
    if json {
        println!("{value}");
    } else {
        text(value);
    }
}

fn plain_text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

/// Prints a daemon's status.
pub(crate) fn status(value: &Value) {
    println!(
        "daemon {} in {}, log {} at offset {}, {} requests in progress",
        plain_text(&value["daemon"]),
        plain_text(&value["centre"]),
        if value["log_up"] == true { "up" } else { "down" },
        value["offset"],
        value["active"],
    );
    for (centre, lease) in value["leases"].as_object().into_iter().flatten() {
        println!("lease {centre}: {} fence={}", plain_text(&lease["daemon"]), lease["fence"]);
    }
    for slot in value["slots"].as_array().into_iter().flatten() {
        println!(
            "slot {:>10} {:<20} {:<16} {} MiB {}",
            slot["slot"],
            plain_text(&slot["model"]),
            plain_text(&slot["server"]),
            slot["memory_mib"],
            plain_text(&slot["phase"]),
        );
    }
    for waiting in value["waiting"].as_array().into_iter().flatten() {
        println!("waiting {}: {}", plain_text(&waiting["model"]), waiting["count"]);
    }
}

/// Prints decisions, oldest first.
pub(crate) fn lines(value: &Value) {
    for line in value["lines"].as_array().into_iter().flatten() {
        println!(
            "{:>10.3}s {:<8} {} {} {}",
            line["at"].as_f64().unwrap_or_default(),
            plain_text(&line["action"]),
            plain_text(&line["model"]),
            plain_text(&line["place"]),
            plain_text(&line["reason"]),
        );
    }
}

/// Prints the table's history.
pub(crate) fn history(value: &Value) {
    for edit in value["edits"].as_array().into_iter().flatten() {
        let outcome = match edit["conflict"].as_str() {
            None => "accepted".to_owned(),
            Some(row) => format!("conflict on {row}"),
        };
        println!(
            "{:>10} {} by {}: {} rows, {outcome}",
            edit["position"],
            plain_text(&edit["id"]),
            plain_text(&edit["author"]),
            edit["rows"].as_array().map_or(0, Vec::len),
        );
    }
}

/// Prints the changes that applying a CSV file would make.
pub(crate) fn changes(changes: &[RowChange]) {
    if changes.is_empty() {
        println!("nothing would change");
    }
    for change in changes {
        let what = match (&change.row, change.base) {
            (None, _) => "remove",
            (Some(_), 0) => "add",
            (Some(_), _) => "change",
        };
        println!("{what} {}", change.name);
    }
}
