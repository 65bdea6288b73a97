//! The guarantees of the system under failures, with real processes on loopback.

use std::{future::Future, time::Duration};

use citron_stand::metric;
use citron_tests::{Fleet, Host, Load, Process, Settings, run, wait_until};
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::time::sleep;

/// The timeout of a condition that the system must reach, far above its stated targets.
const LIMIT: Duration = Duration::from_secs(60);
/// A call timeout longer than every deadline of the services.
const LONG_CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// A call timeout after which callers retry a request while the first attempt may still run.
const SHORT_CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Lookups by both users and orders.
const MIXED: &[&str] = &[
    "lookup:izmir-roasters:lot-desk:/lots/:25:2000",
    "order:izmir-roasters:lot-desk:/lots/:10:100",
    "lookup:casablanca-survey:tec-live:/tec/live/:25:800",
];

macro_rules! case {
    ($name:ident, $settings:expr, |$fleet:ident| $body:expr) => {
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() -> eyre::Result<()> {
            #[allow(unused_mut)]
            let mut $fleet = Fleet::spawn($settings).await?;
            $body
            assert_eq!($fleet.panicked(), [""; 0], "an invariant was violated");
            Ok(())
        }
    };
}

/// Returns a fleet with slow orders, so that many are in flight at any time.
fn slow_orders() -> Settings {
    let mut settings = Settings::demo();
    settings.services.retain(|service| service.name == "lot-desk" || service.name == "tec-live");
    for service in &mut settings.services {
        service.targets = 10;
        service.service_ms = 300.0;
    }
    settings
}

/// Returns a fleet that has free slots even when half of its targets are cut off.
fn many_targets() -> Settings {
    let mut settings = Settings::demo();
    settings.services.retain(|service| service.name == "lot-desk" || service.name == "tec-live");
    settings.services.iter_mut().for_each(|service| service.targets = 12);
    settings
}

/// Runs a load, injects a failure with `inject`, and checks that no guarantee was violated; returns
/// the number of requests that reached no proxy.
async fn under_load<F>(
    fleet: &Fleet,
    name: &str,
    call_timeout: Duration,
    inject: F,
) -> eyre::Result<u64>
where
    F: Future<Output = eyre::Result<()>>,
{
    let load = Load::spawn(fleet, name, 8, call_timeout, MIXED)?;
    sleep(Duration::from_secs(2)).await;
    inject.await?;
    let summary = load.finish().await?;
    assert_eq!(summary.violations(), [], "{}\n{}", summary.text, summary.figures);
    assert!(summary.count("orders_answered") > 0, "{}", summary.figures);
    assert!(summary.count("answered") > summary.count("orders_answered"), "{}", summary.figures);
    Ok(summary.count("unreached"))
}

case!(killed_proxy_duplicates_no_order, slow_orders(), |fleet| {
    let owner = fleet.owner("lot-desk", "izmir-roasters").await?;
    under_load(&fleet, "kill", SHORT_CALL_TIMEOUT, async { owner.proxy.signal(Signal::KILL) })
        .await?;
});

case!(paused_proxy_duplicates_no_order, slow_orders(), |fleet| {
    let owner = fleet.owner("lot-desk", "izmir-roasters").await?;
    under_load(&fleet, "pause", SHORT_CALL_TIMEOUT, async {
        owner.proxy.signal(Signal::STOP)?;
        sleep(Duration::from_secs(3)).await;
        owner.proxy.signal(Signal::CONT)
    })
    .await?;
});

case!(killed_agent_leaves_the_proxy_serving, Settings::demo(), |fleet| {
    let agent = &fleet.hosts[0].agent;
    under_load(&fleet, "agent", SHORT_CALL_TIMEOUT, async { agent.signal(Signal::KILL) }).await?;
    let status = fleet.status(&fleet.hosts[0].proxy.text("admin")?).await?;
    assert!(status["revision"].as_u64() > Some(0), "{status}");
});

case!(wrong_responses_do_not_reach_callers, Settings::demo(), |fleet| {
    let wrong: Vec<_> = fleet.targets.iter().filter(|target| target.name.ends_with("-1")).collect();
    under_load(&fleet, "wrong", SHORT_CALL_TIMEOUT, async {
        for target in wrong {
            fleet
                .post_admin(&target.admin, "/fault", &json!({"kind": "wrong", "share": 0.5}))
                .await?;
        }
        Ok(())
    })
    .await?;
});

