//! Graceful shutdown of a real process: no response is cut short.

mod support;

use std::{
    net::SocketAddr,
    process::{Child, ChildStdout, Command, Stdio},
    sync::Arc,
};

use rustix::process::{Pid, Signal, kill_process};
use support::{Action, Agent, Caller, Script, Target, read_response, wait_for};
use tokio::{io::AsyncWriteExt, net::TcpStream, sync::Notify};

/// A proxy in its own process, with an agent and one target in this one.
struct Process {
    child: Child,
    addr: SocketAddr,
    admin: String,
    agent: Agent,
    target: Target,
    /// Kept open because the process may write to it.
    _stdout: std::io::BufReader<ChildStdout>,
}

impl Process {
    async fn start(script: Script, leave_ms: &str) -> Self {
        use std::io::BufRead;
        let target = Target::spawn(script).await;
        let agent = Agent::spawn().await;
        agent.send_members(&[("h1", "", true)]);
        agent.send_policy(1, support::CUSTOMERS, support::GRANTS);
        agent.send_targets(&[target.addr]);
        let free = "127.0.0.1:0";
        let mut child = Command::new(env!("CARGO_BIN_EXE_citron-proxy"))
            .args(["--host", "h1", "--domain", "a", "--listen", free, "--loans", free])
            .args(["--admin", free, "--agent", &agent.addr.to_string(), "--log", "warn"])
            .args(["--leave-ms", leave_ms, "--handover-ms", "0"])
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program must start");
        let mut stdout = std::io::BufReader::new(child.stdout.take().expect("stdout is piped"));
        let mut line = String::new();
        stdout.read_line(&mut line).expect("a ready line must come");
        let ready: serde_json::Value = line.parse().expect("the ready line must be JSON");
        let text = |key: &str| ready[key].as_str().expect("an address").to_owned();
        let addr = text("listen").parse().expect("an address");
        let admin = text("admin");
        let process = Self { child, addr, admin, agent, target, _stdout: stdout };
        wait_for(|| async { process.status().await["services"]["lot-desk"]["listed"] == 1 }).await;
        process
    }

    async fn status(&self) -> serde_json::Value {
        let url = format!("http://{}/status", self.admin);
        reqwest::get(url).await.expect("status").json().await.expect("status must be JSON")
    }

