//! Until when vanished entries are kept: only around an outage that every gateway saw.

use std::time::Duration;

use citron::outage::{self, Contact, Link, Silence};

/// How long entries are kept after an outage.
const GRACE_MS: u64 = 2000;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn contact(since: u64, last: u64) -> Contact {
    Contact { era: 1, since: at(since), last: at(last) }
}

/// A link whose store responded at 100 ms and, if `returned` is given, again then; the calls in
/// between failed at `lost`.
fn link(lost: u64, returned: Option<u64>) -> Link {
    let mut link = Link::default();
    link.record_era(1, at(100));
    link.record_response(at(100));
    link.record_failure(at(lost));
    if let Some(returned) = returned {
        link.record_response(at(returned));
    }
    link
}

/// Names a case: the link, the contacts of the peers, the time in ms, and until when entries are
/// kept, in ms, or `None` for an outage.
macro_rules! kept {
    ($name:ident, $link:expr, $peers:expr, $now:expr, $until:expr) => {
        #[test]
        fn $name() {
            let peers: &[Contact] = &$peers;
            let until: Option<u64> = $until;
            let expected = until.map_or(Duration::MAX, at);
            assert_eq!($link.keep_until(peers.iter().copied(), at($now)), expected);
        }
    };
}

kept!(nothing_is_kept_without_an_outage, link(5000, Some(5100)), [], 5100, Some(100 + GRACE_MS));
kept!(a_call_that_just_failed_is_no_outage, link(5000, None), [], 5900, Some(100 + GRACE_MS));
kept!(entries_are_kept_during_an_outage, link(5000, None), [], 6000, None);
kept!(entries_are_kept_after_an_outage, link(5000, Some(9000)), [], 9000, Some(9000 + GRACE_MS));
kept!(entries_are_kept_before_the_first_response, Link::default(), [], 300, None);
kept!(
    a_cut_of_its_own_link_is_no_outage,
    link(5000, None),
    [contact(100, 4000), contact(100, 7000)],
    8000,
    Some(100 + GRACE_MS)
);
kept!(
    a_cut_of_its_own_link_was_no_outage_either,
    link(5000, Some(9000)),
    [contact(100, 9100)],
    9200,
    Some(100 + GRACE_MS)
);
kept!(
    a_response_to_a_peer_before_the_loss_shows_nothing,
    link(5000, None),
    [contact(100, 5000)],
    8000,
    None
);
kept!(
    the_store_returned_with_its_first_response_to_any_gateway,
    link(5000, Some(9000)),
    [contact(8200, 9100), contact(8600, 9100)],
    9200,
    Some(8200 + GRACE_MS)
);
kept!(
    a_gateway_that_starts_during_an_outage_keeps_entries,
    Link::default(),
    [contact(0, 0)],
    3000,
    None
);
kept!(
    a_gateway_that_starts_behind_a_cut_keeps_no_entries,
    Link::default(),
    [contact(0, 2900)],
    3000,
    Some(GRACE_MS)
);

/// A link whose watch returned nothing from 3500 ms on and was abandoned; the next call responded
/// at `renewed`, if that is given.
fn link_with_hung_watch(renewed: Option<u64>) -> Link {
    let mut link = Link::default();
    link.record_era(1, at(100));
    link.record_response(at(100));
    link.record_response(at(3500));
    if let Some(renewed) = renewed {
        link.record_abandoned();
        link.record_response(at(renewed));
    }
    link
}

kept!(
    an_outage_that_only_a_peer_noticed_keeps_entries,
    link_with_hung_watch(None),
    [contact(100, 3600), contact(8400, 8900)],
    9000,
    Some(8400 + GRACE_MS)
);
kept!(
    a_watch_that_was_renewed_shows_nothing_of_the_time_before,
    link_with_hung_watch(Some(8900)),
    [contact(100, 3600), contact(8400, 8900)],
    9000,
    Some(8400 + GRACE_MS)
);
kept!(
    a_watch_that_hung_alone_is_no_outage,
    link_with_hung_watch(Some(8900)),
    [contact(100, 8600)],
    9000,
    Some(100 + GRACE_MS)
);
kept!(
    a_peer_that_started_lately_is_no_outage,
    link_with_hung_watch(None),
    [contact(100, 8600), contact(8400, 8900)],
    9000,
    Some(100 + GRACE_MS)
);

