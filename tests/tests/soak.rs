//! A short soak test of the gateway with a fixed seed; `citron-stand soak` runs longer ones.

use std::{path::Path, time::Duration};

use citron_stand::soak::{self, Settings};

/// Seeds that once failed are run by hand; docs/proofs/soak.md lists them with their causes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_short_soak_finds_no_violation() -> eyre::Result<()> {
    let settings = Settings {
        seed: 1,
        length: Duration::from_secs(12),
        gateways: 4,
        targets: 16,
        callers: 12,
        folder: Path::new(env!("CARGO_TARGET_TMPDIR")).join("soak"),
    };
    let report = soak::run(&settings).await?;
    assert!(report.findings.is_empty(), "{report}: {:#?}", report.findings);
    report.clean();
    Ok(())
}