    fn terminate(&self) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, Signal::TERM).expect("the process must take SIGTERM");
    }

    /// Starts a request and waits until the target has received it.
    async fn start_request(&self, request: &str) -> TcpStream {
        let before = self.target.received().len();
        let mut stream = Caller::new(self.addr).connect().await;
        stream.write_all(request.as_bytes()).await.expect("the proxy must read");
        wait_for(|| async { self.target.received().len() > before }).await;
        stream
    }

    /// Waits for the process to exit and returns its exit code.
    async fn wait_for_exit(&mut self) -> Option<i32> {
        let child = parking_lot::Mutex::new(&mut self.child);
        wait_for(|| async { child.lock().try_wait().expect("wait").is_some() }).await;
        self.child.wait().expect("wait").code()
    }

    /// Sets the number of slots of the target.
    async fn set_slots(&self, slots: u32) {
        let entry = citron_wire::Target { slots, ..support::target_entry(0, self.target.addr) };
        let table =
            citron_wire::TargetTable { full: true, targets: vec![entry], ..Default::default() };
        self.agent.send(citron_wire::update::Body::Targets(table));
        // The policy follows on the same stream, so the targets have arrived once it is in force.
        self.agent.send_policy(2, support::CUSTOMERS, support::GRANTS);
        wait_for(|| async { self.status().await["revision"] == 2 }).await;
    }

    /// Checks for 1.5 seconds that the process keeps running while responses are unfinished.
    async fn assert_keeps_running(&mut self) {
        for _ in 0..30 {
            assert!(self.child.try_wait().expect("wait").is_none(), "an answer is unfinished");
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        }
    }

    async fn refuses_connections(&self) -> bool {
        TcpStream::connect(self.addr).await.is_err()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

const GET: &str = "GET /lots/1 HTTP/1.1\r\nhost: x\r\ncitron-customer: roaster\r\n\r\n";
const POST: &str =
    "POST /lots/2 HTTP/1.1\r\nhost: x\r\ncitron-customer: roaster\r\ncontent-length: 0\r\n\r\n";

/// A target that finishes each response only after `release` is notified. It begins the response
/// to a GET at once.
fn released_by(release: &Arc<Notify>) -> Script {
    let release = Arc::clone(release);
    Arc::new(move |seen| {
        let head =
            "HTTP/1.1 200 OK\r\ncitron-request-id: {id}\r\ntransfer-encoding: chunked\r\n\r\n";
        let (first, rest) = ("3\r\nabc\r\n", "3\r\ndef\r\n0\r\n\r\n");
        let wait = Action::Wait(Arc::clone(&release));
        if seen.line.starts_with("GET") {
            vec![Action::Write(format!("{head}{first}")), wait, Action::Write(rest.to_owned())]
        } else {
            vec![wait, Action::Write(format!("{head}{first}{rest}"))]
        }
    })
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_shutdown_cuts_no_response_in_flight() {
    let release = Arc::new(Notify::new());
    let mut process = Process::start(released_by(&release), "200").await;
    let mut streams = [
        process.start_request(GET).await,
        process.start_request(POST).await,
        process.start_request(GET).await,
    ];
    process.terminate();
    wait_for(|| process.refuses_connections()).await;
    process.assert_keeps_running().await;
    for _ in 0..streams.len() {
        release.notify_one();
    }
    for stream in &mut streams {
        let reply = read_response(stream, false).await;
        assert_eq!((reply.status, reply.outcome(), reply.complete), (200, "answered", true));
        assert_eq!(reply.text(), "abcdef");
    }
    assert_eq!(process.wait_for_exit().await, Some(0));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn it_announces_its_shutdown_and_accepts_requests_during_the_notice_period() {
    let script: Script = Arc::new(|_| vec![support::respond("200 OK", "", "fine")]);
    let mut process = Process::start(script, "60000").await;
    process.terminate();
    let leaving = |report: &citron_wire::Report| matches!(&report.body, Some(citron_wire::report::Body::Progress(p)) if p.leaving);
    wait_for(|| async { process.agent.reports().iter().any(leaving) }).await;
    let reply = Caller::new(process.addr).call(GET.as_bytes()).await;
    assert_eq!((reply.status, reply.header("connection")), (200, Some("close")), "{reply:?}");
    assert!(process.child.try_wait().expect("wait").is_none(), "it must accept for the notice");
    process.child.kill().expect("kill");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_agent_can_start_the_shutdown() {
    let script: Script = Arc::new(|_| vec![support::respond("200 OK", "", "fine")]);
    let mut process = Process::start(script, "50").await;
    process.agent.send(citron_wire::update::Body::Leave(citron_wire::Leave {}));
    assert_eq!(process.wait_for_exit().await, Some(0));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_idle_connection_does_not_delay_the_shutdown() {
    let script: Script = Arc::new(|_| vec![support::respond("200 OK", "", "fine")]);
    let mut process = Process::start(script, "50").await;
    let mut idle = process.start_request(GET).await;
    assert_eq!(read_response(&mut idle, false).await.status, 200);
    process.terminate();
    assert_eq!(process.wait_for_exit().await, Some(0));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_that_read_slowly_get_complete_responses() {
    // Response sizes that fill the buffers of socket and HTTP server to different levels.
    const CALLERS: usize = 24;
    const STEP: usize = 300_000;
    let large: Script = Arc::new(|seen| {
        let size: usize = seen.header("x-size").expect("a size").parse().expect("a size");
        vec![support::respond("200 OK", "", &"x".repeat(size))]
    });
    let mut process = Process::start(large, "0").await;
    process.set_slots(CALLERS as u32).await;
    let mut streams = Vec::new();
    for i in 1..=CALLERS {
        let request = GET.replace("host: x", &format!("host: x\r\nx-size: {}", i * STEP));
        streams.push(process.start_request(&request).await);
    }
    process.terminate();
    wait_for(|| process.refuses_connections()).await;
    // Reads the largest responses first, until the rest are entirely in the buffers.
    while process.status().await["in_flight"] != 0 {
        let mut stream = streams.pop().expect("requests in flight have callers");
        assert!(read_response(&mut stream, false).await.complete);
    }
    process.assert_keeps_running().await;
    assert!(!streams.is_empty(), "answers must be left in the buffers");
    for stream in &mut streams {
        let reply = read_response(stream, false).await;
        assert!(reply.complete, "{} bytes", reply.body.len());
    }
    assert_eq!(process.wait_for_exit().await, Some(0));
}
