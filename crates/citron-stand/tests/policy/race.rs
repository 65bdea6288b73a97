//! A randomised test: operators edit the policy concurrently with lost responses, delayed writes,
//! outages and handovers, while nodes read heads and shards late, out of order and from each other.

use std::{
    collections::{BTreeMap, BTreeSet},
    env, thread,
};

use citron::policy::{
    Digest, Edit, Head, Policy, Replica,
    edit::{Action, Change, EditStatus, Outcome, Refusal, edit_status},
};
use citron_stand::platform::Store;
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

use crate::driver::{Response, deliver, head, is_write, join, perform, policy};

const OPERATORS: [&str; 4] = ["a", "b", "c", "d"];
const NODES: usize = 6;
const MAX_RUNNING_EDITS: usize = 5;

/// An operator's edit in progress.
struct RunningEdit {
    edit: Edit,
    author: &'static str,
    change: Change,
    action: Action,
    /// The revision that the edit read first.
    first_revision: Option<u64>,
}

/// The author and change of an edit, to check it once it is accepted.
struct Request {
    author: &'static str,
    change: Change,
}

struct Run {
    random: ChaCha8Rng,
    store: Store,
    running: Vec<RunningEdit>,
    requests: BTreeMap<String, Request>,
    /// The ids of the edits that ended as not accepted.
    not_accepted: BTreeSet<String>,
    /// The ids and base revisions of undecided edits.
    undecided: Vec<(String, u64)>,
    /// Writes that were reported as failed and may still take effect.
    delayed: Vec<Action>,
    /// All heads that have been current, with their policies.
    history: Vec<(Head, Policy)>,
    /// All shards that have been written.
    shards: BTreeMap<Digest, Vec<u8>>,
    nodes: Vec<Replica>,
    outage: bool,
    counts: BTreeMap<&'static str, u64>,
}

/// Prints how to run a seed again if the thread panics.
struct ReplayHint(u64);

impl Drop for ReplayHint {
    fn drop(&mut self) {
        if thread::panicking() {
            eprintln!(
                "seed {} failed; run: CITRON_SEED={} cargo test -p citron-stand --test policy race",
                self.0, self.0
            );
        }
    }
}

fn env_number(name: &str, default: u64) -> u64 {
    match env::var(name) {
        Ok(text) => {
            text.parse().unwrap_or_else(|_| panic!("{name} must be a number, not {text:?}"))
        }
        Err(_) => default,
    }
}

#[test]
fn race() {
    let seeds = match env::var("CITRON_SEED") {
        Ok(_) => vec![env_number("CITRON_SEED", 0)],
        Err(_) => (0..env_number("CITRON_SEEDS", 12)).collect(),
    };
    let steps = env_number("CITRON_STEPS", 4000);
    let mut counts: BTreeMap<&str, u64> = BTreeMap::new();
    for seed in seeds {
        let _hint = ReplayHint(seed);
        for (name, count) in Run::new(seed).run(steps) {
            *counts.entry(name).or_default() += count;
        }
    }
    println!("{counts:?}");
    // The test covers what it is meant to only if each of these has occurred.
    for name in ["accepted", "lost", "late", "not-holder", "overtaken", "undecided", "swept"] {
        assert!(counts.get(name).is_some_and(|count| *count > 0), "{name} never occurred");
    }
}

