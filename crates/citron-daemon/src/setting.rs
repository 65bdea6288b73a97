//! Settings from flags and environment variables, validated before a program starts any work.

pub mod check;

use std::{
    collections::BTreeMap,
    ffi::OsString,
    fmt::{self, Display, Formatter},
    str::FromStr,
};

/// Describes one setting.
#[derive(Debug, Copy, Clone)]
pub struct Spec {
    /// The flag without dashes, such as `listen`.
    pub flag: &'static str,
    /// The environment variable, such as `CITRON_LISTEN`.
    pub variable: &'static str,
    /// The value if neither is given; `None` makes the setting required, `Some("")` optional.
    pub default: Option<&'static str>,
    /// What it sets, with its unit.
    pub help: &'static str,
    /// What a valid value looks like.
    pub valid: &'static str,
}

/// The host name, a setting of every daemon.
pub const HOST: Spec = Spec {
    flag: "host",
    variable: "CITRON_HOST",
    default: None,
    help: "name of this host, unique in the fleet",
    valid: NAME_VALID,
};

/// The host's failure domain, a setting of every daemon.
pub const DOMAIN: Spec = Spec {
    flag: "domain",
    variable: "CITRON_DOMAIN",
    default: None,
    help: "failure domain of this host",
    valid: NAME_VALID,
};

/// Describes the values that [`check::name`] accepts.
const NAME_VALID: &str = "1 to 64 letters, digits, '-', '_' or '.'";

/// What the command line asks the program to do.
#[derive(Debug)]
pub enum Request {
    /// Print this text and exit with code 0.
    Print(String),
    /// Run with these values.
    Run(Values),
}

/// The raw values of the settings, each parsed when it is read.
#[derive(Debug)]
pub struct Values {
    specs: &'static [Spec],
    raw: BTreeMap<&'static str, (String, Origin)>,
    /// Positional arguments, in order.
    pub positional: Vec<String>,
}

#[derive(Debug, Copy, Clone, Eq, PartialEq)]
enum Origin {
    Flag,
    Variable,
    Default,
}

/// An error in the settings.
#[derive(Debug, Clone, Eq, PartialEq)]
pub enum Error {
    /// The command line has an unknown flag, a flag without a value, or a value that is not UTF-8.
    Usage(String),
    /// A required setting that is not given.
    Missing {
        /// The flag.
        flag: &'static str,
        /// The environment variable.
        variable: &'static str,
        /// What would be valid.
        valid: &'static str,
    },
    /// A value that is not valid.
    Invalid {
        /// The flag.
        flag: &'static str,
        /// The environment variable.
        variable: &'static str,
        /// The value as given.
        value: String,
        /// Why it is not valid.
        reason: String,
        /// What would be valid.
        valid: &'static str,
    },
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(message) => write!(f, "{message}; see --help"),
            Self::Missing { flag, variable, valid } => {
                write!(f, "--{flag} is missing; give --{flag} or set {variable} to {valid}")
            }
            Self::Invalid { flag, variable, value, reason, valid } => write!(
                f,
                "--{flag} (or {variable}) has the value {value:?}, which is not valid: {reason}; use {valid}"
            ),
        }
    }
}

impl std::error::Error for Error {}

