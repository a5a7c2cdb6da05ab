//! Variants are parsed and applied, and ratios are computed within each round.

use std::path::Path;

use carobstep_bench::{
    DeploymentOptions, DeploymentVariant, FigureRatio, ScenarioName, ScenarioPlan,
};
use yare::parameterized;

#[parameterized(
    no_value = { "hedge-percent" },
    unknown_key = { "speed=3" },
    not_a_number = { "nodes-per-zone=many" },
    second_is_bad = { "hedge-percent=1,retry-percent=x" },
)]
fn rejects_a_bad_variant(text: &str) {
    let error = DeploymentVariant::try_from(text).unwrap_err();
    assert!(error.to_string().contains(text.rsplit(',').next().unwrap()), "{error}");
}

#[test]
fn applies_every_change() {
    let text =
        "bin-dir=/bin,nodes-per-zone=3,hedge-percent=0,split=true,settings.lease.term_ms=900";
    let variant = DeploymentVariant::try_from(text).unwrap();
    let mut plan = ScenarioPlan::from(ScenarioName::Demo);
    let mut options = DeploymentOptions::new(Path::new("a"), Path::new("b"));
    variant.apply(&mut plan, &mut options);
    assert_eq!(options.bin_dir, Path::new("/bin"));
    assert_eq!(plan.nodes_per_zone, 3);
    assert_eq!(options.hedge.hedge_percent, 0.0);
    assert!(options.split);
    assert_eq!(options.node_settings["lease"]["term_ms"], 900);
}

#[test]
fn ratios_are_computed_within_a_round() {
    let ratio = FigureRatio::from_rounds(vec![1.0, 2.0, 0.0, 4.0], vec![2.0, 2.0, 9.0, 2.0]);
    assert_eq!((ratio.least, ratio.median, ratio.largest), (0.5, 1.0, 2.0));
}