case!(truncated_bodies_are_not_taken_as_complete, Settings::demo(), |fleet| {
    let cut: Vec<_> = fleet.targets.iter().filter(|target| target.name.ends_with("-1")).collect();
    under_load(&fleet, "cut", SHORT_CALL_TIMEOUT, async {
        for target in cut {
            fleet.post_admin(&target.admin, "/fault", &json!({"kind": "cut"})).await?;
        }
        Ok(())
    })
    .await?;
});

case!(one_way_cuts_to_targets_duplicate_no_order, many_targets(), |fleet| {
    let relays = relay_targets(&mut fleet, "lot-desk").await?;
    under_load(&fleet, "cuts", LONG_CALL_TIMEOUT, async {
        // First the responses of executed requests are lost, then the requests themselves.
        for (to_server, to_client) in [(false, true), (true, false)] {
            cut_all(&fleet, &relays, &json!({"to_server": to_server, "to_client": to_client}))
                .await?;
            sleep(Duration::from_millis(1500)).await;
            cut_all(&fleet, &relays, &json!({"to_server": false, "to_client": false})).await?;
        }
        Ok(())
    })
    .await?;
    assert!(timed_out(&fleet, "lot-desk").await? > 0, "no attempt timed out during the cuts");
});

case!(silent_connections_duplicate_no_order, many_targets(), |fleet| {
    let relays = relay_targets(&mut fleet, "lot-desk").await?;
    under_load(&fleet, "silent", LONG_CALL_TIMEOUT, async {
        let cut = json!({"to_server": true, "to_client": true, "existing_only": true});
        cut_all(&fleet, &relays, &cut).await?;
        Ok(())
    })
    .await?;
    assert!(timed_out(&fleet, "lot-desk").await? > 0, "no attempt timed out during the cuts");
});

case!(change_reaches_a_host_cut_off_from_the_platform, Settings::demo(), |fleet| {
    let platform = fleet.platform.text("listen")?;
    let relay = spawn_relay(&platform).await?;
    let url = format!("http://{}", relay.text("listen")?);
    let agent = fleet.spawn_agent("entry-4", "domain-4", &url).await?;
    let proxy = fleet.spawn_proxy("entry-4", "domain-4", &url, &agent.text("control")?).await?;
    fleet.hosts.push(Host {
        name: "entry-4".to_owned(),
        domain: "domain-4".to_owned(),
        agent,
        proxy,
    });
    fleet.publish(&[]).await?;
    wait_for_revision(&fleet, 1).await?;
    let cut = json!({"to_server": true, "to_client": true});
    fleet.post_admin(&relay.text("admin")?, "/cut", &cut).await?;
    apply_edit(&fleet).await?;
    wait_for_revision(&fleet, 2).await?;
});

case!(platform_outage_leaves_reads_served, Settings::demo(), |fleet| {
    let platform = fleet.platform.text("listen")?;
    under_load(&fleet, "outage", SHORT_CALL_TIMEOUT, async {
        fleet.post_admin(&platform, "/admin/mode", &json!({"mode": "down", "delay_ms": 0})).await
    })
    .await?;
});

case!(new_host_starts_from_peers_alone, Settings::demo(), |fleet| {
    let platform = fleet.platform.text("listen")?;
    fleet.post_admin(&platform, "/admin/mode", &json!({"mode": "down", "delay_ms": 0})).await?;
    let seeds =
        fleet.hosts.iter().map(|host| host.agent.text("gossip")).collect::<Result<Vec<_>, _>>()?;
    let seeds = seeds.join(",");
    let url = fleet.platform_url()?;
    let args = ["--host", "entry-9", "--domain", "domain-1", "--platform", &url, "--seeds", &seeds];
    let ports = ["--listen", "127.0.0.1:0", "--control", "127.0.0.1:0", "--gossip", "127.0.0.1:0"];
    let agent = Process::spawn("citron-agent", &[&args[..], &ports[..]].concat()).await?;
    let proxy = fleet.spawn_proxy("entry-9", "domain-1", &url, &agent.text("control")?).await?;
    let admin = proxy.text("admin")?;
    wait_until("a policy at the new proxy", LIMIT, || async {
        let revision = fleet.status(&admin).await.ok()?["revision"].as_u64()?;
        (revision > 0).then_some(())
    })
    .await?;
});

