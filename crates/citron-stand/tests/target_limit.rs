//! A target's limit holds over all gateways while they die, join and are cut off.

use citron_stand::bench::target_limit::{Method, Trouble, simulate};

macro_rules! limit_holds {
    ($($name:ident: $trouble:expr;)*) => {$(
        #[test]
        fn $name() {
            for (gateways, limit_per_s) in [(18, 1.1), (18, 4.6), (40, 12.0)] {
                let outcome = simulate(gateways, limit_per_s, $trouble, Method::Shares);
                let allowed = 1.5 * limit_per_s * 4.0 + 5.0;
                assert!(outcome.worst as f64 <= allowed, "{limit_per_s}: {outcome:?}");
                // Full buckets hold at most two seconds of the limit, in a run of 87 seconds.
                assert!(outcome.used <= 1.0 + 2.0 / 87.0, "{limit_per_s}: {outcome:?}");
                assert!(outcome.used >= 0.7, "{limit_per_s}: {outcome:?}");
            }
        }
    )*};
}

limit_holds! {
    a_limit_holds_in_a_calm_fleet: Trouble::Calm;
    a_limit_holds_while_gateways_restart: Trouble::Restarts;
    a_limit_holds_while_gateways_are_cut_off: Trouble::Cut;
    a_limit_holds_when_most_gateways_are_killed: Trouble::HerdKill;
    a_limit_holds_when_gateways_are_lost: Trouble::Loss;
    a_limit_holds_while_gateways_join: Trouble::Joins;
}
