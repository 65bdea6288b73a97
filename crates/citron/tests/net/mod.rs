//! Members on an in-memory network that loses, delays and cuts off datagrams.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use citron::member::{Action, Addresses, Config, Membership, Message, Path, Record, State};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The interval between two ticks of a member.
pub const TICK: Duration = Duration::from_millis(25);

/// A host, whose process may be running, paused or stopped.
pub struct Node {
    pub members: Membership,
    pub running: bool,
    pub paused: bool,
    pub sent: u64,
    /// Hosts that this one declared dead or learned to be dead.
    pub dead: Vec<String>,
    /// The paths whose directions changed, as last reported.
    pub paths: BTreeMap<String, Path>,
}

/// The network and its members.
pub struct Network {
    pub now: Duration,
    pub nodes: BTreeMap<String, Node>,
    pub loss: f64,
    /// Directed pairs of hosts between which all datagrams are lost.
    pub cut: BTreeSet<(String, String)>,
    pub rng: ChaCha8Rng,
    in_transit: Vec<(Duration, String, String, Message)>,
    config: Config,
}

pub fn host_name(index: usize) -> String {
    format!("host-{index:03}")
}

fn address(host: &str) -> String {
    format!("{host}:1")
}

pub fn record(host: &str, domain: usize, incarnation: u64) -> Record {
    Record {
        host: host.to_owned(),
        domain: format!("domain-{domain}"),
        incarnation,
        state: State::Alive,
        addresses: Addresses {
            gossip: address(host),
            control: format!("{host}:2"),
            admin: format!("{host}:3"),
            proxy: format!("{host}:4"),
            loans: format!("{host}:5"),
        },
        revision: 0,
    }
}

impl Network {
    /// Starts `count` members in three failure domains, with the first two as their seeds.
    pub fn new(count: usize, seed: u64) -> Self {
        let mut net = Self {
            now: Duration::from_secs(1),
            nodes: BTreeMap::new(),
            loss: 0.0,
            cut: BTreeSet::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            in_transit: Vec::new(),
            config: Config::default(),
        };
        for index in 0..count {
            net.start(index);
        }
        net
    }

    /// Starts a host's process, in place of an earlier one.
    pub fn start(&mut self, index: usize) {
        let host = host_name(index);
        let me = record(&host, index % 3, self.now.as_millis() as u64);
        let rng = ChaCha8Rng::seed_from_u64(self.rng.random());
        // Two seeds, so that the first host finds the others again after a restart.
        let seeds = [address(&host_name(0)), address(&host_name(1))];
        let members = Membership::open(me, &seeds, self.config, rng, self.now);
        let (dead, paths) = (Vec::new(), BTreeMap::new());
        let node = Node { members, running: true, paused: false, sent: 0, dead, paths };
        self.nodes.insert(host, node);
    }

    pub fn stop(&mut self, index: usize) {
        self.node(index).running = false;
    }

    pub fn node(&mut self, index: usize) -> &mut Node {
        self.nodes.get_mut(&host_name(index)).unwrap()
    }

    /// Cuts the direction from one host to another, or restores it.
    pub fn set_cut(&mut self, from: usize, to: usize, cut: bool) {
        let pair = (host_name(from), host_name(to));
        if cut {
            self.cut.insert(pair);
        } else {
            self.cut.remove(&pair);
        }
    }

    /// Separates the hosts for which `left` holds from the others.
    pub fn partition(&mut self, left: impl Fn(usize) -> bool) {
        for a in 0..self.nodes.len() {
            for b in 0..self.nodes.len() {
                if left(a) != left(b) {
                    self.set_cut(a, b, true);
                }
            }
        }
    }

    pub fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += TICK;
            let hosts: Vec<String> = self.nodes.keys().cloned().collect();
            for host in hosts {
                let now = self.now;
                let node = self.nodes.get_mut(&host).unwrap();
                if node.running && !node.paused {
                    let actions = node.members.tick(now);
                    self.perform(&host, actions);
                }
            }
            // Deliver after the ticks, so that a resumed member notices its late timers first.
            self.deliver();
        }
    }

    /// Runs until `condition` holds, and fails if that takes longer than `limit`.
    pub fn run_until(&mut self, limit: Duration, what: &str, condition: impl Fn(&Self) -> bool) {
        let end = self.now + limit;
        while !condition(self) {
            assert!(self.now < end, "not seen within {limit:?}: {what}");
            self.run_for(TICK);
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            self.in_transit.drain(..).partition(|(at, ..)| *at <= now);
        self.in_transit = later;
        for (_, from, to, message) in due {
            let lost =
                self.rng.random_bool(self.loss) || self.cut.contains(&(from.clone(), to.clone()));
            let Some(node) = self.nodes.get_mut(&to) else { continue };
            if node.paused && node.running && !lost {
                // A paused process keeps its datagrams in the socket's buffer.
                self.in_transit.push((now + TICK, from, to, message));
                continue;
            }
            if node.running && !lost {
                let actions = node.members.receive(&message, now);
                self.perform(&to, actions);
            }
        }
    }

    pub fn perform(&mut self, host: &str, actions: Vec<Action>) {
        for action in actions {
            let node = self.nodes.get_mut(host).unwrap();
            match action {
                Action::Send { to, message } => {
                    node.sent += 1;
                    let bytes: usize = message.updates.iter().map(Record::max_encoded_len).sum();
                    assert!(bytes < 1100, "a datagram with up to {bytes} bytes of records");
                    let delay = Duration::from_millis(self.rng.random_range(1..20));
                    let to = to.strip_suffix(":1").unwrap().to_owned();
                    self.in_transit.push((self.now + delay, host.to_owned(), to, message));
                }
                Action::StateChanged { host, after: State::Dead, .. } => node.dead.push(host),
                Action::PathChanged { host, path } => {
                    node.paths.insert(host, path);
                }
                Action::StateChanged { .. } | Action::Forgotten { .. } => {}
            }
        }
    }

    /// Returns the state of `to` in the member table of `from`.
    pub fn sees(&self, from: usize, to: usize) -> Option<State> {
        self.nodes[&host_name(from)].members.get(&host_name(to)).map(|member| member.record.state)
    }

    /// Returns the indexes of the hosts whose process has not been stopped.
    pub fn running(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|index| self.nodes[&host_name(*index)].running).collect()
    }

    /// Returns true if every running host sees every other running host as alive or leaving, and no
    /// stopped host.
    pub fn has_converged(&self) -> bool {
        let running = self.running();
        let live = |state| matches!(state, Some(State::Alive | State::Leaving));
        running.iter().all(|a| {
            (0..self.nodes.len())
                .filter(|b| a != b)
                .all(|b| live(self.sees(*a, b)) == running.contains(&b))
        })
    }

    /// Returns true if no host was declared dead by any other.
    pub fn no_host_declared_dead(&self) -> bool {
        self.nodes.values().all(|node| node.dead.is_empty())
    }
}
