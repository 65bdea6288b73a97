//! Removes expired claims from the platform, under a lease so that only one agent at a time does
//! it.

use std::{sync::Arc, time::Duration};

use citron::{
    claim::Table,
    event::Kind,
    lease::{Lease, Permit, Record, Request, Response},
};
use citron_platform::{Client, Error, Expect, Version};
use tokio::time;

use crate::{claims::KIND, core::Core};

/// The kind and name of the lease's object.
const LEASE_OBJECT: (&str, &str) = ("leases", "claims-sweep");
/// The interval at which the lease's timers are checked.
const TICK: Duration = Duration::from_millis(500);
/// The interval between the lease holder's sweeps.
const SWEEP_INTERVAL: Duration = Duration::from_secs(60);
/// The interval at which an agent that is not a watcher checks whether it has become one.
const IDLE_INTERVAL: Duration = Duration::from_secs(5);

/// Competes for the lease and sweeps while it is held, until the task is aborted.
pub async fn run(core: Arc<Core>, client: Client) {
    let mut sweep = Sweep {
        lease: Lease::new(&core.settings.host),
        core,
        client,
        recorded_permit: None,
        next_sweep: None,
    };
    loop {
        time::sleep(TICK).await;
        // Only the platform's watchers compete for the lease, so the number of calls grows with the
        // number of failure domains and not of agents.
        if sweep.lease.permit(sweep.core.now()).is_none() && !sweep.core.is_watcher() {
            time::sleep(IDLE_INTERVAL).await;
            continue;
        }
        sweep.advance().await;
    }
}

struct Sweep {
    core: Arc<Core>,
    client: Client,
    lease: Lease,
    /// The permit of the last recorded event.
    recorded_permit: Option<Permit>,
    /// When the next sweep is due, while the lease is held.
    next_sweep: Option<Duration>,
}

impl Sweep {
    async fn advance(&mut self) {
        if let Some(request) = self.lease.tick(self.core.now()) {
            let response = self.call(request).await;
            self.lease.handle_response(response, self.core.now());
        }
        let permit = self.lease.permit(self.core.now());
        self.record(permit);
        let Some(permit) = permit else {
            self.next_sweep = None;
            return;
        };
        let now = self.core.now();
        if now >= *self.next_sweep.get_or_insert(now + SWEEP_INTERVAL) {
            self.next_sweep = Some(now + SWEEP_INTERVAL);
            if let Err(error) = self.sweep(permit).await {
                log::debug!("a sweep of claims ended early: {error}");
            }
        }
    }

    /// Records that the lease was taken or lost. It may have been lost while the process was
    /// paused.
    fn record(&mut self, permit: Option<Permit>) {
        let before = self.recorded_permit.map(|permit| permit.term);
        let after = permit.map(|permit| permit.term);
        self.recorded_permit = permit;
        if before == after {
            return;
        }
        for (kind, term) in [(Kind::LeaseLost, before), (Kind::LeaseTaken, after)] {
            if let Some(term) = term {
                self.core.recorder.record(kind, LEASE_OBJECT.1, &[("term", &term.to_string())]);
            }
        }
    }

    async fn call(&self, request: Request) -> Response {
        let calls = &self.core.metrics.platform_calls;
        match request {
            Request::Read => {
                calls.with_label_values(&["lease-read"]).inc();
                match self.client.get(LEASE_OBJECT.0, LEASE_OBJECT.1).await {
                    Ok(Some(object)) => match serde_json::from_slice::<Record>(&object.value) {
                        Ok(record) => Response::Read(Some((object.version.0, record))),
                        Err(_) => Response::Failed,
                    },
                    Ok(None) => Response::Read(None),
                    Err(_) => Response::Failed,
                }
            }
            Request::Write { record, expect } => {
                calls.with_label_values(&["lease-write"]).inc();
                let Ok(value) = serde_json::to_vec(&record) else { return Response::Failed };
                let expect = expect.map_or(Expect::Absent, |v| Expect::Version(Version(v)));
                match self.client.put(LEASE_OBJECT.0, LEASE_OBJECT.1, &value, expect).await {
                    Ok(version) => Response::Written(version.0),
                    Err(_) => Response::Failed,
                }
            }
        }
    }

    /// Removes expired claims from every bucket, and stops when the permit expires.
    async fn sweep(&self, permit: Permit) -> Result<(), Error> {
        let calls = &self.core.metrics.platform_calls;
        calls.with_label_values(&["claims-list"]).inc();
        for entry in self.client.list(KIND).await? {
            if self.core.now() >= permit.until {
                return Ok(());
            }
            calls.with_label_values(&["claims-read"]).inc();
            let Some(object) = self.client.get(KIND, &entry.name).await? else { continue };
            let Some(mut table) = Table::decode(&object.value) else { continue };
            // A higher term means that another holder has swept since.
            let wall_ms = self.core.recorder.clock().wall_ms();
            if table.term > permit.term || !table.remove_expired(wall_ms) {
                continue;
            }
            table.term = permit.term;
            calls.with_label_values(&["claims-write"]).inc();
            // The write fails with a conflict if the bucket was written since it was read.
            let expect = Expect::Version(object.version);
            match self.client.put(KIND, &entry.name, &table.encode(), expect).await {
                Ok(_) | Err(Error::Conflict { .. }) => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }
}
