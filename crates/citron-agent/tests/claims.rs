//! Claims of idempotency keys through agents, against the platform stand-in.

mod support;

use citron::claim::bucket_name;
use citron_agent::Agent;
use citron_stand::platform::{Mode, Platform};
use citron_wire::{Claim, ClaimRequest, ClaimResult, agent_client::AgentClient};
use futures::future::join_all;

use support::{alive, fleet, platform, until};

/// Claims a key for an owner at an agent.
async fn claim(agent: &Agent, digest: &str, owner: &str) -> ClaimResult {
    claim_at(agent, digest, owner, false).await
}

/// Claims a key at an agent, which decides it locally if `forwarded` is set.
async fn claim_at(agent: &Agent, digest: &str, owner: &str, forwarded: bool) -> ClaimResult {
    let url = format!("http://{}", agent.core().settings.control);
    let mut client = AgentClient::connect(url).await.unwrap();
    let claim = Claim { digest: digest.to_owned(), owner: owner.to_owned() };
    let request = ClaimRequest { stamp: None, claims: vec![claim], forwarded };
    let response = client.claim(request).await.unwrap().into_inner();
    ClaimResult::try_from(response.results[0]).unwrap()
}

async fn start() -> (Platform, Vec<Agent>) {
    let platform = platform().await;
    let agents = fleet(&platform.url(), 4).await;
    until("all join", || async { agents.iter().all(|agent| alive(agent).len() == 3) }).await;
    (platform, agents)
}

macro_rules! case {
    ($name:ident, |$platform:ident, $agents:ident| $body:block) => {
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            #[allow(unused_mut)]
            let ($platform, mut $agents) = start().await;
            $body
        }
    };
}

case!(a_key_is_granted_to_one_of_many_claimants, |_platform, agents| {
    for key in 0..8 {
        let key = format!("key-{key}");
        let owners: Vec<String> = (0..8).map(|owner| format!("owner-{owner}")).collect();
        let claims = owners.iter().enumerate();
        let claims = claims.map(|(index, owner)| claim(&agents[index % 4], &key, owner));
        let results = join_all(claims).await;
        let granted = results.iter().filter(|result| **result == ClaimResult::Granted).count();
        let taken = results.iter().filter(|result| **result == ClaimResult::Taken).count();
        assert_eq!((granted, taken), (1, 7), "{key}: {results:?}");
    }
});

case!(agents_that_decide_the_same_key_concurrently_grant_one_owner, |_platform, agents| {
    for key in 0..8 {
        let key = format!("key-{key}");
        let owners: Vec<String> = (0..4).map(|owner| format!("owner-{owner}")).collect();
        let claims =
            owners.iter().zip(&agents).map(|(owner, agent)| claim_at(agent, &key, owner, true));
        let results = join_all(claims).await;
        let granted = results.iter().filter(|result| **result == ClaimResult::Granted).count();
        assert_eq!(granted, 1, "{key}: {results:?}");
    }
});

case!(the_owner_is_granted_again_through_another_agent, |_platform, agents| {
    assert_eq!(claim(&agents[0], "key", "a").await, ClaimResult::Granted);
    assert_eq!(claim(&agents[3], "key", "a").await, ClaimResult::Granted);
    assert_eq!(claim(&agents[2], "key", "b").await, ClaimResult::Taken);
});

case!(a_claim_is_granted_once_when_platform_responses_are_lost, |platform, agents| {
    platform.lose_answers(2);
    let results = join_all([claim(&agents[0], "key", "a"), claim(&agents[1], "key", "b")]).await;
    let granted = results.iter().filter(|result| **result == ClaimResult::Granted).count();
    assert_eq!(granted, 1, "{results:?}");
});

case!(nothing_is_granted_while_the_platform_is_down, |platform, agents| {
    platform.set_mode(Mode::Down);
    assert_eq!(claim(&agents[0], "key", "a").await, ClaimResult::Undecided);
    platform.set_mode(Mode::Up);
    assert_eq!(claim(&agents[1], "key", "b").await, ClaimResult::Granted);
});

case!(nothing_is_granted_from_a_cached_bucket_while_the_platform_is_down, |platform, agents| {
    assert_eq!(claim(&agents[0], "key", "a").await, ClaimResult::Granted);
    let keys = (0..).map(|number| format!("key-{number}"));
    let same_bucket = keys.filter(|key| bucket_name(key) == bucket_name("key")).take(1);
    platform.set_mode(Mode::Down);
    for key in same_bucket {
        assert_eq!(claim(&agents[0], &key, "a").await, ClaimResult::Undecided);
    }
});

case!(claims_are_decided_after_an_agent_failed, |_platform, agents| {
    agents.pop().unwrap().stop().await;
    // With near certainty, the failed agent is the preferred agent of one of these keys.
    let claims = (0..24).map(|key| {
        let agent = &agents[key % 3];
        async move { claim(agent, &format!("key-{key}"), "a").await }
    });
    let results = join_all(claims).await;
    assert!(results.iter().all(|result| *result == ClaimResult::Granted), "{results:?}");
});
