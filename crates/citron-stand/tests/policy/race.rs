//! Many operators race under lost and late answers, outages and handovers, while nodes read late,
//! out of order and from each other.

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

use crate::world::{Reply, deliver, head, is_write, join, perform, policy};

const OPERATORS: [&str; 4] = ["a", "b", "c", "d"];
const NODES: usize = 6;
const EDITS_AT_ONCE: usize = 5;

/// An operator's edit on its way.
struct Running {
    edit: Edit,
    author: &'static str,
    change: Change,
    action: Action,
    /// The revision that it read first.
    first: Option<u64>,
}

/// What was asked for by an edit, for the checks after it was accepted.
struct Asked {
    author: &'static str,
    change: Change,
}

struct Run {
    random: ChaCha8Rng,
    store: Store,
    running: Vec<Running>,
    asked: BTreeMap<String, Asked>,
    /// Edits that ended as not accepted.
    dead: BTreeSet<String>,
    undecided: Vec<(String, u64)>,
    /// Writes that were given up for lost and may still take effect.
    late: Vec<Action>,
    /// All heads that were ever current, with their policies.
    history: Vec<(Head, Policy)>,
    /// All shards that were ever written.
    shards: BTreeMap<Digest, Vec<u8>>,
    nodes: Vec<Replica>,
    outage: bool,
    counts: BTreeMap<&'static str, u64>,
}

/// Prints how to run a seed again if the thread panics.
struct Hint(u64);

impl Drop for Hint {
    fn drop(&mut self) {
        if thread::panicking() {
            eprintln!(
                "seed {} failed; run: CITRON_SEED={} cargo test -p citron-stand --test policy race",
                self.0, self.0
            );
        }
    }
}

fn number(name: &str, default: u64) -> u64 {
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
        Ok(_) => vec![number("CITRON_SEED", 0)],
        Err(_) => (0..number("CITRON_SEEDS", 12)).collect(),
    };
    let steps = number("CITRON_STEPS", 4000);
    let mut counts: BTreeMap<&str, u64> = BTreeMap::new();
    for seed in seeds {
        let _hint = Hint(seed);
        for (name, count) in Run::new(seed).run(steps) {
            *counts.entry(name).or_default() += count;
        }
    }
    println!("{counts:?}");
    // The run is worth something only if each of these came about.
    for name in ["accepted", "lost", "late", "not-holder", "overtaken", "undecided", "swept"] {
        assert!(counts.get(name).is_some_and(|count| *count > 0), "{name} never came about");
    }
}

impl Run {
    fn new(seed: u64) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            store: Store::default(),
            running: Vec::new(),
            asked: BTreeMap::new(),
            dead: BTreeSet::new(),
            undecided: Vec::new(),
            late: Vec::new(),
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
                0..8 if self.running.len() < EDITS_AT_ONCE => self.begin(),
                8..70 => self.step_operator(),
                70..73 => self.perform_late(),
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

    fn begin(&mut self) {
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
        let id = format!("{author}-{}", self.asked.len());
        self.asked.insert(id.clone(), Asked { author, change: change.clone() });
        let edit = Edit::new(id, *author, change.clone(), None).expect("the change is valid");
        let action = edit.action();
        self.running.push(Running { edit, author, change, action, first: None });
    }

