//! The command and its settings.

use std::{ffi::OsString, net::SocketAddr, path::PathBuf, time::Duration};

use citron_daemon::setting::{Error, Request, Spec, Values, read};
use citron_platform::Client;
use strum::{Display, EnumString, IntoStaticStr};

const ABOUT: &str = "operates the citronlanding proxy fleet

  check CUSTOMERS.toml GRANTS.toml   checks the two lists without the platform
  diff CUSTOMERS.toml GRANTS.toml    compares the two lists with the policy in force
  apply CUSTOMERS.toml GRANTS.toml   replaces the policy by the two lists; needs --as
  handover                           hands the final say to the next holder; needs --as and --to
  sweep                              deletes parts of the lists that no policy names; needs --as
  status                             shows the policy, the final say and the hosts
  drain HOST                         asks a host to leave without cutting a request
  timeline                           merges the events of all processes
  explain REQUEST LOG...             picks from gateways' logs what explains a request

Exit codes: 0 done or equal, 1 different, 2 bad setting, 3 bad lists, 4 refused,
5 unreachable, 6 undecided, 7 failed";

const SPECS: &[Spec] = &[
    Spec {
        flag: "platform",
        variable: "CITRON_PLATFORM",
        default: Some(""),
        help: "URL of the platform's object API",
        valid: "a URL such as http://10.0.0.1:8080",
    },
    Spec {
        flag: "as",
        variable: "CITRON_AS",
        default: Some(""),
        help: "the operator who makes the edit",
        valid: "the name of the holder of the final say",
    },
    Spec {
        flag: "to",
        variable: "CITRON_TO",
        default: Some(""),
        help: "the next holder of the final say",
        valid: "the name of an operator",
    },
    Spec {
        flag: "base",
        variable: "CITRON_BASE",
        default: Some(""),
        help: "revision that the edit is to replace; refused if another is in force",
        valid: "a revision, as shown by status",
    },
    Spec {
        flag: "edit",
        variable: "CITRON_EDIT",
        default: Some(""),
        help: "id of an undecided edit, for status; needs --base",
        valid: "an id as printed by apply or handover",
    },
    Spec {
        flag: "admin",
        variable: "CITRON_ADMIN",
        default: Some(""),
        help: "HTTP addresses of agents, proxies or stand-ins, comma separated",
        valid: "addresses such as 10.0.0.1:9000,10.0.0.2:9000",
    },
    Spec {
        flag: "output",
        variable: "CITRON_OUTPUT",
        default: Some("text"),
        help: "form of the output",
        valid: "text or json",
    },
    Spec {
        flag: "timeout-ms",
        variable: "CITRON_TIMEOUT_MS",
        default: Some("5000"),
        help: "longest time of one call, milliseconds",
        valid: "a number from 1 to 600000",
    },
];

/// The upper bound of `--timeout-ms`, milliseconds.
const TIMEOUT_LIMIT_MS: u64 = 600_000;

/// The command and its validated settings.
#[derive(Debug, Clone)]
pub struct Settings {
    /// What to do.
    pub command: Command,
    /// The form of the output.
    pub output: Format,
    /// The platform, if it is set.
    pub platform: Option<Client>,
    /// HTTP addresses of processes.
    pub admin: Vec<SocketAddr>,
    /// The timeout of one call.
    pub timeout: Duration,
}

/// What to do.
#[derive(Debug, Clone, Eq, PartialEq)]
pub enum Command {
    /// Validates the two lists.
    Check(Lists),
    /// Compares the two lists with the policy in force.
    Diff(Lists),
    /// Replaces the policy by the two lists.
    Apply {
        /// The files.
        lists: Lists,
        /// The operator who makes the edit.
        author: String,
        /// The revision that the edit is to replace.
        base: Option<u64>,
    },
    /// Hands the edit right over to another operator.
    HandOver {
        /// The operator who holds the edit right.
        author: String,
        /// The next holder.
        next: String,
    },
    /// Deletes shards that the policy no longer names.
    Sweep {
        /// The operator who holds the edit right.
        author: String,
    },
    /// Shows the policy and the hosts.
    Status {
        /// The id of an edit with an unknown outcome, and the revision that it was to replace.
        edit: Option<(String, u64)>,
    },
    /// Drains a host.
    Drain {
        /// The host.
        host: String,
    },
    /// Merges the events of all processes.
    Timeline,
    /// Shows the log lines that explain a request.
    Explain {
        /// The id that its caller gave it.
        request: String,
        /// Files with the logs of gateways.
        logs: Vec<PathBuf>,
    },
}

/// The files of the two lists.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct Lists {
    /// The customers' plans.
    pub customers: PathBuf,
    /// What each plan may use.
    pub grants: PathBuf,
}

/// The form of the output.
#[derive(Debug, Copy, Clone, Eq, PartialEq, EnumString, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Format {
    /// For people.
    Text,
    /// For scripts.
    Json,
}

#[derive(Debug, Copy, Clone, Eq, PartialEq, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
enum Verb {
    Check,
    Diff,
    Apply,
    Handover,
    Sweep,
    Status,
    Drain,
    Timeline,
    Explain,
}