case!(leaving_proxy_cuts_no_request, Settings::demo(), |fleet| {
    let load = Load::spawn(
        &fleet,
        "leave",
        8,
        LONG_CALL_TIMEOUT,
        &[
            "pull:casablanca-survey:tec-archive:/tec/archive/:6:3000000",
            "order:izmir-roasters:lot-desk:/lots/:10:100",
        ],
    )?;
    sleep(Duration::from_secs(2)).await;
    let code = fleet.hosts[0].proxy.terminate().await?;
    assert_eq!(code, 0, "a graceful stop exits with code 0");
    let summary = load.finish().await?;
    assert_eq!(summary.violations(), [], "{}\n{}", summary.text, summary.figures);
    assert_eq!(summary.count("unknown"), 0, "{}\n{}", summary.text, summary.figures);
    assert_eq!(summary.count("unreached"), 0, "{}\n{}", summary.text, summary.figures);
});

case!(leaving_target_gets_no_new_work, Settings::demo(), |fleet| {
    let target = fleet.targets.iter().find(|target| target.name == "lot-desk-1").unwrap().clone();
    fleet.publish(&["lot-desk-1"]).await?;
    let load = Load::spawn(&fleet, "target", 12, LONG_CALL_TIMEOUT, MIXED)?;
    let settled = wait_until("two seconds without new work", LIMIT, || async {
        let before = answered(&fleet, &target.admin).await.ok()?;
        sleep(Duration::from_secs(2)).await;
        (answered(&fleet, &target.admin).await.ok()? == before).then_some(before)
    })
    .await?;
    assert!(!load.is_finished(), "the load ended before the target received no more requests");
    let summary = load.finish().await?;
    assert_eq!(answered(&fleet, &target.admin).await?, settled, "{}", summary.figures);
});

case!(floor_holds_when_most_targets_are_gray, Settings::demo().only("lot-desk", 10), |fleet| {
    for target in fleet.targets.iter().take(8) {
        fleet.post_admin(&target.admin, "/fault", &json!({"kind": "errors", "share": 1.0})).await?;
    }
    let load = Load::spawn(
        &fleet,
        "floor",
        10,
        LONG_CALL_TIMEOUT,
        &["lookup:izmir-roasters:lot-desk:/lots/:60:100"],
    )?;
    load.finish().await?;
    for host in &fleet.hosts {
        let status = fleet.status(&host.proxy.text("admin")?).await?;
        let usable = status["services"]["lot-desk"]["usable"].as_u64();
        // The demo's floor for lot-desk is 0.7 of its 10 targets.
        assert!(usable >= Some(7), "{}: {status}", host.name);
    }
});

case!(change_reaches_every_proxy, Settings::demo(), |fleet| {
    apply_edit(&fleet).await?;
    wait_for_revision(&fleet, 2).await?;
});

case!(racing_operators_commit_one_edit_each_revision, Settings::demo(), |fleet| {
    fleet.control(&["handover", "--as", "first-owner", "--to", "second-owner"]).await?;
    let edited = edit(&fleet, "port-pilots", "casablanca-survey")?;
    let path = |name: &str| edited.path().join(name).display().to_string();
    let (customers, grants, url) =
        (path("customers.toml"), path("grants.toml"), fleet.platform_url()?);
    let apply = |holder: &'static str| {
        let (customers, grants, url) = (customers.clone(), grants.clone(), url.clone());
        async move {
            run("citronctl", &["apply", &customers, &grants, "--as", holder, "--platform", &url])
                .await
        }
    };
    let (stale, current) = tokio::join!(apply("first-owner"), apply("second-owner"));
    let (stale, current) = (stale?, current?);
    assert!(!stale.status.success(), "an edit without the edit right must be refused");
    assert!(current.status.success(), "{}", String::from_utf8_lossy(&current.stderr));
    wait_for_revision(&fleet, 3).await?;
});

