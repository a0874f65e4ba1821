//! Tests which order an engine carried out, by its report.

use comfreymux_lib::cluster::directory::LoadedModel;
use comfreymux_lib::cluster::directory::WeightCopies;
use comfreymux_lib::ids::ModelName;
use comfreymux_lib::placement::order_effect::is_applied;
use comfreymux_lib::protocol::EngineReport;
use comfreymux_lib::protocol::OrderKind;
use rstest::rstest;

fn report(held: &[(&str, &[&str])]) -> EngineReport {
    let model = |(name, adapters): &(&str, &[&str])| LoadedModel {
        name: (*name).into(),
        adapters: adapters.iter().map(|a| (*a).into()).collect(),
    };
    let models = held.iter().map(model).collect();
    EngineReport { models, copies: WeightCopies::default(), busy: false, sequence: 26, born: None }
}

/// An engine does not answer orders and carries them out seconds later. The load of adapter a24 timed out, and the next
/// change unloads a31 to free a slot for a22. The engine then loads a24 after all, which raises its order count as the
/// unload would have. When this was mistaken for the unload, a22 was loaded although all slots were full, and the
/// engine crashed.
#[rstest]
#[case::late_load(&[("m", &["a24", "a31"][..])], OrderKind::Unload, Some("a31"), false)]
#[case::own_unload(&[("m", &["a24"][..])], OrderKind::Unload, Some("a31"), true)]
#[case::own_load(&[("m", &["a22"][..])], OrderKind::Load, Some("a22"), true)]
#[case::other_load(&[("m", &["a24"][..])], OrderKind::Load, Some("a22"), false)]
#[case::model_there(&[("m", &[][..])], OrderKind::Unload, None, false)]
#[case::model_gone(&[("n", &[][..])], OrderKind::Unload, None, true)]
#[case::model_loaded(&[("m", &[][..])], OrderKind::Load, None, true)]
#[case::model_missing(&[("n", &[][..])], OrderKind::Load, None, false)]
fn late_attributed(
    #[case] held: &[(&str, &[&str])],
    #[case] kind: OrderKind,
    #[case] adapter: Option<&str>,
    #[case] expected: bool,
) {
    let model: ModelName = "m".into();
    let adapter = adapter.map(Into::into);
    assert_eq!(is_applied(&report(held), &kind, &model, adapter.as_ref()), expected);
}
