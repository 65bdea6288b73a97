//! `citron-stand relay`: a relay in one process.

use std::{net::SocketAddr, process::ExitCode, sync::Arc};

use citron::event::Kind;
use citron_daemon::{
    Clock, Recorder, bind_admin, init_log,
    setting::{self, Spec, Values},
};
use eyre::WrapErr;
use prometheus::Registry;
use rocket::{State, http::Status, post, routes, serde::json::Json};
use serde_json::json;

use super::{LOG, block_on, read, stopped};
use crate::relay::{self, Cut, Relay};

const PROGRAM: &str = "citron-stand relay";

const SPECS: &[Spec] = &[
    Spec {
        flag: "listen",
        variable: "CITRON_STAND_LISTEN",
        default: None,
        help: "address to relay from, TCP and UDP",
        valid: "an IP address and port; port 0 picks a free one",
    },
    Spec {
        flag: "to",
        variable: "CITRON_STAND_TO",
        default: None,
        help: "address to relay to",
        valid: "an IP address and port",
    },
    Spec {
        flag: "admin",
        variable: "CITRON_STAND_ADMIN",
        default: Some("127.0.0.1:0"),
        help: "address of the switch, metrics and events",
        valid: "an IP address and port; port 0 picks a free one",
    },
    LOG,
];

struct Settings {
    listen: SocketAddr,
    to: SocketAddr,
    admin: SocketAddr,
}

/// Runs a relay until the process is asked to stop; the words are the arguments after `relay`.
///
/// # Errors
/// Fails on a bad setting or if an address cannot be bound.
pub fn run(words: &[String]) -> eyre::Result<ExitCode> {
    let Some(values) =
        read(PROGRAM, "a relay whose directions can be cut, for tests", SPECS, words)?
    else {
        return Ok(ExitCode::SUCCESS);
    };
    let settings = parse(&values)?;
    init_log(values.get("log")?, "relay", "citron-stand", Clock::start())?;
    block_on(serve(settings))?;
    Ok(ExitCode::SUCCESS)
}

async fn serve(settings: Settings) -> eyre::Result<()> {
    let relay = relay::bind(settings.listen, settings.to).await.wrap_err_with(|| {
        format!("cannot listen on {}; choose a free address of this host", settings.listen)
    })?;
    let relay = Arc::new(relay);
    let listen = relay.addr();
    let recorder =
        Recorder::open(&format!("relay-{}", listen.port()), "citron-stand", Clock::start());
    let status = move || json!({"program": "citron-stand", "listen": listen, "to": settings.to});
    let admin = bind_admin(settings.admin, Registry::new(), recorder, status, |rocket| {
        rocket.manage(relay).mount("/", routes![cut])
    })
    .await?;
    println!(
        "{}",
        json!({"ready": true, "program": PROGRAM, "listen": listen, "admin": admin.addr()})
    );
    stopped().await?;
    admin.stop().await;
    Ok(())
}

fn parse(values: &Values) -> Result<Settings, setting::Error> {
    Ok(Settings {
        listen: values.get("listen")?,
        to: values.get("to")?,
        admin: values.get("admin")?,
    })
}

#[post("/cut", data = "<cut>")]
fn cut(relay: &State<Arc<Relay>>, recorder: &State<Recorder>, cut: Json<Cut>) -> Status {
    let cut = cut.into_inner();
    relay.cut(cut);
    let fields = [
        ("to_server", cut.to_server.to_string()),
        ("to_client", cut.to_client.to_string()),
        ("existing_only", cut.existing_only.to_string()),
    ];
    let fields: Vec<(&str, &str)> = fields.iter().map(|(k, v)| (*k, v.as_str())).collect();
    recorder.record(Kind::FaultSet, "relay", &fields);
    Status::Ok
}
