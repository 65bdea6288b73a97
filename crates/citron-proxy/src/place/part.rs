//! Some of the services, under one lock.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use citron::{
    choice::{self, Balancer},
    queue::Ticket,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::oneshot;

use super::{Ask, Place, Places, line::Line};
use crate::service::Target;

/// What becomes of a request at first.
pub enum Entry {
    /// It has a place.
    Placed(Place),
    /// It waits for its turn.
    Waiting {
        /// Names it in the queue.
        ticket: Ticket,
        /// Brings its place, or closes if it is refused.
        turn: oneshot::Receiver<Place>,
    },
    /// It cannot be placed in time.
    Refused,
}

/// The targets and queues of some services.
pub struct Part {
    pub table: Balancer,
    rng: ChaCha8Rng,
    known: HashMap<String, Arc<Target>>,
    lines: HashMap<Arc<str>, Line>,
}

impl Part {
    pub fn new(host: &str, domain: &str) -> Self {
        Self {
            table: Balancer::new(host, domain),
            rng: ChaCha8Rng::from_os_rng(),
            known: HashMap::new(),
            lines: HashMap::new(),
        }
    }

    pub fn set_targets(&mut self, targets: Vec<Arc<Target>>, now: Duration) {
        let names: HashSet<&str> = targets.iter().map(|target| target.name.as_str()).collect();
        let table = &mut self.table;
        self.known.retain(|name, _| {
            let kept = names.contains(name.as_str());
            if !kept {
                table.remove(name);
            }
            kept
        });
        let mut changed = Vec::new();
        for target in targets {
            let before = self.known.insert(target.name.clone(), Arc::clone(&target));
            if before.is_none_or(|before| before.choice() != target.choice()) {
                changed.push(target.choice());
            }
        }
        self.table.upsert(changed, now);
    }

    /// Places a request, or lets it wait behind others.
    pub fn enter(&mut self, places: &Arc<Places>, ask: &Ask<'_>, now: Duration) -> Entry {
        let Some(answer_time) = self.table.response_time(ask.service, ask.idempotent) else {
            return Entry::Refused;
        };
        let service: Arc<str> = ask.service.into();
        let line = self.lines.entry(Arc::clone(&service)).or_insert_with(Line::new);
        line.expire(now);
        if line.queue.is_empty()
            && let Some(name) =
                pick(&mut self.table, &mut self.rng, &service, ask.tried, ask.idempotent, now)
        {
            return Entry::Placed(places.place(service, self.known[&*name].clone(), now));
        }
        let latest = ask.deadline.saturating_sub(answer_time);
        match line.push(ask, latest, now) {
            Ok((ticket, turn)) => Entry::Waiting { ticket, turn },
            Err(refusal) => {
                log::debug!("no place for {} at {}: {refusal}", ask.customer, ask.service);
                Entry::Refused
            }
        }
    }

    /// Places waiting requests while targets have free slots; returns places nobody took.
    pub fn serve(&mut self, places: &Arc<Places>, service: &str, now: Duration) -> Vec<Place> {
        let mut lost = Vec::new();
        let Some((service, line)) = self.lines.get_key_value(service) else { return lost };
        if line.queue.is_empty() {
            return lost;
        }
        let service = Arc::clone(service);
        let line = self.lines.get_mut(&service).expect("the line was just found");
        line.expire(now);
        while let Some(ticket) = line.queue.peek(now) {
            let waiter = &line.waiters[&ticket];
            let (table, rng) = (&mut self.table, &mut self.rng);
            let Some(name) = pick(table, rng, &service, &waiter.tried, waiter.idempotent, now)
            else {
                break;
            };
            line.queue.pop(now);
            let waiter = line.waiters.remove(&ticket).expect("a ticket has a waiter");
            let target = Arc::clone(&self.known[&*name]);
            let place = places.place(Arc::clone(&service), target, now);
            lost.extend(waiter.turn.send(place).err());
        }
        lost
    }

    pub fn serve_all(&mut self, places: &Arc<Places>, now: Duration) -> Vec<Place> {
        let waiting = self.lines.iter().filter(|(_, line)| !line.queue.is_empty());
        let services: Vec<Arc<str>> = waiting.map(|(service, _)| Arc::clone(service)).collect();
        services.iter().flat_map(|service| self.serve(places, service, now)).collect()
    }

    pub fn cancel(&mut self, service: &str, ticket: Ticket) {
        if let Some(line) = self.lines.get_mut(service) {
            line.cancel(ticket);
        }
    }

    pub fn waiting(&self) -> usize {
        self.lines.values().map(|line| line.queue.len()).sum()
    }
}

/// Chooses a target and counts the attempt in; one that was tried is better than none.
fn pick(
    table: &mut Balancer,
    rng: &mut ChaCha8Rng,
    service: &str,
    tried: &[String],
    idempotent: bool,
    now: Duration,
) -> Option<Arc<str>> {
    let exclude: Vec<&str> = tried.iter().map(String::as_str).collect();
    let ask = choice::PickArgs { service, exclude: &exclude, idempotent };
    let other = table.pick(&ask, now, rng);
    let pick = other.or_else(|| table.pick(&choice::PickArgs { exclude: &[], ..ask }, now, rng))?;
    table.on_start(&pick.target);
    Some(pick.target)
}
