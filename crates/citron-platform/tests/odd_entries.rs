//! Entries of the host list that cannot be read hide no others.

use std::time::Duration;

use citron_platform::Client;
use citron_stand::canned;

const GOOD: &str = r#"{"name":"good","role":"target","domain":"a","state":"live","address":"127.0.0.1:80","service":"desk"}"#;

#[tokio::test]
async fn an_odd_entry_hides_no_other() {
    for (name, odd) in canned::odd_values() {
        let field =
            |before: &str, after: &str| [before.as_bytes(), &odd, after.as_bytes()].concat();
        let entries = [
            odd.clone(),
            field(r#"{"name":"#, r#","role":"target","domain":"a","state":"live"}"#),
            field(r#"{"name":"odd","role":"target","domain":"a","state":"live","slots":"#, "}"),
        ];
        for (place, entry) in entries.iter().enumerate() {
            let body: [&[u8]; 5] =
                [br#"{"version":3,"hosts":["#, entry, b",", GOOD.as_bytes(), b"]}"];
            let server = canned::bind(body.concat()).await.expect("a port");
            let url = format!("http://{}", server.addr());
            let client = Client::open(&url, Duration::from_secs(2)).expect("a client");
            let hosts = client.hosts().await;
            let hosts = hosts.unwrap_or_else(|error| panic!("{name} at {place}: {error}"));
            assert_eq!(hosts.version, 3);
            assert!(hosts.hosts.iter().any(|host| host.name == "good"), "{name} at {place}");
        }
    }
}