    fn step_operator(&mut self) {
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
            self.end(&running, outcome);
        } else {
            self.running.push(running);
        }
    }

    /// Carries out a call of an edit, or lets it fail in one of the ways of a network.
    fn call(&mut self, running: &mut Running, action: &Action) -> Action {
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
                self.late.push(action.clone());
                running.edit.on_failed(true)
            }
            _ => {
                let reply = self.perform(action);
                if let Reply::Head(head) = &reply {
                    let revision = head.as_ref().map_or(0, |(_, head)| head.revision);
                    running.first.get_or_insert(revision);
                }
                deliver(&mut running.edit, reply)
            }
        }
    }

    fn perform_late(&mut self) {
        if self.late.is_empty() {
            return;
        }
        self.count("late");
        let index = self.random.random_range(0..self.late.len());
        let action = self.late.swap_remove(index);
        self.perform(&action);
    }

    /// Carries out an action on the store and checks what it left.
    fn perform(&mut self, action: &Action) -> Reply {
        let reply = perform(&mut self.store, action);
        match (action, &reply) {
            (Action::PutShard { digest, bytes }, Reply::Written) => {
                self.shards.insert(digest.clone(), bytes.clone());
            }
            (Action::PutHead { .. }, Reply::Written) => self.check_head(),
            (Action::DeleteShard { .. }, Reply::Written) => {
                self.count("swept");
                let (current, lists) = self.history.last().expect("a sweep follows a policy");
                assert_eq!(
                    join(&self.store, current).as_ref(),
                    Ok(lists),
                    "a sweep broke the policy"
                );
            }
            _ => {}
        }
        reply
    }

    fn check_head(&mut self) {
        let (_, next) = head(&self.store).expect("the head was just written");
        let id = next.edits.last().expect("a head lists its edit").clone();
        let asked = &self.asked[&id];
        assert!(!self.dead.contains(&id), "{id} took effect after it was said not to");
        let listed = self.history.iter().any(|(head, _)| head.edits.last() == Some(&id));
        assert!(!listed, "{id} took effect twice");
        let lists = join(&self.store, &next).expect("all shards of a head are stored");
        let empty = Policy::default();
        let before = self.history.last().map_or(&empty, |(_, lists)| lists);
        match &asked.change {
            Change::Apply(wanted) => assert_eq!(&lists, wanted, "both lists change at once"),
            _ => assert_eq!(&lists, before, "{id} must keep the lists"),
        }
        let before = self.history.last().map(|(head, _)| head);
        assert_eq!(next.revision, before.map_or(0, |head| head.revision) + 1);
        if let Some(before) = before {
            assert_eq!(before.holder, asked.author, "{id} took effect without the final say");
        }
        self.history.push((next, lists));
        self.count("accepted");
    }

    /// Checks what an operator is told against what happened.
    fn end(&mut self, running: &Running, outcome: &Outcome) {
        let id = running.edit.id();
        let at = self.history.iter().find(|(head, _)| head.edits.last().is_some_and(|e| e == id));
        let at = at.map(|(head, _)| head.revision);
        match outcome {
            Outcome::Accepted { revision } => {
                assert_eq!(at, Some(*revision), "{id} is told to be accepted");
                if matches!(running.change, Change::Apply(_)) {
                    let first = running.first.expect("an edit reads the head first");
                    assert_eq!(*revision, first + 1, "{id} must replace just what its author saw");
                }
            }
            Outcome::Undecided { id, base } => {
                self.count("undecided");
                self.undecided.push((id.clone(), *base));
            }
            Outcome::Unchanged { .. } => assert_eq!(at, None),
            Outcome::Refused(_) | Outcome::Unreachable => {
                assert_eq!(at, None, "{id} of {} is told not to be accepted", running.author);
                self.dead.insert(id.to_owned());
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

    /// A node hears of a head from the platform, late from the past, or from another node.
    fn read_head(&mut self) {
        let node = self.random.random_range(0..NODES);
        let heard = match self.random.random_range(0..3) {
            0 if !self.outage => head(&self.store).map(|(_, head)| head),
            1 => self.history.choose(&mut self.random).map(|(head, _)| head.clone()),
            _ => {
                let peer = self.nodes.choose(&mut self.random).expect("there are nodes");
                peer.newest().cloned()
            }
        };
        if let Some(head) = heard {
            self.nodes[node].on_head(&head).expect("all heads are of one history");
            self.check_node(node);
        }
    }

    /// A node gets some shard, missing or not, whole or corrupt.
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
            // Another shard arrives under this digest.
            let other = self.random.random_range(0..self.shards.len());
            bytes = self.shards.values().nth(other).expect("the index is in range").clone();
        }
        // A shard that is not needed or corrupt is refused, which the tests of the replica cover.
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

    /// Ends the faults: all late writes arrive, all edits end, all nodes reach the newest revision.
    fn settle(&mut self) {
        self.outage = false;
        while !self.late.is_empty() {
            self.perform_late();
        }
        while !self.running.is_empty() {
            self.step_operator();
            while !self.late.is_empty() {
                self.perform_late();
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
                let (_, bytes) =
                    self.store.get("policy-shards", digest.as_str()).expect("shards are kept");
                self.nodes[node].on_shard(&digest, &bytes).expect("the shard is missing and whole");
            }
            assert_eq!(self.nodes[node].revision(), current.revision);
            self.check_node(node);
        }
    }
}
