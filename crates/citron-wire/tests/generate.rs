//! Checks that the committed code matches the schema.

use std::{fs, path::Path};

/// Regenerates the code; with `CITRON_REGENERATE=1` the committed file is replaced instead of compared.
#[test]
fn generated_code_is_current() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let descriptors = protox::compile(["citron.proto"], [root.join("proto")]).unwrap();
    let out = tempfile::tempdir().unwrap();
    tonic_prost_build::configure()
        .out_dir(out.path())
        .emit_rerun_if_changed(false)
        .compile_fds(descriptors)
        .unwrap();
    let fresh = fs::read_to_string(out.path().join("citron.v1.rs")).unwrap();
    let committed = root.join("src/generated.rs");
    if std::env::var_os("CITRON_REGENERATE").is_some() {
        fs::write(&committed, &fresh).unwrap();
    }
    assert!(
        fs::read_to_string(&committed).unwrap() == fresh,
        "src/generated.rs is stale: run CITRON_REGENERATE=1 cargo test -p citron-wire"
    );
}
