//! Whether a report shows that an order was carried out.

use smol_str::SmolStr;

use crate::ids::ModelName;
use crate::protocol::EngineReport;
use crate::protocol::OrderKind;

/// Returns whether an engine holds what it would hold after an order.
///
/// The number of accepted orders alone does not tell whose order was the last one: an engine may carry out an
/// unanswered order long after the change that it belonged to was given up, with the same number expected. Taken for
/// the next change's order, it let that one go on, and the engine was filled beyond its memory.
pub fn is_applied(
    report: &EngineReport,
    kind: &OrderKind,
    model: &ModelName,
    adapter: Option<&SmolStr>,
) -> bool {
    let held = report.models.iter().find(|held| held.name == *model);
    let is_there = match adapter {
        Some(adapter) => held.is_some_and(|held| held.adapters.contains(adapter)),
        None => held.is_some(),
    };
    match kind {
        OrderKind::Load => is_there,
        OrderKind::Unload => !is_there,
    }
}
