//! The lagging host list.

use std::time::Duration;

use citron_platform::Hosts;
use citron_stand::platform::HostList;

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Asserts the version that the list shows at each time.
#[track_caller]
fn assert_shown(list: &mut HostList, at_ms: &[(u64, u64)]) {
    for (at, version) in at_ms {
        assert_eq!(list.get(ms(*at)).version, *version, "at {at} ms");
    }
}

#[test]
fn change_is_shown_after_the_lag() {
    let mut list = HostList::new(Hosts::default());
    list.set_lag(ms(100));
    list.set(ms(10), Hosts::default());
    assert_shown(&mut list, &[(10, 0), (109, 0), (110, 1)]);
}

#[test]
fn later_change_is_not_shown_before_an_earlier_one() {
    let mut list = HostList::new(Hosts::default());
    list.set_lag(ms(100));
    list.set(ms(0), Hosts::default());
    list.set_lag(ms(0));
    list.set(ms(10), Hosts::default());
    assert_shown(&mut list, &[(10, 0), (99, 0), (100, 2)]);
}
