//! Claims of idempotency keys through agents, with the stand-in of the platform.

mod support;

use citron::claim::bucket_name;
use citron_agent::Agent;
use citron_stand::platform::{Mode, Platform};
use citron_wire::{Claim, ClaimRequest, ClaimResult, agent_client::AgentClient};
use futures::future::join_all;

use support::{alive, fleet, platform, until};

/// Claims a key for an owner at an agent.
async fn claim(agent: &Agent, digest: &str, owner: &str) -> ClaimResult {
    ask(agent, digest, owner, false).await
}

/// Claims a key at an agent, which decides by itself if the claim was forwarded.
async fn ask(agent: &Agent, digest: &str, owner: &str, forwarded: bool) -> ClaimResult {
    let url = format!("http://{}", agent.core().settings.control);
    let mut client = AgentClient::connect(url).await.unwrap();
    let claim = Claim { digest: digest.to_owned(), owner: owner.to_owned() };
    let request = ClaimRequest { stamp: None, claims: vec![claim], forwarded };
    let reply = client.claim(request).await.unwrap().into_inner();
    ClaimResult::try_from(reply.results[0]).unwrap()
}

async fn whole() -> (Platform, Vec<Agent>) {
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
            let ($platform, mut $agents) = whole().await;
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

case!(agents_that_decide_the_same_key_at_a_time_grant_one_owner, |_platform, agents| {
    for key in 0..8 {
        let key = format!("key-{key}");
        let owners: Vec<String> = (0..4).map(|owner| format!("owner-{owner}")).collect();
        let claims = owners.iter().zip(&agents).map(|(owner, agent)| ask(agent, &key, owner, true));
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

case!(a_claim_whose_answers_are_lost_is_decided_once, |platform, agents| {
    platform.lose_answers(2);
    let results = join_all([claim(&agents[0], "key", "a"), claim(&agents[1], "key", "b")]).await;
    let granted = results.iter().filter(|result| **result == ClaimResult::Granted).count();
    assert_eq!(granted, 1, "{results:?}");
});

case!(nothing_is_granted_while_the_platform_is_away, |platform, agents| {
    platform.set_mode(Mode::Down);
    assert_eq!(claim(&agents[0], "key", "a").await, ClaimResult::Undecided);
    platform.set_mode(Mode::Up);
    assert_eq!(claim(&agents[1], "key", "b").await, ClaimResult::Granted);
});

case!(nothing_is_granted_by_a_known_bucket_while_the_platform_is_away, |platform, agents| {
    assert_eq!(claim(&agents[0], "key", "a").await, ClaimResult::Granted);
    let other = (0..).map(|number| format!("key-{number}"));
    let same = other.filter(|key| bucket_name(key) == bucket_name("key")).take(1);
    platform.set_mode(Mode::Down);
    for key in same {
        assert_eq!(claim(&agents[0], &key, "a").await, ClaimResult::Undecided);
    }
});

case!(claims_are_decided_when_any_one_agent_has_failed, |_platform, agents| {
    agents.pop().unwrap().stop().await;
    // One of these keys had the failed agent as its home, with near certainty.
    let claims = (0..24).map(|key| {
        let agent = &agents[key % 3];
        async move { claim(agent, &format!("key-{key}"), "a").await }
    });
    let results = join_all(claims).await;
    assert!(results.iter().all(|result| *result == ClaimResult::Granted), "{results:?}");
});
