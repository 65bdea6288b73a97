//! A driver that carries out the actions of edits on a store in memory.

use citron::policy::{
    Digest, Edit, Head, Policy, Shard,
    edit::{Action, Outcome},
};
use citron_platform::{Expect, Version};
use citron_stand::platform::{Fault, Store};

const GRANTS: &str = r#"
    service = [{ name = "lot-desk", profile = "careful", class = "live", floor = 0.7, deadline_ms = 5000 }]
    plan = [{ name = "roaster", use = [{ service = "lot-desk", rate = 5.0, burst = 10.0 }] }]
"#;

/// A response of the platform.
pub enum Response {
    Listed(Vec<(Digest, u64)>),
    Head(Option<(u64, Head)>),
    Written,
    Conflict,
}

/// Returns a policy with the customers `names` and the rate `rate`, so that an edit can change both
/// lists.
pub fn policy(names: &[u32], rate: u32) -> Policy {
    let list: String = names
        .iter()
        .map(|name| format!("[[customer]]\nname = \"c{name}\"\nplan = \"roaster\"\n"))
        .collect();
    let grants = GRANTS.replace("rate = 5.0", &format!("rate = {rate}.0"));
    Policy::parse(&list, &grants).expect("the lists of the test are valid")
}

/// Carries out an action on the store.
pub fn perform(store: &mut Store, action: &Action) -> Response {
    let written = match action {
        Action::ListShards => {
            let list = store.list("policy-shards").into_iter();
            let named = list.map(|entry| (Digest::from_hex(entry.name), entry.version.0));
            return Response::Listed(named.collect());
        }
        Action::ReadHead => return Response::Head(head(store)),
        Action::PutShard { digest, bytes } => {
            store.put("policy-shards", digest.as_str(), bytes, Expect::Any).map(drop)
        }
        Action::PutHead { expect, bytes } => {
            let expect = expect.map_or(Expect::Absent, |version| Expect::Version(Version(version)));
            store.put("policy", "head", bytes, expect).map(drop)
        }
        Action::DeleteShard { digest, version } => {
            store.delete("policy-shards", digest.as_str(), Expect::Version(Version(*version)))
        }
        Action::Backoff { .. } | Action::Finish(_) => panic!("{action:?} is not a call"),
    };
    match written {
        Ok(()) => Response::Written,
        Err(Fault::Conflict { .. }) => Response::Conflict,
        Err(Fault::TooLarge) => panic!("an edit must not write a value that is too large"),
    }
}

/// Returns whether an action may take effect although its response is lost.
pub fn is_write(action: &Action) -> bool {
    !matches!(action, Action::ListShards | Action::ReadHead)
}

/// Reports a response to its edit.
pub fn deliver(edit: &mut Edit, response: Response) -> Action {
    match response {
        Response::Listed(listed) => edit.on_listed(listed),
        Response::Head(head) => edit.on_head(head),
        Response::Written => edit.on_written(),
        Response::Conflict => edit.on_conflict(),
    }
}

/// Carries out actions until one satisfies `stop`, which is returned, or the edit ends.
pub fn run_until(
    store: &mut Store,
    edit: &mut Edit,
    mut action: Action,
    stop: impl Fn(&Action) -> bool,
) -> Action {
    while !matches!(action, Action::Finish(_)) && !stop(&action) {
        action = match action {
            Action::Backoff { .. } => edit.on_backoff_elapsed(),
            action => {
                let response = perform(store, &action);
                deliver(edit, response)
            }
        };
    }
    action
}

/// Carries out an edit until it ends.
pub fn finish(store: &mut Store, edit: &mut Edit) -> Outcome {
    let action = edit.action();
    finish_from(store, edit, action)
}

/// Carries out an edit from `action` until it ends.
pub fn finish_from(store: &mut Store, edit: &mut Edit, action: Action) -> Outcome {
    match run_until(store, edit, action, |_| false) {
        Action::Finish(outcome) => outcome,
        action => panic!("{action:?} does not end the edit"),
    }
}

/// Returns the stored head and its version.
pub fn head(store: &Store) -> Option<(u64, Head)> {
    let (version, bytes) = store.get("policy", "head")?;
    Some((version.0, Head::decode(&bytes).expect("a stored head can be read")))
}

/// Joins the stored shards of a head into its policy; fails with the key of a shard that is missing
/// or corrupt.
pub fn join(store: &Store, head: &Head) -> Result<Policy, String> {
    let mut shards = Vec::new();
    for (key, shard) in &head.shards {
        let (_, bytes) =
            store.get("policy-shards", shard.digest.as_str()).ok_or_else(|| key.clone())?;
        shards.push(Shard::decode(&shard.digest, &bytes).ok_or_else(|| key.clone())?);
    }
    Ok(Shard::join(&shards))
}
