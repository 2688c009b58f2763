//! Tests of the drawn scenarios.

use super::*;

#[test]
fn drawn_scenarios_parse_and_depend_on_the_seed_only() {
    let folder = std::env::temp_dir().join(format!("dahliapoint-hunt-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    std::fs::write(folder.join("base.yaml"), BASE_DEPLOYMENT).unwrap();
    let file = folder.join("day.yaml");
    let mut kinds = std::collections::BTreeSet::new();
    for seed in 0..200 {
        let text = draw_scenario(seed);
        assert_eq!(text, draw_scenario(seed));
        std::fs::write(&file, &text).unwrap();
        let scenario = crate::scenario::load(&file).unwrap_or_else(|why| panic!("{why}\n{text}"));
        let target_count = scenario
            .events
            .iter()
            .map(|e| e.targets.len())
            .max()
            .unwrap_or(0);
        assert!(
            target_count * 3 <= scenario.servers.max(scenario.proxies),
            "{text}"
        );
        kinds.extend(scenario.events.iter().map(|e| format!("{:?}", e.action)));
    }
    assert_eq!(kinds.len(), ACTIONS.len(), "all kinds are drawn: {kinds:?}");
    std::fs::remove_dir_all(&folder).unwrap();
}
