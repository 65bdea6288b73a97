//! Several agents in one process, connected over loopback, against the platform stand-in.

mod support;

use std::time::Duration;

use citron::policy::Head;
use citron_agent::{Agent, Core, locate};
use citron_platform::{Hosts, State};
use citron_stand::{
    platform::{Mode, Platform},
    relay::{self, Cut},
};
use citron_wire::update::Body;
use tokio::time;

use support::{
    Proxy, agent, alive, entry, fleet, loopback, platform, revision, target, until, write_policy,
};

macro_rules! case {
    ($name:ident, $body:expr) => {
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            $body.await;
        }
    };
}

/// Returns the revision of the policy head on the platform.
fn stored_revision(platform: &Platform) -> u64 {
    let head = platform.inspect(|store| store.get("policy", "head"));
    head.and_then(|(_, value)| Head::decode(&value)).map_or(0, |head| head.revision)
}

case!(agents_join_and_an_accepted_policy_reaches_all, async {
    let platform = platform().await;
    let agents = fleet(&platform.url(), 5).await;
    until("all join", || async { agents.iter().all(|agent| alive(agent).len() == 4) }).await;
    write_policy(&platform.url(), 1).await;
    until("revision 1", || async { agents.iter().all(|agent| revision(agent) == 1) }).await;
    write_policy(&platform.url(), 2).await;
    until("revision 2", || async { agents.iter().all(|agent| revision(agent) == 2) }).await;
});

// Without this, revisions that the platform gives out again are not taken by any agent.
case!(a_policy_that_the_platform_lost_is_written_again, async {
    let platform = platform().await;
    let agents = fleet(&platform.url(), 5).await;
    until("all join", || async { agents.iter().all(|agent| alive(agent).len() == 4) }).await;
    write_policy(&platform.url(), 1).await;
    until("revision 1", || async { agents.iter().all(|agent| revision(agent) == 1) }).await;
    let copy = platform.copy();
    write_policy(&platform.url(), 2).await;
    until("revision 2", || async { agents.iter().all(|agent| revision(agent) == 2) }).await;
    platform.restore(copy);
    until("it is stored again", || async { stored_revision(&platform) == 2 }).await;
    assert!(agents.iter().all(|agent| revision(agent) == 2), "it stays in force");
    let late = agent(&platform.url(), 5, 0, &[&agents[0]]).await;
    until("the late one knows it", || async { revision(&late) == 2 }).await;
});

case!(a_policy_reaches_a_domain_that_is_cut_off_from_the_platform, async {
    let platform = platform().await;
    let mut agents = fleet(&platform.url(), 4).await;
    // No process listens on the port of this platform URL.
    for index in [10, 13, 16] {
        let cut_off = agent("http://127.0.0.1:9", index, 7, &[&agents[0]]).await;
        agents.push(cut_off);
    }
    until("all join", || async { agents.iter().all(|agent| alive(agent).len() == 6) }).await;
    for version in 1..4 {
        write_policy(&platform.url(), version).await;
        until("in force", || async { agents.iter().all(|agent| revision(agent) == version) }).await;
    }
});

case!(a_policy_is_in_force_within_three_seconds_although_all_watches_hang, async {
    let platform = platform().await;
    let relay = relay::bind(loopback(), platform.addr()).await.expect("a relay");
    let agents = fleet(&format!("http://{}", relay.addr()), 9).await;
    until("all join", || async { agents.iter().all(|agent| alive(agent).len() == 8) }).await;
    write_policy(&platform.url(), 1).await;
    until("revision 1", || async { agents.iter().all(|agent| revision(agent) == 1) }).await;
    until("watches", || async { platform.calls().waiting_watches == 6 }).await;
    relay.cut(Cut { to_server: true, to_client: true, existing_only: true });
    write_policy(&platform.url(), 2).await;
    time::sleep(Duration::from_secs(3)).await;
    let revisions: Vec<u64> = agents.iter().map(revision).collect();
    assert_eq!(revisions, [2; 9]);
});

case!(a_policy_is_in_force_within_three_seconds_although_the_pollers_are_cut_off_too, async {
    let platform = platform().await;
    let (mut agents, mut links) = (Vec::<Agent>::new(), Vec::new());
    for index in 0..9 {
        let link = relay::bind(loopback(), platform.addr()).await.expect("a relay");
        let seeds: Vec<&Agent> = agents.first().into_iter().collect();
        let url = format!("http://{}", link.addr());
        let started = agent(&url, index, index % 3, &seeds).await;
        agents.push(started);
        links.push(link);
    }
    until("all join", || async { agents.iter().all(|agent| alive(agent).len() == 8) }).await;
    write_policy(&platform.url(), 1).await;
    until("revision 1", || async { agents.iter().all(|agent| revision(agent) == 1) }).await;
    until("watches", || async { platform.calls().waiting_watches == 6 }).await;
    for (agent, link) in agents.iter().zip(&links) {
        let existing_only = !agent.core().is_poller();
        link.cut(Cut { to_server: true, to_client: true, existing_only });
    }
    write_policy(&platform.url(), 2).await;
    time::sleep(Duration::from_secs(3)).await;
    let revisions: Vec<u64> = agents.iter().map(revision).collect();
    assert_eq!(revisions, [2; 9]);
});

case!(few_agents_watch_the_platform, async {
    let platform = platform().await;
    let agents = fleet(&platform.url(), 12).await;
    until("all join", || async { agents.iter().all(|agent| alive(agent).len() == 11) }).await;
    write_policy(&platform.url(), 1).await;
    until("two watches for each of three domains", || async {
        platform.calls().waiting_watches == 6
    })
    .await;
});

