//! Seeded runs of a fleet that keeps allowances by loans, under every kind of fault.

use std::time::Duration;

use citron_stand::bench::limits::{DEMANDS, Faults, Method, Setup, simulate};

const ALL: Faults =
    Faults { loss: 0.1, cuts: true, replacements: true, pauses: true, repeats: true };

#[test]
fn no_window_exceeds_its_bound_under_any_fault() {
    let number = |name, default| {
        std::env::var(name).map_or(default, |text| text.parse().expect("a whole number"))
    };
    let length = Duration::from_secs(number("CITRON_STEPS", 60));
    for seed in 0..number("CITRON_SEEDS", 2) {
        for demand in DEMANDS {
            let setup = Setup { method: Method::Loans, demand, faults: ALL, length, seed };
            let over = simulate(&setup).over;
            assert!(
                over == 0.0,
                "demand {demand}, seed {seed}: {over} requests over the bound; run \
                 CITRON_SEEDS={} cargo test -p citron-stand --test limits",
                seed + 1
            );
        }
    }
}

#[test]
fn one_host_can_use_nearly_the_whole_plan() {
    for demand in &DEMANDS[..2] {
        let faults = Faults::NONE;
        let length = Duration::from_secs(45);
        let setup = Setup { method: Method::Loans, demand: *demand, faults, length, seed: 1 };
        let usable = simulate(&setup).usable;
        assert!(usable >= 0.95, "demand {demand}: only {usable} of the plan");
    }
}
