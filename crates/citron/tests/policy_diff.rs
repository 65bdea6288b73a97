//! The differences between two policies.

use citron::policy::{Diff, Policy};

const CUSTOMERS: &str = "customer = [{ name = \"izmir\", plan = \"roaster\" }]";
const GRANTS: &str = r#"
    service = [{ name = "lot-desk", profile = "careful", class = "live", floor = 0.7, deadline_ms = 5000 }]
    plan = [{ name = "roaster", use = [{ service = "lot-desk", rate = 5.0, burst = 10.0 }] }]
    route = [{ prefix = "/lots/", service = "lot-desk" }]
"#;

/// Defines a test of a text replacement in the lists and the diff that results.
macro_rules! case {
    ($name:ident, $before:expr, $after:expr, $lines:expr) => {
        #[test]
        fn $name() {
            let before = Policy::parse(CUSTOMERS, GRANTS).unwrap();
            let change = |list: &str| list.replace($before, $after);
            let after = Policy::parse(&change(CUSTOMERS), &change(GRANTS)).unwrap();
            assert_eq!(Diff::between(&before, &after).to_string(), $lines);
            let reverse = Diff::between(&after, &before);
            assert_eq!(reverse.is_empty(), $lines.is_empty());
        }
    };
}

case!(equal, "nothing", "else", "");
case!(
    customer_renamed,
    "izmir",
    "bursa",
    "+ customer bursa: plan roaster\n- customer izmir: plan roaster\n"
);
case!(
    service_changed,
    "0.7",
    "0.8",
    "- service lot-desk: profile careful, class live, floor 0.7, deadline 5000 ms\n\
     + service lot-desk: profile careful, class live, floor 0.8, deadline 5000 ms\n"
);
case!(
    plan_changed,
    "burst = 10.0",
    "burst = 20.0",
    "- plan roaster: lot-desk 5/s burst 10\n+ plan roaster: lot-desk 5/s burst 20\n"
);
case!(
    route_changed,
    "service = \"lot-desk\" }]\n",
    "service = \"lot-desk\", idempotent = true }]\n",
    "- route /lots/: service lot-desk\n+ route /lots/: service lot-desk, idempotent true\n"
);
