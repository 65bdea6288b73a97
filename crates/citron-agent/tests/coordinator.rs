//! Evidence reaches the coordinator of its service, and its verdicts reach every proxy.

mod support;

use citron_platform::{Hosts, State};
use citron_wire::{Evidence, EvidenceBatch, update::Body};

use support::{Proxy, alive, entry, fleet, platform, target, until, write_policy};

fn batch(host: usize, sequence: u64, failing: &[&str]) -> EvidenceBatch {
    let evidence = (0..20).map(|index| {
        let name = format!("target-{index}");
        let errors = if failing.contains(&name.as_str()) { 3 } else { 0 };
        let service = "lot-desk".to_owned();
        Evidence { target: name, service, answered: 3, errors, ..Evidence::default() }
    });
    EvidenceBatch {
        host: format!("host-{host}"),
        domain: format!("domain-{}", host % 2),
        sequence,
        evidence: evidence.collect(),
    }
}

/// Starts three agents with their proxies and 20 listed targets.
async fn start(
    platform: &citron_stand::platform::Platform,
) -> (Vec<citron_agent::Agent>, Vec<Proxy>) {
    let agents = fleet(&platform.url(), 3).await;
    until("all join", || async { agents.iter().all(|agent| alive(agent).len() == 2) }).await;
    write_policy(&platform.url(), 1).await;
    let mut hosts: Vec<_> = agents.iter().map(entry).collect();
    hosts.extend((0..20).map(|index| target(&format!("target-{index}"), State::Live)));
    platform.set_hosts(Hosts { version: 1, hosts });
    until("the list", || async {
        agents.iter().all(|agent| agent.core().target_table().targets.len() == 20)
    })
    .await;
    let mut proxies = Vec::new();
    for (index, agent) in agents.iter().enumerate() {
        proxies.push(Proxy::attach(agent, &format!("127.0.0.1:500{index}")).await);
    }
    (agents, proxies)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_target_that_all_proxies_see_failing_is_ejected_at_all_of_them() {
    let platform = platform().await;
    let (agents, mut proxies) = start(&platform).await;
    let mut sequence = 0;
    until("a verdict at every agent", || {
        sequence += 1;
        for (index, agent) in agents.iter().enumerate() {
            agent.core().publish_evidence(batch(index, sequence, &["target-7"]));
        }
        let known = agents.iter().all(|agent| {
            let verdicts = agent.core().verdict_table().verdicts;
            assert!(verdicts.iter().all(|one| one.target == "target-7"), "{verdicts:?}");
            verdicts.iter().any(|one| one.ejected)
        });
        async move { known }
    })
    .await;
    for proxy in &mut proxies {
        proxy
            .wait("the verdict", |body| {
                matches!(body, Body::Verdicts(table) if table.verdicts.iter().any(|one| one.ejected))
            })
            .await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_evidence_of_one_proxy_ejects_nothing() {
    let platform = platform().await;
    let (agents, _proxies) = start(&platform).await;
    let mut sequence = 0;
    // Another target fails for all proxies; its ejection shows that the evidence was processed.
    until("a verdict at every agent", || {
        sequence += 1;
        for (index, agent) in agents.iter().enumerate() {
            let failing: &[&str] =
                if index == 0 { &["target-3", "target-7"] } else { &["target-3"] };
            agent.core().publish_evidence(batch(index, sequence, failing));
        }
        let known = agents.iter().all(|agent| {
            let verdicts = agent.core().verdict_table().verdicts;
            assert!(verdicts.iter().all(|one| one.target == "target-3"), "{verdicts:?}");
            !verdicts.is_empty()
        });
        async move { known }
    })
    .await;
}
