//! Responses that the proxy itself generates when it refuses a request.

use citron::attempt::{Cause, Outcome};
use rocket::{
    Response,
    http::{Header, Status},
};
use strum::{Display, EnumIter, IntoStaticStr};

/// The header that states whether a request ran, as far as is certain.
pub const OUTCOME: &str = "citron-outcome";
/// The header with the reason why there is no response from a target.
pub const REASON: &str = "citron-reason";

/// Why a request is refused before any attempt.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Hash, Display, IntoStaticStr, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// The request line or a header is malformed.
    MalformedRequest,
    /// The header `citron-customer` is missing or repeated.
    CustomerMissing,
    /// The header `citron-deadline-ms` is not a whole number of milliseconds.
    DeadlineMalformed,
    /// The header `idempotency-key` is empty, too long or repeated.
    IdempotencyKeyMalformed,
    /// The body ended before its announced length.
    BodyCutShort,
    /// The body did not arrive before the deadline.
    BodyTooSlow,
    /// The customer is not in the policy.
    CustomerUnknown,
    /// The customer's plan does not include the service.
    ServiceNotInPlan,
    /// No route matches the path.
    NoRoute,
    /// The body is longer than the limit.
    BodyTooLarge,
    /// The headers and path are longer than the limit.
    HeaderTooLarge,
    /// The customer has reached its limit of concurrent requests.
    CustomerBusy,
    /// The customer's allowance for the service is used up.
    OverAllowance,
    /// The HTTP library cannot forward the method.
    MethodNotCarried,
    /// The path or query would be changed by the HTTP library.
    PathNotCarried,
    /// A header would be changed by the HTTP library.
    HeaderNotCarried,
    /// A form body that starts with `_method=` hides the method that was sent.
    FormMethodAmbiguous,
    /// No policy has been received yet.
    PolicyMissing,
    /// The list of hosts that share allowances has not been received yet.
    HostsMissing,
}

impl Reason {
    /// Returns the HTTP status of the refusal.
    pub fn status(self) -> u16 {
        match self {
            Self::MalformedRequest
            | Self::CustomerMissing
            | Self::DeadlineMalformed
            | Self::IdempotencyKeyMalformed
            | Self::BodyCutShort
            | Self::BodyTooSlow => 400,
            Self::CustomerUnknown | Self::ServiceNotInPlan => 403,
            Self::NoRoute => 404,
            Self::BodyTooLarge => 413,
            Self::HeaderTooLarge => 431,
            Self::CustomerBusy | Self::OverAllowance => 429,
            Self::MethodNotCarried
            | Self::PathNotCarried
            | Self::HeaderNotCarried
            | Self::FormMethodAmbiguous => 501,
            Self::PolicyMissing | Self::HostsMissing => 503,
        }
    }
}

/// A response that the proxy itself generates.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub struct Refusal {
    /// The HTTP status.
    pub status: u16,
    /// Whether the request ran, as far as is certain.
    pub outcome: Outcome,
    /// The reason, in kebab case.
    pub reason: &'static str,
}

impl From<Reason> for Refusal {
    fn from(reason: Reason) -> Self {
        Self { status: reason.status(), outcome: Outcome::NotRun, reason: reason.into() }
    }
}

impl Refusal {
    /// Returns the refusal of a request whose attempts ended without a response.
    ///
    /// # Panics
    /// Panics if `outcome` is [`Outcome::Answered`].
    pub fn after_attempts(outcome: Outcome, cause: Cause) -> Self {
        assert!(outcome != Outcome::Answered, "an answered request must not be refused");
        let timed_out = matches!(cause, Cause::DeadlinePassed | Cause::TargetTimedOut);
        let status = match (outcome, cause) {
            (_, _) if timed_out => 504,
            (Outcome::NotRun, Cause::IdempotencyKeyTaken) => 409,
            (Outcome::NotRun, _) => 503,
            (_, _) => 502,
        };
        Self { status, outcome, reason: cause.into() }
    }

    /// Returns the refusal for an internal error of the proxy.
    pub fn internal() -> Self {
        Self { status: 502, outcome: Outcome::Unknown, reason: "proxy-fault" }
    }

    /// Returns the refusal as a response.
    pub fn response(self) -> Response<'static> {
        let outcome: &'static str = self.outcome.into();
        let text = format!("{outcome}: {}\n", self.reason);
        Response::build()
            .status(Status::new(self.status))
            .raw_header("content-type", "text/plain; charset=utf-8")
            .header(Header::new(OUTCOME, outcome))
            .header(Header::new(REASON, self.reason))
            .sized_body(text.len(), std::io::Cursor::new(text))
            .finalize()
    }
}
