//! The host list, which shows each change only after a lag.

use std::{collections::VecDeque, time::Duration};

use citron_platform::Hosts;

/// The lagging list of hosts.
#[derive(Debug, Default, Clone)]
pub struct HostList {
    lag: Duration,
    shown: Hosts,
    pending: VecDeque<(Duration, Hosts)>,
}

impl HostList {
    /// Creates a list that shows `hosts` at once.
    pub fn new(hosts: Hosts) -> Self {
        Self { shown: hosts, ..Self::default() }
    }

    /// Sets how long later changes stay hidden.
    pub fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Replaces the list; it is shown after the lag and never before an earlier change.
    pub fn set(&mut self, now: Duration, mut hosts: Hosts) {
        let last = self.pending.back().map_or(&self.shown, |(_, hosts)| hosts);
        hosts.version = last.version + 1;
        self.pending.push_back((now + self.lag, hosts));
    }

    /// Returns the list as shown at `now`.
    pub fn get(&mut self, now: Duration) -> &Hosts {
        while self.pending.front().is_some_and(|(due, _)| *due <= now) {
            let Some((_, hosts)) = self.pending.pop_front() else { break };
            assert!(hosts.version > self.shown.version, "the shown host list must not go back");
            self.shown = hosts;
        }
        &self.shown
    }
}
