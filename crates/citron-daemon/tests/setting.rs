//! Sources, precedence and errors of settings.

use std::{ffi::OsString, net::SocketAddr};

use assert_matches::assert_matches;
use citron_daemon::setting::{Error, Request, Spec, Values, read};

const SPECS: &[Spec] = &[
    Spec {
        flag: "listen",
        variable: "CITRON_LISTEN",
        default: None,
        help: "address for callers",
        valid: "an IP address and port",
    },
    Spec {
        flag: "slots",
        variable: "CITRON_SLOTS",
        default: Some("3"),
        help: "slots",
        valid: "a count",
    },
];

fn values(args: &[&str], variable: Option<(&str, &str)>) -> Result<Values, Error> {
    let args = args.iter().map(OsString::from);
    let lookup =
        |name: &str| variable.filter(|(key, _)| *key == name).map(|(_, value)| value.to_owned());
    match read("program", "about", SPECS, args, lookup)? {
        Request::Run(values) => Ok(values),
        Request::Print(text) => panic!("unexpected text {text}"),
    }
}

macro_rules! case {
    ($name:ident, $args:expr, $variable:expr, $check:expr) => {
        #[test]
        fn $name() {
            let check: fn(Result<Values, Error>) = $check;
            check(values($args, $variable));
        }
    };
}

case!(flag_overrides_variable, &["--slots", "5"], Some(("CITRON_SLOTS", "7")), |values| {
    assert_eq!(values.unwrap().get::<u32>("slots"), Ok(5));
});
case!(variable_overrides_default, &[], Some(("CITRON_SLOTS", "7")), |values| {
    assert_eq!(values.unwrap().get::<u32>("slots"), Ok(7));
});
case!(default_is_used, &[], None, |values| {
    assert_eq!(values.unwrap().get::<u32>("slots"), Ok(3));
});
case!(missing_setting_error_names_flag_and_variable, &[], None, |values| {
    let error = values.unwrap().get::<SocketAddr>("listen").unwrap_err();
    assert_matches!(error, Error::Missing { flag: "listen", variable: "CITRON_LISTEN", .. });
});
case!(invalid_value_error_names_value_and_variable, &["--listen", "nowhere"], None, |values| {
    let error = values.unwrap().get::<SocketAddr>("listen").unwrap_err();
    assert!(error.to_string().contains("\"nowhere\""), "{error}");
    assert!(error.to_string().contains("CITRON_LISTEN"), "{error}");
});
case!(unknown_flag_is_rejected, &["--nothing", "1"], None, |values| {
    assert_matches!(values, Err(Error::Usage(_)));
});
case!(flag_without_value_is_rejected, &["--listen"], None, |values| {
    assert_matches!(values, Err(Error::Usage(_)));
});