impl Settings {
    /// Parses the command line, which starts after the program's name; returns the text to print
    /// for `--help` and `--version`.
    ///
    /// # Errors
    /// The error names the flag, the variable, the value and what would be valid.
    pub fn read(
        args: impl IntoIterator<Item = OsString>,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Result<Self, String>, Error> {
        match read("citronctl", ABOUT, SPECS, args, variable)? {
            Request::Print(text) => Ok(Err(text)),
            Request::Run(values) => Self::parse(&values).map(Ok),
        }
    }

    fn parse(values: &Values) -> Result<Self, Error> {
        let timeout_ms = values.get_with("timeout-ms", parse_timeout)?;
        let timeout = Duration::from_millis(timeout_ms);
        let settings = Self {
            command: parse_command(values)?,
            output: values.get_with("output", |text| {
                text.parse().map_err(|_| "there is no such form".to_owned())
            })?,
            platform: optional(values, "platform", |url| {
                Client::open(url, timeout).map_err(|error| error.to_string())
            })?,
            admin: optional(values, "admin", parse_addresses)?.unwrap_or_default(),
            timeout,
        };
        settings.check(values)?;
        Ok(settings)
    }

    /// Checks that the command has the addresses that it needs.
    fn check(&self, values: &Values) -> Result<(), Error> {
        match self.command {
            Command::Check(_) | Command::Explain { .. } => Ok(()),
            Command::Drain { .. } | Command::Timeline => {
                if self.admin.is_empty() {
                    required(values, "admin").map(drop)
                } else {
                    Ok(())
                }
            }
            _ if self.platform.is_none() => required(values, "platform").map(drop),
            _ => Ok(()),
        }
    }
}

fn parse_command(values: &Values) -> Result<Command, Error> {
    let usage = |message: String| Err(Error::Usage(message));
    let Some((word, words)) = values.positional.split_first() else {
        return usage("there is no command".to_owned());
    };
    let Ok(verb) = word.parse::<Verb>() else {
        return usage(format!("there is no command {word:?}"));
    };
    let (arity, expected) = match verb {
        Verb::Check | Verb::Diff | Verb::Apply => (2..=2, "CUSTOMERS.toml GRANTS.toml"),
        Verb::Drain => (1..=1, "HOST"),
        Verb::Handover | Verb::Sweep | Verb::Status | Verb::Timeline => (0..=0, "no argument"),
        Verb::Explain => (2..=usize::MAX, "REQUEST LOG..."),
    };
    if !arity.contains(&words.len()) {
        let verb: &str = verb.into();
        return usage(format!("{verb} takes {expected}, not {:?}", words.join(" ")));
    }
    let lists = || Lists { customers: (&words[0]).into(), grants: (&words[1]).into() };
    Ok(match verb {
        Verb::Check => Command::Check(lists()),
        Verb::Diff => Command::Diff(lists()),
        Verb::Apply => Command::Apply {
            lists: lists(),
            author: required(values, "as")?,
            base: values.get_optional("base")?,
        },
        Verb::Handover => {
            Command::HandOver { author: required(values, "as")?, next: required(values, "to")? }
        }
        Verb::Sweep => Command::Sweep { author: required(values, "as")? },
        Verb::Status => Command::Status { edit: parse_edit(values)? },
        Verb::Drain => Command::Drain { host: words[0].clone() },
        Verb::Timeline => Command::Timeline,
        Verb::Explain => Command::Explain {
            request: words[0].clone(),
            logs: words[1..].iter().map(PathBuf::from).collect(),
        },
    })
}

fn parse_edit(values: &Values) -> Result<Option<(String, u64)>, Error> {
    let Some(id) = values.get_optional("edit")? else { return Ok(None) };
    required(values, "base")?;
    Ok(Some((id, values.get("base")?)))
}

/// Returns a setting that the command requires.
fn required(values: &Values, flag: &'static str) -> Result<String, Error> {
    if let Some(text) = values.get_optional::<String>(flag)? {
        return Ok(text);
    }
    let spec = SPECS.iter().find(|spec| spec.flag == flag).expect("the flag has a spec");
    Err(Error::Missing { flag, variable: spec.variable, valid: spec.valid })
}

fn optional<T>(
    values: &Values,
    flag: &'static str,
    parse: impl FnOnce(&str) -> Result<T, String>,
) -> Result<Option<T>, Error> {
    match values.get_optional::<String>(flag)? {
        Some(_) => values.get_with(flag, parse).map(Some),
        None => Ok(None),
    }
}

fn parse_timeout(text: &str) -> Result<u64, String> {
    let ms: u64 = text.parse().map_err(|_| "it is not a number".to_owned())?;
    if (1..=TIMEOUT_LIMIT_MS).contains(&ms) { Ok(ms) } else { Err("it is out of range".to_owned()) }
}

fn parse_addresses(text: &str) -> Result<Vec<SocketAddr>, String> {
    let parse =
        |word: &str| word.trim().parse().map_err(|error| format!("{:?}: {error}", word.trim()));
    text.split(',').map(parse).collect()
}
