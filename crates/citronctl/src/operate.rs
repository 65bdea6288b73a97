//! Runs edits and reads the policy through the platform's client.

use std::time::Duration;

use citron::policy::{
    Digest, Edit, Head, Replica,
    edit::{Action, Outcome},
};
use citron_platform::{Client, Error, Expect, Version};
use tokio::time;

/// The kind and name of the head object.
const HEAD: (&str, &str) = ("policy", "head");
/// The kind of the shards.
const SHARDS: &str = "policy-shards";
/// The delay after a first failure; each further failure doubles it.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// How many times the head is read before reading a policy fails. A shard that is deleted after
/// the head was read makes another read necessary.
const READ_LIMIT: usize = 16;

/// Runs an edit to completion.
///
/// # Errors
/// Fails if the platform refuses a call or its head cannot be decoded. Otherwise the outcome says
/// whether the edit took effect.
pub async fn drive(client: &Client, edit: &mut Edit) -> Result<Outcome, Error> {
    let mut action = edit.action();
    loop {
        action = match action {
            Action::Finish(outcome) => return Ok(outcome),
            Action::Backoff { failures } => {
                time::sleep(INITIAL_BACKOFF * 2u32.saturating_pow(failures - 1)).await;
                edit.on_backoff_elapsed()
            }
            action => carry_out(client, edit, action).await?,
        };
    }
}

async fn carry_out(client: &Client, edit: &mut Edit, action: Action) -> Result<Action, Error> {
    let result = match action {
        Action::ListShards => match client.list(SHARDS).await {
            Ok(list) => {
                let name = |name| Digest::from_hex(name);
                let listed = list.into_iter().map(|entry| (name(entry.name), entry.version.0));
                return Ok(edit.on_listed(listed.collect()));
            }
            Err(error) => Err(error),
        },
        Action::ReadHead => match read_head(client).await {
            Ok(head) => return Ok(edit.on_head(head)),
            Err(error) => Err(error),
        },
        Action::PutShard { digest, bytes } => {
            client.put(SHARDS, digest.as_str(), &bytes, Expect::Any).await.map(drop)
        }
        Action::PutHead { expect, bytes } => {
            let expect = expect.map_or(Expect::Absent, |version| Expect::Version(Version(version)));
            client.put(HEAD.0, HEAD.1, &bytes, expect).await.map(drop)
        }
        Action::DeleteShard { digest, version } => {
            client.delete(SHARDS, digest.as_str(), Expect::Version(Version(version))).await
        }
        Action::Backoff { .. } | Action::Finish(_) => unreachable!("handled by the caller"),
    };
    match result {
        Ok(()) => Ok(edit.on_written()),
        Err(Error::Conflict { .. }) => Ok(edit.on_conflict()),
        Err(Error::Unreachable { .. }) => Ok(edit.on_failed(false)),
        Err(Error::Unknown { .. }) => Ok(edit.on_failed(true)),
        Err(error) => Err(error),
    }
}

/// Reads the head and its version, or `None` if there is no policy yet.
///
/// # Errors
/// Fails if the platform does not respond or the head cannot be decoded.
pub async fn read_head(client: &Client) -> Result<Option<(u64, Head)>, Error> {
    let Some(object) = client.get(HEAD.0, HEAD.1).await? else { return Ok(None) };
    let head = Head::decode(&object.value).ok_or_else(|| Error::Malformed {
        reason: "the policy's head cannot be read".to_owned(),
    })?;
    Ok(Some((object.version.0, head)))
}

/// Reads the policy that the platform stores; it is empty if there is none yet.
///
/// # Errors
/// Fails if the platform does not respond, or a shard is missing or corrupt.
pub async fn read_policy(client: &Client) -> Result<Replica, Error> {
    let mut replica = Replica::default();
    let malformed = |reason: String| Error::Malformed { reason };
    for _ in 0..READ_LIMIT {
        let Some((_, head)) = read_head(client).await? else { return Ok(replica) };
        replica.on_head(&head).map_err(|refusal| malformed(refusal.to_string()))?;
        if read_shards(client, &mut replica).await? {
            return Ok(replica);
        }
    }
    Err(malformed("parts of the policy are missing".to_owned()))
}

/// Reads the missing shards; returns false if one was deleted in the meantime.
async fn read_shards(client: &Client, replica: &mut Replica) -> Result<bool, Error> {
    let missing: Vec<Digest> = replica.missing().into_iter().cloned().collect();
    for digest in missing {
        let Some(object) = client.get(SHARDS, digest.as_str()).await? else { return Ok(false) };
        replica
            .on_shard(&digest, &object.value)
            .map_err(|refusal| Error::Malformed { reason: refusal.to_string() })?;
    }
    Ok(true)
}
