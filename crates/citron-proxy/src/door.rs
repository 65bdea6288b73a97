//! Takes requests from Rocket and hands each to the stages in turn.

use std::{
    net::SocketAddr,
    sync::{Arc, OnceLock},
};

use citron::attempt::Outcome;
use citron_daemon::Server;
use rocket::{
    Data, Request, Response, Route,
    catcher::{self, Catcher},
    http::{Method, Status},
    outcome::Outcome as Routed,
    route,
};
use tokio::time;

use crate::{
    admit::{self, Admission},
    allowance,
    answer::{self, Holds},
    body,
    carry::{self, Carriage},
    intake,
    refusal::{Reason, Refusal},
    send,
    shared::{InFlight, Shared},
    socket::Finder,
};

/// How long Rocket lets requests end after its shutdown has begun, seconds; none is left by then.
const GRACE_S: u32 = 30;
/// How the methods that Rocket parses are routed.
const METHODS: [Method; 9] = [
    Method::Get,
    Method::Put,
    Method::Post,
    Method::Delete,
    Method::Options,
    Method::Head,
    Method::Trace,
    Method::Connect,
    Method::Patch,
];

/// Handles every request that Rocket can parse.
#[derive(Clone)]
pub struct Door {
    shared: Arc<Shared>,
    finder: Arc<OnceLock<Arc<Finder>>>,
}

/// Starts serving callers.
///
/// # Errors
/// Fails if the address cannot be bound.
pub async fn bind(shared: &Arc<Shared>) -> Result<Server, impl std::fmt::Display> {
    let addr = shared.settings.listen;
    let mut config = citron_daemon::config(addr);
    config.shutdown.grace = GRACE_S;
    config.shutdown.mercy = GRACE_S;
    let door = Door { shared: Arc::clone(shared), finder: Arc::default() };
    let routes: Vec<Route> =
        METHODS.iter().map(|&method| Route::new(method, "/<path..>", door.clone())).collect();
    let rocket =
        rocket::custom(config).mount("/", routes).register("/", vec![Catcher::new(None, door)]);
    citron_daemon::bind(rocket, addr).await
}

#[rocket::async_trait]
impl route::Handler for Door {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> route::Outcome<'r> {
        let in_flight = self.shared.track_request();
        let mut response = match self.serve(request, data, in_flight).await {
            Ok(response) => response,
            Err(refusal) => self.refuse(refusal),
        };
        if self.shared.is_leaving() {
            response.set_raw_header("connection", "close");
        }
        Routed::Success(response)
    }
}

#[rocket::async_trait]
impl catcher::Handler for Door {
    async fn handle<'r>(&self, status: Status, _: &'r Request<'_>) -> catcher::Result<'r> {
        // Rocket refuses what it cannot parse before any stage has run.
        Ok(self.refuse(match status.code {
            413 => Reason::BodyTooLarge.into(),
            431 => Reason::HeaderTooLarge.into(),
            400 | 404 | 405 | 422 => Reason::MalformedRequest.into(),
            501 => Reason::MethodNotCarried.into(),
            _ => Refusal::internal(),
        }))
    }
}

impl Door {
    async fn serve<'r>(
        &self,
        request: &'r Request<'_>,
        data: Data<'r>,
        in_flight: InFlight,
    ) -> Result<Response<'r>, Refusal> {
        let shared = &self.shared;
        let start = shared.clock.now();
        let intake = intake::read(request, shared.settings.header_limit)?;
        if send::url("0.0.0.0:0", &intake.path_and_query).is_none() {
            return Err(Reason::PathNotCarried.into());
        }
        let admission = admit::admit(&shared.view.load(), &intake, start)?;
        let place = shared.concurrency.try_acquire(&intake.customer).ok_or(Reason::CustomerBusy)?;
        let service = &admission.service.name;
        allowance::admit(shared, &intake.customer, service, &admission.allowance).await?;
        let deadline = admission.retry_policy.deadline;
        let taken = body::take(&intake, data, shared.settings.body_limit);
        let (body, mut pump) = time::timeout_at(shared.clock.instant(deadline), taken)
            .await
            .map_err(|_| Reason::BodyTooSlow)??;
        let (finder, peer) = (self.finder(request), request.remote());
        let mut carriage = Carriage {
            shared,
            intake: &intake,
            body: &body,
            admission: &admission,
            waited: Default::default(),
        };
        let carry = carriage.carry(carry::caller_gone(Arc::clone(&finder), peer));
        let result = body::while_pumping(&mut pump, carry).await;
        let added = (shared.clock.now() - start).saturating_sub(carriage.waited);
        shared.metrics.added.observe(added.as_secs_f64());
        let carried = result.inspect_err(|refusal| self.count(&admission, *refusal))?;
        let status = carried.response.status().as_u16();
        let route = answer::Route { shared: Arc::clone(shared), finder, peer, deadline };
        let holds = Holds { _in_flight: in_flight, _place: place };
        let Some(answer) = answer::answer(carried, route, pump, holds) else {
            let refusal = Refusal::internal();
            self.count(&admission, refusal);
            return Err(refusal);
        };
        shared.metrics.count_request(&admission.service.name, Outcome::Answered, status);
        Ok(answer)
    }

    fn refuse(&self, refusal: Refusal) -> Response<'static> {
        self.shared.metrics.refusals.with_label_values(&[refusal.reason]).inc();
        refusal.response()
    }

    fn count(&self, admission: &Admission, refusal: Refusal) {
        let service = &admission.service.name;
        self.shared.metrics.count_request(service, refusal.outcome, refusal.status);
    }

    /// Returns the finder for the address that the server is bound to.
    fn finder(&self, request: &Request<'_>) -> Arc<Finder> {
        let finder = self.finder.get_or_init(|| {
            let config = request.rocket().config();
            Arc::new(Finder::new(SocketAddr::new(config.address, config.port)))
        });
        Arc::clone(finder)
    }
}