/// Reads the settings: a flag takes precedence over an environment variable, which takes
/// precedence over the default.
///
/// `args` excludes the program name; `variable` looks up an environment variable. `--help` and
/// `--version` return a text to print.
///
/// # Errors
/// Fails on an unknown flag, a flag without a value or a value that is not UTF-8.
pub fn read(
    program: &str,
    about: &str,
    specs: &'static [Spec],
    args: impl IntoIterator<Item = OsString>,
    variable: impl Fn(&str) -> Option<String>,
) -> Result<Request, Error> {
    let usage = |error: lexopt::Error| Error::Usage(error.to_string());
    let mut raw = BTreeMap::new();
    let mut positional = Vec::new();
    let mut parser = lexopt::Parser::from_args(args);
    while let Some(arg) = parser.next().map_err(usage)? {
        match arg {
            lexopt::Arg::Long("help") | lexopt::Arg::Short('h') => {
                return Ok(Request::Print(help(program, about, specs)));
            }
            lexopt::Arg::Long("version") | lexopt::Arg::Short('V') => {
                return Ok(Request::Print(format!("{program} {}\n", env!("CARGO_PKG_VERSION"))));
            }
            lexopt::Arg::Long(name) => {
                let Some(spec) = specs.iter().find(|spec| spec.flag == name) else {
                    return Err(usage(arg.unexpected()));
                };
                let value = parser.value().map_err(usage)?;
                let value = value.into_string().map_err(|_| {
                    Error::Usage(format!("--{} has a value that is not UTF-8", spec.flag))
                })?;
                raw.insert(spec.flag, (value, Origin::Flag));
            }
            lexopt::Arg::Value(value) => positional.push(value.to_string_lossy().into_owned()),
            lexopt::Arg::Short(_) => return Err(usage(arg.unexpected())),
        }
    }
    for spec in specs {
        if raw.contains_key(spec.flag) {
            continue;
        }
        if let Some(value) = variable(spec.variable) {
            raw.insert(spec.flag, (value, Origin::Variable));
        } else if let Some(default) = spec.default {
            raw.insert(spec.flag, (default.to_owned(), Origin::Default));
        }
    }
    Ok(Request::Run(Values { specs, raw, positional }))
}

impl Values {
    /// Returns the parsed value of a setting.
    ///
    /// # Errors
    /// Fails if the setting is required and missing, or not valid.
    pub fn get<T>(&self, flag: &'static str) -> Result<T, Error>
    where
        T: FromStr,
        T::Err: Display,
    {
        self.get_with(flag, |text| text.parse().map_err(|error: T::Err| error.to_string()))
    }

    /// Returns the parsed value of an optional setting, or `None` if it is empty.
    ///
    /// # Errors
    /// Fails if the value is not valid.
    pub fn get_optional<T>(&self, flag: &'static str) -> Result<Option<T>, Error>
    where
        T: FromStr,
        T::Err: Display,
    {
        match self.raw.get(flag) {
            Some((text, _)) if text.is_empty() => Ok(None),
            None => Ok(None),
            Some(_) => self.get(flag).map(Some),
        }
    }

    /// Returns the value of a setting, parsed by `parse`, whose error says why the value is not
    /// valid.
    ///
    /// # Errors
    /// Fails if the setting is required and missing, or `parse` fails.
    pub fn get_with<T>(
        &self,
        flag: &'static str,
        parse: impl FnOnce(&str) -> Result<T, String>,
    ) -> Result<T, Error> {
        let spec = self.spec(flag);
        let Some((text, _)) = self.raw.get(flag) else {
            return Err(Error::Missing { flag, variable: spec.variable, valid: spec.valid });
        };
        parse(text).map_err(|reason| Error::Invalid {
            flag,
            variable: spec.variable,
            value: text.clone(),
            reason,
            valid: spec.valid,
        })
    }

    /// Returns true if the setting came from a flag or an environment variable.
    pub fn is_given(&self, flag: &'static str) -> bool {
        self.raw.get(flag).is_some_and(|(_, origin)| *origin != Origin::Default)
    }

    fn spec(&self, flag: &str) -> &'static Spec {
        self.specs
            .iter()
            .find(|spec| spec.flag == flag)
            .expect("every setting that is read has a spec")
    }
}

fn help(program: &str, about: &str, specs: &[Spec]) -> String {
    let mut text =
        format!("{program}: {about}\n\nSettings (flag, environment variable, default):\n");
    for spec in specs {
        let default = match spec.default {
            None => "required".to_owned(),
            Some("") => "optional".to_owned(),
            Some(value) => format!("default {value}"),
        };
        text += &format!(
            "  --{} VALUE, {} ({default})\n      {}; {}\n",
            spec.flag, spec.variable, spec.help, spec.valid
        );
    }
    text += "  --help       print this text\n  --version    print the version\n";
    text
}
