//! A gateway in a process of its own.

use std::{
    fs::{File, OpenOptions},
    io,
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, ChildStdout, Command, ExitStatus, Stdio},
};

use eyre::{WrapErr, bail, eyre};
use rustix::process::{Pid, Signal, kill_process};
use tokio::net::TcpListener;

/// The variable that names the settings file to the gateway.
const SETTINGS_VARIABLE: &str = "CITRONLANDING_CONFIG";
/// The variable that sets the port of the metrics.
const METRICS_VARIABLE: &str = "CITRON_METRICS_PORT";
/// The variable that names another build of the gateway.
const PROGRAM_VARIABLE: &str = "CITRON_GATEWAY_PROGRAM";
/// The ports that every gateway uses on its own address.
const CALLERS_PORT: u16 = 28144;
const READY_PORT: u16 = 28140;
const CONTROL_PORT: u16 = 28146;
const DIRECTORY_PORT: u16 = 28143;
const INTERNAL_PORT: u16 = 28150;
const METRICS_PORT: u16 = 28148;
/// The port that a run holds so that no other run uses its addresses.
const LOCK_PORT: u16 = 28199;

/// What a gateway's settings say.
#[derive(Debug, Clone)]
pub struct Host {
    /// Its name.
    pub name: String,
    /// Its address, which is its own on loopback.
    pub ip: Ipv4Addr,
    /// Its failure domain.
    pub domain: String,
    /// The processors it may use at once.
    pub cores: usize,
    /// Where it reaches the store.
    pub store: SocketAddr,
    /// The control addresses of some gateways.
    pub seeds: Vec<SocketAddr>,
    /// The longest time that callers keep an answer of the directory; changes with each reload.
    pub keep_limit_s: f64,
}

/// A running gateway; dropping it kills it.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Host {
    /// Returns where it takes callers.
    pub fn callers(&self) -> SocketAddr {
        SocketAddr::from((self.ip, CALLERS_PORT))
    }

    /// Returns where it says whether it is ready.
    pub fn ready(&self) -> SocketAddr {
        SocketAddr::from((self.ip, READY_PORT))
    }

    /// Returns where it answers callers that ask where to connect.
    pub fn directory(&self) -> SocketAddr {
        SocketAddr::from((self.ip, DIRECTORY_PORT))
    }

    /// Returns where other gateways ask it for its state.
    pub fn control(&self) -> SocketAddr {
        SocketAddr::from((self.ip, CONTROL_PORT))
    }

    /// Returns where it serves its metrics.
    pub fn metrics(&self) -> SocketAddr {
        SocketAddr::from((self.ip, METRICS_PORT))
    }

    /// Writes the settings file into `folder`.
    ///
    /// # Errors
    /// Fails if the file cannot be written.
    pub fn write_settings(&self, folder: &Path) -> eyre::Result<PathBuf> {
        let path = folder.join(format!("{}.toml", self.name));
        // A gateway must never read half a file.
        let draft = folder.join(format!("{}.draft", self.name));
        std::fs::write(&draft, self.settings()).wrap_err("cannot write a settings file")?;
        std::fs::rename(&draft, &path).wrap_err("cannot write a settings file")?;
        Ok(path)
    }

    fn settings(&self) -> String {
        let Self { name, ip, domain, cores, store, seeds, keep_limit_s } = self;
        let (callers, ready, control, directory) =
            (self.callers(), self.ready(), self.control(), self.directory());
        let seeds: Vec<String> =
            seeds.iter().map(|seed| format!("{:?}", seed.to_string())).collect();
        let seeds = seeds.join(",");
        format!(
            "[self]
node = {name:?}
ip = \"{ip}\"
zone = {domain:?}
[self.limits]
cores = {cores}
memoryMb = 512
[network]
internalPorts = [{INTERNAL_PORT},{}]
seeds = [{seeds}]
[network.listen]
front = \"{callers}\"
ready = \"{ready}\"
control = \"{control}\"
directory = \"{directory}\"
[platform.platform]
address = \"{store}\"
[terms.bounds]
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetSlack = 62
ttl_max_s = {keep_limit_s:?}
graceS = 6
",
            INTERNAL_PORT + 8
        )
    }
}

impl Process {
    /// Starts the gateway of a host; its output is appended to a file in `folder`.
    ///
    /// # Errors
    /// Fails if the program is not built or cannot be started.
    pub fn spawn(host: &Host, folder: &Path) -> eyre::Result<Self> {
        Self::start(host, folder, output(host, folder, "log")?.into())
    }

    /// Starts the gateway of a host, whose standard output the caller reads.
    ///
    /// # Errors
    /// Fails if the program is not built or cannot be started.
    pub fn spawn_piped(host: &Host, folder: &Path) -> eyre::Result<(Self, ChildStdout)> {
        let mut process = Self::start(host, folder, Stdio::piped())?;
        let stdout = process.child.stdout.take().ok_or_else(|| eyre!("there is no output"))?;
        Ok((process, stdout))
    }

    fn start(host: &Host, folder: &Path, stdout: Stdio) -> eyre::Result<Self> {
        let settings = host.write_settings(folder)?;
        let child = Command::new(program()?)
            .env(SETTINGS_VARIABLE, settings)
            .env(METRICS_VARIABLE, METRICS_PORT.to_string())
            .stdin(Stdio::null())
            .stdout(stdout)
            .stderr(output(host, folder, "err")?)
            .spawn()
            .wrap_err("cannot start a gateway")?;
        Ok(Self { child })
    }

    /// Sends a signal.
    ///
    /// # Errors
    /// Fails if the process has ended and was waited for.
    pub fn signal(&self, signal: Signal) -> eyre::Result<()> {
        let pid = Pid::from_raw(self.child.id() as i32).ok_or_else(|| eyre!("no process id"))?;
        Ok(kill_process(pid, signal)?)
    }

    /// Returns how the process ended, if it has.
    ///
    /// # Errors
    /// Fails if the system cannot tell.
    pub fn ended(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // One that has ended already needs no kill.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Finds a block of loopback addresses, 127.BLOCK.0.0, that no other run uses, and holds it.
///
/// # Errors
/// Fails if all blocks are in use.
pub async fn free_block() -> eyre::Result<(u8, TcpListener)> {
    for block in 10..250 {
        let address = SocketAddr::from((Ipv4Addr::new(127, block, 0, 1), LOCK_PORT));
        if let Ok(lock) = TcpListener::bind(address).await {
            return Ok((block, lock));
        }
    }
    bail!("no block of loopback addresses is free; end other runs first")
}

fn output(host: &Host, folder: &Path, suffix: &str) -> io::Result<File> {
    let path = folder.join(format!("{}.{suffix}", host.name));
    OpenOptions::new().create(true).append(true).open(path)
}

/// Finds the gateway: the one that the environment names, or else the one beside the running program
/// or one folder above it.
fn program() -> eyre::Result<PathBuf> {
    if let Some(program) = std::env::var_os(PROGRAM_VARIABLE) {
        return Ok(PathBuf::from(program));
    }
    let own = std::env::current_exe()?;
    let mut folders = own.ancestors().skip(1).take(2).map(|folder| folder.join("citron-gateway"));
    folders
        .find(|path| path.is_file())
        .ok_or_else(|| eyre!("citron-gateway is not built; run cargo build --workspace --bins"))
}
