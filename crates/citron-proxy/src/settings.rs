//! The settings of the proxy.

use std::{ffi::OsString, net::SocketAddr, time::Duration};

use citron_daemon::setting::{
    self, DOMAIN, Error, HOST, Request, Spec, Values,
    check::{address, milliseconds, name, number},
};
use log::LevelFilter;

const ABOUT: &str = "carries customers' requests to healthy targets";

const SPECS: &[Spec] = &[
    HOST,
    DOMAIN,
    Spec {
        flag: "listen",
        variable: "CITRON_LISTEN",
        default: None,
        help: "address that callers connect to",
        valid: "an IP address and port, such as 10.0.0.1:8080; port 0 takes a free one",
    },
    Spec {
        flag: "loans",
        variable: "CITRON_LOANS",
        default: None,
        help: "UDP address for loans between proxies",
        valid: "an IP address and port, such as 10.0.0.1:8081; port 0 takes a free one",
    },
    Spec {
        flag: "admin",
        variable: "CITRON_ADMIN",
        default: None,
        help: "HTTP address of metrics, events and status",
        valid: "an IP address and port, such as 10.0.0.1:8082; port 0 takes a free one",
    },
    Spec {
        flag: "agent",
        variable: "CITRON_AGENT",
        default: None,
        help: "control address of the agent of this host",
        valid: "an IP address and port, such as 127.0.0.1:9090",
    },
    Spec {
        flag: "platform",
        variable: "CITRON_PLATFORM",
        default: Some(""),
        help: "URL of the platform's object API",
        valid: "an http:// URL, such as http://10.0.0.9:7000",
    },
    Spec {
        flag: "leave-ms",
        variable: "CITRON_LEAVE_MS",
        default: Some("5000"),
        help: "how long it goes on accepting after it began to leave, milliseconds",
        valid: "a whole number from 0 to 600000",
    },
    Spec {
        flag: "body-limit-bytes",
        variable: "CITRON_BODY_LIMIT_BYTES",
        default: Some("67108864"),
        help: "longest request body, bytes",
        valid: "a whole number from 0 to 1099511627776",
    },
    Spec {
        flag: "header-limit-bytes",
        variable: "CITRON_HEADER_LIMIT_BYTES",
        default: Some("32768"),
        help: "longest request headers and path together, bytes",
        valid: "a whole number from 1024 to 262144",
    },
    Spec {
        flag: "customer-limit",
        variable: "CITRON_CUSTOMER_LIMIT",
        default: Some("256"),
        help: "most requests of one customer at a time",
        valid: "a whole number from 1 to 1000000",
    },
    Spec {
        flag: "log",
        variable: "CITRON_LOG",
        default: Some("info"),
        help: "least level of log lines",
        valid: "off, error, warn, info, debug or trace",
    },
    Spec {
        flag: "handover-ms",
        variable: "CITRON_HANDOVER_MS",
        default: Some("5000"),
        help: "how long a new share of an allowance waits, milliseconds; the same at every proxy",
        valid: "a whole number from 0 to 600000, at least 5000 but for a single proxy",
    },
];

/// The checked settings of a proxy.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The name of this host.
    pub host: String,
    /// The failure domain of this host.
    pub domain: String,
    /// The address that callers connect to.
    pub listen: SocketAddr,
    /// The UDP address for loans between proxies.
    pub loans: SocketAddr,
    /// The HTTP address of metrics, events and status.
    pub admin: SocketAddr,
    /// The control address of the agent of this host.
    pub agent: SocketAddr,
    /// The URL of the platform's object API; the proxy itself makes no calls to it.
    pub platform: Option<String>,
    /// How long the proxy still accepts connections after its graceful shutdown has begun.
    pub notice_period: Duration,
    /// How long after a change of the host list a share of an allowance that grew takes effect.
    pub handover: Duration,
    /// The longest request body, bytes.
    pub body_limit: u64,
    /// The longest request headers and path together, bytes.
    pub header_limit: usize,
    /// The most requests of one customer at a time.
    pub customer_limit: u32,
    /// The lowest level of log lines that are written.
    pub log: LevelFilter,
}

/// What the command line asks for.
#[derive(Debug)]
pub enum Command {
    /// Print this text and exit with code 0.
    Print(String),
    /// Run the proxy.
    Run(Box<Settings>),
}

impl Settings {
    /// Reads and checks the settings.
    ///
    /// # Errors
    /// Returns an error that names the flag, the variable, the value and the valid values.
    pub fn read(
        args: impl IntoIterator<Item = OsString>,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Command, Error> {
        match setting::read("citron-proxy", ABOUT, SPECS, args, variable)? {
            Request::Print(text) => Ok(Command::Print(text)),
            Request::Run(values) => Self::check(&values).map(Box::new).map(Command::Run),
        }
    }

    fn check(values: &Values) -> Result<Self, Error> {
        if let Some(word) = values.positional.first() {
            return Err(Error::Usage(format!("unexpected word {word:?}")));
        }
        Ok(Self {
            host: values.get_with("host", name)?,
            domain: values.get_with("domain", name)?,
            listen: values.get_with("listen", address)?,
            loans: values.get_with("loans", address)?,
            admin: values.get("admin")?,
            agent: values.get("agent")?,
            platform: values.get_with("platform", url)?,
            notice_period: values.get_with("leave-ms", |text| milliseconds(text, 0, 600_000))?,
            handover: values.get_with("handover-ms", |text| milliseconds(text, 0, 600_000))?,
            body_limit: values.get_with("body-limit-bytes", |text| number(text, 0, 1 << 40))?,
            header_limit: values
                .get_with("header-limit-bytes", |text| number(text, 1024, 262_144))?
                as usize,
            customer_limit: values.get_with("customer-limit", |text| number(text, 1, 1_000_000))?
                as u32,
            log: values.get("log")?,
        })
    }
}

fn url(text: &str) -> Result<Option<String>, String> {
    if text.is_empty() {
        return Ok(None);
    }
    match reqwest::Url::parse(text) {
        Ok(url) if url.scheme() == "http" => Ok(Some(text.to_owned())),
        Ok(url) => Err(format!("the scheme is {:?}", url.scheme())),
        Err(error) => Err(error.to_string()),
    }
}