case!(an_older_head_on_the_platform_is_ignored, async {
    let platform = platform().await;
    let agents = fleet(&platform.url(), 3).await;
    write_policy(&platform.url(), 5).await;
    until("revision 5", || async { agents.iter().all(|agent| revision(agent) == 5) }).await;
    write_policy(&platform.url(), 4).await;
    write_policy(&platform.url(), 6).await;
    until("revision 6", || async {
        assert!(agents.iter().all(|agent| revision(agent) >= 5));
        agents.iter().all(|agent| revision(agent) == 6)
    })
    .await;
});

case!(a_new_agent_starts_from_peers_alone_while_the_platform_is_down, async {
    let platform = platform().await;
    let agents = fleet(&platform.url(), 3).await;
    write_policy(&platform.url(), 3).await;
    platform.set_hosts(Hosts {
        version: 1,
        hosts: vec![entry(&agents[0]), target("target-1", State::Live)],
    });
    until("revision 3 and the list", || async {
        agents.iter().all(|agent| revision(agent) == 3 && agent.core().hosts_version() > 0)
    })
    .await;
    platform.set_mode(Mode::Down);
    let new_agent = agent(&platform.url(), 9, 1, &[&agents[1]]).await;
    let mut proxy = Proxy::attach(&new_agent, "127.0.0.1:5001").await;
    proxy.wait("synced", |body| matches!(body, Body::Synced(_))).await;
    assert_eq!(revision(&new_agent), 3);
    until("targets", || async { new_agent.core().target_table().targets.len() == 1 }).await;
    until("members", || async { alive(&new_agent).len() == 3 }).await;
});

case!(a_dead_agent_is_left_out_of_locate_responses, async {
    let platform = platform().await;
    write_policy(&platform.url(), 1).await;
    let mut agents = fleet(&platform.url(), 4).await;
    let mut proxies = Vec::new();
    for (index, agent) in agents.iter().enumerate() {
        proxies.push(Proxy::attach(agent, &format!("127.0.0.1:700{index}")).await);
    }
    let addresses = |agent: &Core| locate(agent, "izmir", "lot-desk");
    until("all located", || async {
        agents.iter().all(|agent| addresses(agent.core()).len() == 4)
    })
    .await;
    let first = addresses(agents[0].core());
    assert!(agents.iter().all(|agent| addresses(agent.core()) == first), "one order for all");
    agents.pop().unwrap().stop().await;
    until("three located", || async {
        agents.iter().all(|agent| addresses(agent.core()).len() == 3)
    })
    .await;
});

case!(a_drained_host_is_left_out_of_locate_responses_and_its_proxy_asked_to_leave, async {
    let platform = platform().await;
    write_policy(&platform.url(), 1).await;
    let agents = fleet(&platform.url(), 3).await;
    let mut proxies = Vec::new();
    for (index, agent) in agents.iter().enumerate() {
        proxies.push(Proxy::attach(agent, &format!("127.0.0.1:710{index}")).await);
    }
    until("all located", || async {
        agents.iter().all(|agent| locate(agent.core(), "izmir", "lot-desk").len() == 3)
    })
    .await;
    let url = format!("http://{}/drain", agents[1].core().settings.listen);
    let response = reqwest::Client::new().post(url).send().await.unwrap();
    assert_eq!(response.status(), 202);
    proxies[1].wait("leave", |body| matches!(body, Body::Leave(_))).await;
    until("two located", || async {
        agents.iter().all(|agent| {
            let located = locate(agent.core(), "izmir", "lot-desk");
            located.len() == 2 && !located.contains(&"127.0.0.1:7101".to_owned())
        })
    })
    .await;
});

case!(a_restarted_proxy_makes_its_host_locatable_again, async {
    let platform = platform().await;
    write_policy(&platform.url(), 1).await;
    let agents = fleet(&platform.url(), 2).await;
    let located = || async { locate(agents[0].core(), "izmir", "lot-desk") };
    let proxy = Proxy::attach(&agents[1], "127.0.0.1:7301").await;
    until("located", || async { located().await == ["127.0.0.1:7301"] }).await;
    proxy.report_leaving().await;
    until("left", || async { located().await.is_empty() }).await;
    drop(proxy);
    let _restarted = Proxy::attach(&agents[1], "127.0.0.1:7302").await;
    until("located again", || async { located().await == ["127.0.0.1:7302"] }).await;
});

case!(a_leaving_target_reaches_every_attached_proxy, async {
    let platform = platform().await;
    write_policy(&platform.url(), 1).await;
    let agents = fleet(&platform.url(), 4).await;
    let mut proxies = Vec::new();
    for (index, agent) in agents.iter().enumerate() {
        proxies.push(Proxy::attach(agent, &format!("127.0.0.1:720{index}")).await);
    }
    for (version, state) in [(1, State::Live), (2, State::Leaving)] {
        platform.set_hosts(Hosts { version, hosts: vec![target("target-1", state)] });
        let leaving = state == State::Leaving;
        for proxy in &mut proxies {
            proxy
                .wait("target", |body| match body {
                    Body::Targets(table) => table.targets.iter().any(|t| t.leaving == leaving),
                    _ => false,
                })
                .await;
        }
    }
});

case!(a_responsive_member_stays_when_the_host_list_drops_it, async {
    let platform = platform().await;
    let agents = fleet(&platform.url(), 3).await;
    platform.set_hosts(Hosts { version: 1, hosts: agents.iter().map(entry).collect() });
    until("listed", || async { agents.iter().all(|agent| agent.core().listed().len() == 3) }).await;
    platform.set_hosts(Hosts { version: 2, hosts: vec![entry(&agents[0])] });
    until("dropped", || async { agents.iter().all(|agent| agent.core().listed().len() == 1) })
        .await;
    assert!(agents.iter().all(|agent| alive(agent).len() == 2));
});
