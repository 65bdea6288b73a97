//! The HTTP server for callers, which runs each request through the stages in turn.

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
    allowance, body,
    forward::{self, Forwarder},
    inbound,
    refusal::{Reason, Refusal},
    response::{self, RequestGuards},
    send,
    shared::{InFlight, Shared},
    socket::ConnectionFinder,
};

/// How long Rocket waits for open requests after its shutdown has begun, seconds. The graceful
/// shutdown stops the server only when no request is in flight.
const GRACE_S: u32 = 30;
/// Every method that Rocket parses; each gets a route that matches all paths.
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

/// Handles every request, and the errors of requests that Rocket cannot parse.
#[derive(Clone)]
pub struct RequestHandler {
    shared: Arc<Shared>,
    finder: Arc<OnceLock<Arc<ConnectionFinder>>>,
}

/// Binds the listening address and serves callers.
///
/// # Errors
/// Fails if the address cannot be bound.
pub async fn bind(shared: &Arc<Shared>) -> Result<Server, impl std::fmt::Display> {
    let addr = shared.settings.listen;
    let mut config = citron_daemon::config(addr);
    config.shutdown.grace = GRACE_S;
    config.shutdown.mercy = GRACE_S;
    let handler = RequestHandler { shared: Arc::clone(shared), finder: Arc::default() };
    let routes: Vec<Route> =
        METHODS.iter().map(|&method| Route::new(method, "/<path..>", handler.clone())).collect();
    let rocket =
        rocket::custom(config).mount("/", routes).register("/", vec![Catcher::new(None, handler)]);
    citron_daemon::bind(rocket, addr).await
}

#[rocket::async_trait]
impl route::Handler for RequestHandler {
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
impl catcher::Handler for RequestHandler {
    async fn handle<'r>(&self, status: Status, _: &'r Request<'_>) -> catcher::Result<'r> {
        // Rocket rejects requests that it cannot parse before any stage has run.
        Ok(self.refuse(match status.code {
            413 => Reason::BodyTooLarge.into(),
            431 => Reason::HeaderTooLarge.into(),
            400 | 404 | 405 | 422 => Reason::MalformedRequest.into(),
            501 => Reason::MethodNotCarried.into(),
            _ => Refusal::internal(),
        }))
    }
}

impl RequestHandler {
    async fn serve<'r>(
        &self,
        request: &'r Request<'_>,
        data: Data<'r>,
        in_flight: InFlight,
    ) -> Result<Response<'r>, Refusal> {
        let shared = &self.shared;
        let start = shared.clock.now();
        let inbound = inbound::read(request, shared.settings.header_limit)?;
        if send::url("0.0.0.0:0", &inbound.path_and_query).is_none() {
            return Err(Reason::PathNotCarried.into());
        }
        let admission = admit::admit(&shared.view.load(), &inbound, start)?;
        let permit =
            shared.concurrency.try_acquire(&inbound.customer).ok_or(Reason::CustomerBusy)?;
        let service = &admission.service.name;
        allowance::admit(shared, &inbound.customer, service, &admission.allowance).await?;
        let deadline = admission.retry_policy.deadline;
        let received = body::receive(&inbound, data, shared.settings.body_limit);
        let (body, mut pump) = time::timeout_at(shared.clock.instant(deadline), received)
            .await
            .map_err(|_| Reason::BodyTooSlow)??;
        let (finder, peer) = (self.finder(request), request.remote());
        let mut forwarder = Forwarder {
            shared,
            inbound: &inbound,
            body: &body,
            admission: &admission,
            target_wait: Default::default(),
        };
        let forward = forwarder.forward(forward::caller_disconnected(Arc::clone(&finder), peer));
        let result = body::while_pumping(&mut pump, forward).await;
        let added_latency = (shared.clock.now() - start).saturating_sub(forwarder.target_wait);
        shared.metrics.added_latency.observe(added_latency.as_secs_f64());
        let target_response = result.inspect_err(|refusal| self.count(&admission, *refusal))?;
        let status = target_response.started.response.status().as_u16();
        let caller = response::Caller { shared: Arc::clone(shared), finder, peer, deadline };
        let guards = RequestGuards { _in_flight: in_flight, _permit: permit };
        let Some(response) = response::forward(target_response, caller, pump, guards) else {
            let refusal = Refusal::internal();
            self.count(&admission, refusal);
            return Err(refusal);
        };
        shared.metrics.count_request(&admission.service.name, Outcome::Answered, status);
        Ok(response)
    }

    fn refuse(&self, refusal: Refusal) -> Response<'static> {
        self.shared.metrics.refusals.with_label_values(&[refusal.reason]).inc();
        refusal.response()
    }

    fn count(&self, admission: &Admission, refusal: Refusal) {
        let service = &admission.service.name;
        self.shared.metrics.count_request(service, refusal.outcome, refusal.status);
    }

    /// Returns the connection finder for the address that the server is bound to.
    fn finder(&self, request: &Request<'_>) -> Arc<ConnectionFinder> {
        let finder = self.finder.get_or_init(|| {
            let config = request.rocket().config();
            Arc::new(ConnectionFinder::new(SocketAddr::new(config.address, config.port)))
        });
        Arc::clone(finder)
    }
}
