//! What passes through a proxy unchanged.

mod support;

use std::sync::Arc;

use support::{Act, Rig, Seen, answer};

/// Sends one request, whose target gives one answer, and returns both as they arrived.
async fn pass(request: &str, acts: Vec<Act>) -> (Seen, support::Reply) {
    let rig = Rig::start(vec![Arc::new(move |_| acts.clone())]).await;
    let reply = rig.call(request).await;
    let seen = rig.seen();
    assert_eq!(seen.len(), 1, "one request must reach the target; the caller got {reply:?}");
    (seen[0].clone(), reply)
}

macro_rules! method {
    ($name:ident, $method:literal) => {
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let request = concat!(
                $method,
                " /lots/1 HTTP/1.1\r\nhost: x\r\ncitron-customer: roaster\r\ncontent-length: 0\r\n\r\n"
            );
            let (seen, reply) = pass(request, vec![answer("200 OK", "", "")]).await;
            assert_eq!(seen.line, concat!($method, " /lots/1 HTTP/1.1"));
            assert_eq!((reply.status, reply.outcome()), (200, "answered"));
        }
    };
}

method!(get_passes, "GET");
method!(post_passes, "POST");
method!(put_passes, "PUT");
method!(delete_passes, "DELETE");
method!(options_passes, "OPTIONS");
method!(head_passes, "HEAD");
method!(trace_passes, "TRACE");
method!(patch_passes, "PATCH");