async fn spawn_relay(to: &str) -> eyre::Result<Process> {
    let args = ["relay", "--listen", "127.0.0.1:0", "--admin", "127.0.0.1:0", "--to", to];
    Process::spawn("citron-stand", &args).await
}

/// Cuts or restores the directions of all relays.
async fn cut_all(fleet: &Fleet, relays: &[Process], cut: &Value) -> eyre::Result<()> {
    for relay in relays {
        fleet.post_admin(&relay.text("admin")?, "/cut", cut).await?;
    }
    Ok(())
}

/// Puts a relay before every second target of a service and lists the relays in place of these
/// targets.
async fn relay_targets(fleet: &mut Fleet, service: &str) -> eyre::Result<Vec<Process>> {
    let mut relays = Vec::new();
    let targets = fleet.targets.iter_mut().filter(|target| target.service == service);
    for target in targets.step_by(2) {
        let relay = spawn_relay(&target.address).await?;
        target.address = relay.text("listen")?;
        relays.push(relay);
    }
    fleet.publish(&[]).await?;
    // Every proxy applies a change of the host list within seconds.
    sleep(Duration::from_secs(5)).await;
    Ok(relays)
}

async fn answered(fleet: &Fleet, admin: &str) -> eyre::Result<u64> {
    count(fleet, admin, "stand_requests_total", &["result=\"answered\""]).await
}

/// Returns the number of timed-out attempts at a service, over all proxies.
async fn timed_out(fleet: &Fleet, service: &str) -> eyre::Result<u64> {
    let labels = [&*format!("service=\"{service}\""), "ending=\"timed-out\""];
    let mut total = 0;
    for host in &fleet.hosts {
        let admin = host.proxy.text("admin")?;
        total += count(fleet, &admin, "citron_proxy_attempts_total", &labels).await?;
    }
    Ok(total)
}

/// Returns a counter of the program at `admin`, 0 if the counter is absent.
async fn count(fleet: &Fleet, admin: &str, name: &str, labels: &[&str]) -> eyre::Result<u64> {
    let text = fleet.client.get(format!("http://{admin}/metrics")).send().await?.text().await?;
    Ok(metric::value(&text, name, labels).unwrap_or(0.0) as u64)
}

/// Copies the policy with the plan of one customer replaced by that of another.
fn edit(fleet: &Fleet, customer: &str, like: &str) -> eyre::Result<tempfile::TempDir> {
    let folder = tempfile::tempdir()?;
    let policy = &fleet.settings().policy;
    std::fs::copy(policy.join("grants.toml"), folder.path().join("grants.toml"))?;
    let text = std::fs::read_to_string(policy.join("customers.toml"))?;
    let plan_of = |name: &str| {
        let entry =
            text.split("[[customer]]").find(|entry| entry.contains(&format!("{name:?}")))?;
        entry.lines().find(|line| line.starts_with("plan")).map(str::to_owned)
    };
    let (old, new) = (plan_of(customer).unwrap(), plan_of(like).unwrap());
    assert_ne!(old, new, "the edit must change a plan");
    let entries = text.split("[[customer]]").map(|entry| {
        if entry.contains(&format!("{customer:?}")) {
            entry.replace(&old, &new)
        } else {
            entry.to_owned()
        }
    });
    std::fs::write(
        folder.path().join("customers.toml"),
        entries.collect::<Vec<_>>().join("[[customer]]"),
    )?;
    Ok(folder)
}

/// Moves one customer to another plan, as the operator who holds the edit right.
async fn apply_edit(fleet: &Fleet) -> eyre::Result<()> {
    let edited = edit(fleet, "port-pilots", "casablanca-survey")?;
    let path = |name: &str| edited.path().join(name).display().to_string();
    let (customers, grants) = (path("customers.toml"), path("grants.toml"));
    fleet.control(&["apply", &customers, &grants, "--as", "first-owner"]).await?;
    Ok(())
}

async fn wait_for_revision(fleet: &Fleet, revision: u64) -> eyre::Result<()> {
    for host in &fleet.hosts {
        let admin = host.proxy.text("admin")?;
        wait_until("the change in force", LIMIT, || async {
            let status: Value = fleet.status(&admin).await.ok()?;
            (status["revision"].as_u64()? >= revision).then_some(())
        })
        .await?;
    }
    Ok(())
}
