//! Chooses the target of an attempt.

use crate::service::{Service, Slot};

/// Returns a slot at the least busy target, those of `domain` first and those in `tried` last.
pub fn pick(service: &Service, domain: &str, tried: &[String]) -> Option<Slot> {
    let mut targets: Vec<_> = service.targets.iter().filter(|target| !target.leaving).collect();
    let turn = rand::random::<u32>() as usize;
    if !targets.is_empty() {
        let start = turn % targets.len();
        targets.rotate_left(start);
    }
    targets.sort_by_key(|target| {
        (tried.contains(&target.name), target.busy() * 2 + u32::from(target.domain != domain))
    });
    targets.into_iter().find_map(|target| target.take_slot())
}
