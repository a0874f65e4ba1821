//! Checks whether an engine's report shows the effect of an order.

use smol_str::SmolStr;

use crate::ids::ModelName;
use crate::protocol::EngineReport;
use crate::protocol::OrderKind;

/// Returns whether an engine's models match the effect of an order.
///
/// The number of accepted orders does not identify the last order: an engine may carry out an unanswered order long
/// after its change was cancelled, and this order expects the same number. When it was mistaken for the next
/// change's order, that change continued, and the engine was filled beyond its memory.
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