impl Run {
    fn new(seed: u64) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            store: Store::default(),
            running: Vec::new(),
            requests: BTreeMap::new(),
            not_accepted: BTreeSet::new(),
            undecided: Vec::new(),
            delayed: Vec::new(),
            history: Vec::new(),
            shards: BTreeMap::new(),
            nodes: vec![Replica::default(); NODES],
            outage: false,
            counts: BTreeMap::new(),
        }
    }

    fn run(mut self, steps: u64) -> BTreeMap<&'static str, u64> {
        for _ in 0..steps {
            match self.random.random_range(0..100) {
                0..8 if self.running.len() < MAX_RUNNING_EDITS => self.start_edit(),
                8..70 => self.step_edit(),
                70..73 => self.perform_delayed(),
                73 => self.outage = !self.outage,
                74..85 => self.read_head(),
                _ => self.read_shard(),
            }
        }
        self.settle();
        self.counts
    }

    fn count(&mut self, name: &'static str) {
        *self.counts.entry(name).or_default() += 1;
    }

    fn start_edit(&mut self) {
        let holder = self.history.last().map_or("a", |(head, _)| head.holder.as_str());
        let holder = OPERATORS.iter().find(|name| **name == holder).expect("holders are operators");
        let author = if self.random.random_bool(0.7) {
            holder
        } else {
            OPERATORS.choose(&mut self.random).unwrap()
        };
        let change = match self.random.random_range(0..10) {
            0..6 => {
                let names: Vec<u32> = (0..8).filter(|_| self.random.random_bool(0.5)).collect();
                Change::Apply(policy(&names, self.random.random_range(1..4)))
            }
            6..8 => {
                let others: Vec<&str> =
                    OPERATORS.iter().copied().filter(|name| name != author).collect();
                let next = *others.choose(&mut self.random).unwrap();
                Change::HandOver { next: next.to_owned() }
            }
            _ => Change::CollectGarbage,
        };
        let id = format!("{author}-{}", self.requests.len());
        self.requests.insert(id.clone(), Request { author, change: change.clone() });
        let edit = Edit::new(id, *author, change.clone(), None).expect("the change is valid");
        let action = edit.action();
        self.running.push(RunningEdit { edit, author, change, action, first_revision: None });
    }

    fn step_edit(&mut self) {
        if self.running.is_empty() {
            return;
        }
        let index = self.random.random_range(0..self.running.len());
        let mut running = self.running.swap_remove(index);
        running.action = match running.action.clone() {
            Action::Backoff { .. } => running.edit.on_backoff_elapsed(),
            action => self.call(&mut running, &action),
        };
        if let Action::Finish(outcome) = &running.action {
            self.check_outcome(&running, outcome);
        } else {
            self.running.push(running);
        }
    }

    /// Carries out a call of an edit, or makes it fail as on a network.
    fn call(&mut self, running: &mut RunningEdit, action: &Action) -> Action {
        let write = is_write(action);
        let roll = if self.outage {
            self.random.random_range(70..90)
        } else {
            self.random.random_range(0..100)
        };
        match roll {
            70..80 => running.edit.on_failed(false),
            80..90 => running.edit.on_failed(write),
            90..95 => {
                self.count("lost");
                self.perform(action);
                running.edit.on_failed(write)
            }
            95.. if write => {
                self.delayed.push(action.clone());
                running.edit.on_failed(true)
            }
            _ => {
                let response = self.perform(action);
                if let Response::Head(head) = &response {
                    let revision = head.as_ref().map_or(0, |(_, head)| head.revision);
                    running.first_revision.get_or_insert(revision);
                }
                deliver(&mut running.edit, response)
            }
        }
    }

    fn perform_delayed(&mut self) {
        if self.delayed.is_empty() {
            return;
        }
        self.count("late");
        let index = self.random.random_range(0..self.delayed.len());
        let action = self.delayed.swap_remove(index);
        self.perform(&action);
    }

    /// Carries out an action on the store and checks the result.
    fn perform(&mut self, action: &Action) -> Response {
        let response = perform(&mut self.store, action);
        match (action, &response) {
            (Action::PutShard { digest, bytes }, Response::Written) => {
                self.shards.insert(digest.clone(), bytes.clone());
            }
            (Action::PutHead { .. }, Response::Written) => self.check_head(),
            (Action::DeleteShard { .. }, Response::Written) => {
                self.count("swept");
                let (current, lists) =
                    self.history.last().expect("garbage is collected only after a first policy");
                assert_eq!(
                    join(&self.store, current).as_ref(),
                    Ok(lists),
                    "garbage collection deleted a shard of the current policy"
                );
            }
            _ => {}
        }
        response
    }

    fn check_head(&mut self) {
        let (_, next) = head(&self.store).expect("the head was just written");
        let id = next.edits.last().expect("a head lists its edit").clone();
        let request = &self.requests[&id];
        assert!(
            !self.not_accepted.contains(&id),
            "{id} took effect after it was reported as not accepted"
        );
        let listed = self.history.iter().any(|(head, _)| head.edits.last() == Some(&id));
        assert!(!listed, "{id} took effect twice");
        let lists = join(&self.store, &next).expect("all shards of a head are stored");
        let empty = Policy::default();
        let before = self.history.last().map_or(&empty, |(_, lists)| lists);
        match &request.change {
            Change::Apply(wanted) => assert_eq!(&lists, wanted, "both lists change at once"),
            _ => assert_eq!(&lists, before, "{id} must keep the lists"),
        }
        let before = self.history.last().map(|(head, _)| head);
        assert_eq!(next.revision, before.map_or(0, |head| head.revision) + 1);
        if let Some(before) = before {
            assert_eq!(
                before.holder, request.author,
                "{id} took effect although its author does not hold the edit right"
            );
        }
        self.history.push((next, lists));
        self.count("accepted");
    }

    /// Checks the reported outcome of an edit against the history.
    fn check_outcome(&mut self, running: &RunningEdit, outcome: &Outcome) {
        let id = running.edit.id();
        let at = self.history.iter().find(|(head, _)| head.edits.last().is_some_and(|e| e == id));
        let at = at.map(|(head, _)| head.revision);
        match outcome {
            Outcome::Accepted { revision } => {
                assert_eq!(at, Some(*revision), "{id} is reported as accepted");
                if matches!(running.change, Change::Apply(_)) {
                    let first = running.first_revision.expect("an edit reads the head first");
                    assert_eq!(
                        *revision,
                        first + 1,
                        "{id} must replace exactly the revision that it read first"
                    );
                }
            }
            Outcome::Undecided { id, base } => {
                self.count("undecided");
                self.undecided.push((id.clone(), *base));
            }
            Outcome::Unchanged { .. } => assert_eq!(at, None),
            Outcome::Refused(_) | Outcome::Unreachable => {
                assert_eq!(at, None, "{id} of {} is reported as not accepted", running.author);
                self.not_accepted.insert(id.to_owned());
            }
        }
        match outcome {
            Outcome::Refused(Refusal::NotHolder { .. }) => self.count("not-holder"),
            Outcome::Refused(Refusal::StaleBase { .. }) => self.count("overtaken"),
            Outcome::Refused(Refusal::TermChanged { .. }) => self.count("term-changed"),
            Outcome::Unreachable => self.count("unreachable"),
            _ => {}
        }
    }

    /// Gives a node the platform's current head, an earlier head, or another node's newest head.
    fn read_head(&mut self) {
        let node = self.random.random_range(0..NODES);
        let received = match self.random.random_range(0..3) {
            0 if !self.outage => head(&self.store).map(|(_, head)| head),
            1 => self.history.choose(&mut self.random).map(|(head, _)| head.clone()),
            _ => {
                let peer = self.nodes.choose(&mut self.random).expect("there are nodes");
                peer.newest().cloned()
            }
        };
        if let Some(head) = received {
            self.nodes[node].on_head(&head).expect("all heads belong to one history");
            self.check_node(node);
        }
    }

    /// Gives a node a shard, missing or not, intact or corrupt.
    fn read_shard(&mut self) {
        let node = self.random.random_range(0..NODES);
        let missing: Vec<Digest> = self.nodes[node].missing().into_iter().cloned().collect();
        let wanted = if self.random.random_bool(0.9) {
            missing.choose(&mut self.random).cloned()
        } else {
            self.shards.keys().nth(self.random.random_range(0..=self.shards.len())).cloned()
        };
        let Some(digest) = wanted else { return };
        let mut bytes = self.shards[&digest].clone();
        if self.random.random_bool(0.05) {
            // The bytes of another shard arrive under this digest.
            let other = self.random.random_range(0..self.shards.len());
            bytes = self.shards.values().nth(other).expect("the index is in range").clone();
        }
        // The tests of the replica cover that it rejects a shard that is not needed or corrupt.
        let _ = self.nodes[node].on_shard(&digest, &bytes);
        self.check_node(node);
    }

    fn check_node(&self, node: usize) {
        if let Some(applied) = self.nodes[node].applied() {
            let revision = applied.head.revision;
            let (head, lists) = &self.history[revision as usize - 1];
            assert_eq!((&applied.head, &*applied.policy), (head, lists), "node {node}");
        }
    }

    /// Ends the faults: all delayed writes arrive, all edits end, and all nodes reach the newest
    /// revision.
    fn settle(&mut self) {
        self.outage = false;
        while !self.delayed.is_empty() {
            self.perform_delayed();
        }
        while !self.running.is_empty() {
            self.step_edit();
            while !self.delayed.is_empty() {
                self.perform_delayed();
            }
        }
        let Some((_, current)) = head(&self.store) else { return };
        for (id, base) in &self.undecided {
            let at = self.history.iter().find(|(head, _)| head.edits.last() == Some(id));
            match edit_status(Some(&current), id, *base) {
                EditStatus::Accepted { revision } => {
                    assert_eq!(at.map(|(head, _)| head.revision), Some(revision));
                }
                EditStatus::NotAccepted => assert!(at.is_none(), "{id} took effect"),
                EditStatus::Pending => assert_eq!(current.revision, *base),
                EditStatus::IdEvicted => {}
            }
        }
        for node in 0..NODES {
            self.nodes[node].on_head(&current).expect("the head is the newest");
            let missing: Vec<Digest> = self.nodes[node].missing().into_iter().cloned().collect();
            for digest in missing {
                let (_, bytes) = self
                    .store
                    .get("policy-shards", digest.as_str())
                    .expect("the shards of the current head are stored");
                self.nodes[node]
                    .on_shard(&digest, &bytes)
                    .expect("the shard is missing and intact");
            }
            assert_eq!(self.nodes[node].revision(), current.revision);
            self.check_node(node);
        }
    }
}