/// The peers' own interruption in the middle of the cut is too short for an outage.
#[test]
fn a_short_interruption_at_a_peer_does_not_make_an_outage_of_a_cut() {
    let mut peer = link(9200, Some(9400));
    peer.record_response(at(17_300));
    let reported = peer.contact(at(17_300));
    assert_eq!(reported, Some(contact(100, 17_300)));
    let cut = link(9200, Some(17_700));
    let until = cut.keep_until(reported.into_iter(), at(17_700));
    assert!(until <= at(17_700), "kept until {until:?}");
}

#[test]
fn a_second_response_after_an_outage_does_not_keep_entries_longer() {
    let mut link = link(5000, Some(9000));
    link.record_failure(at(9100));
    link.record_response(at(9300));
    assert_eq!(link.keep_until(std::iter::empty(), at(9300)), at(9000 + GRACE_MS));
}

#[test]
fn the_end_of_an_outage_is_reported_once() {
    let mut link = link(5000, None);
    assert_eq!(link.contact(at(6000)), None);
    assert_eq!(link.silent_for(at(6000)), at(1000));
    assert_eq!(link.record_response(at(6500)), Some(at(5000)));
    assert_eq!(link.record_response(at(6600)), None);
    assert_eq!(link.contact(at(6600)), Some(contact(6500, 6600)));
    assert_eq!(link.silent_for(at(6600)), Duration::ZERO);
}

fn silence(unanswered_at: u64, returned_at: Option<u64>) -> Silence {
    Silence { unanswered_at: at(unanswered_at), returned_at: returned_at.map(at) }
}

/// Names a case: the silences that gateways noticed, the contacts of all, and when the store
/// returned, in ms.
macro_rules! returned {
    ($name:ident, $silences:expr, $contacts:expr, $returned:expr) => {
        #[test]
        fn $name() {
            let silences: &[Silence] = &$silences;
            let returned: Option<u64> = $returned;
            let last = outage::last_return(silences.iter(), &$contacts);
            assert_eq!(last, returned.map(at));
        }
    };
}

returned!(no_silence_has_no_return, [], [contact(0, 9000)], None);
returned!(a_silence_that_lasts_has_no_return, [silence(4000, None)], [], None);
returned!(
    gateways_that_notice_the_return_later_do_not_move_it,
    [silence(4000, Some(7600)), silence(6900, Some(8400)), silence(5000, Some(8900))],
    [contact(7600, 9000)],
    Some(7600)
);
returned!(
    a_later_silence_has_its_own_return,
    [silence(4000, Some(7600)), silence(12_000, Some(14_000))],
    [contact(14_000, 14_500)],
    Some(14_000)
);
returned!(
    a_gateway_that_was_cut_off_alone_saw_no_silence_of_the_store,
    [silence(4000, Some(7600))],
    [contact(0, 7500), contact(7600, 7700)],
    None
);
returned!(
    a_short_silence_breaks_no_contact,
    [silence(4000, Some(4600))],
    [contact(0, 4700)],
    Some(4600)
);

#[test]
fn a_call_begun_in_a_silence_says_nothing_of_its_end() {
    let mut link = Link::default();
    link.record_unanswered(at(4000));
    link.record_answered(at(3900));
    assert_eq!(link.silence(), Some(silence(4000, None)));
    link.record_answered(at(5000));
    link.record_answered(at(6000));
    link.record_unanswered(at(3000));
    assert_eq!(link.silence(), Some(silence(4000, Some(5000))));
    link.record_unanswered(at(7000));
    assert_eq!(link.silence(), Some(silence(7000, None)));
}

/// However short the store was away, entries of the lost span come back only later.
#[test]
fn a_store_that_came_back_from_a_copy_was_out() {
    let mut link = Link::default();
    link.record_era(1, at(100));
    link.record_response(at(100));
    link.record_response(at(4900));
    link.record_era(2, at(5000));
    let peers = [contact(100, 4950), Contact { era: 2, ..contact(4980, 5100) }];
    assert_eq!(link.keep_until(peers.into_iter(), at(5100)), at(4980 + GRACE_MS));
}

#[test]
fn entries_are_kept_until_the_store_responds_here_after_it_came_back() {
    let mut link = Link::default();
    link.record_era(1, at(4900));
    link.record_response(at(4900));
    let peers = [Contact { era: 2, ..contact(5000, 5100) }];
    assert_eq!(link.keep_until(peers.into_iter(), at(5100)), at(5000 + GRACE_MS));
}

returned!(
    a_gateway_that_is_still_cut_off_alone_hides_no_return,
    [silence(4000, Some(7600)), silence(8900, None)],
    [contact(7600, 9000)],
    Some(7600)
);
