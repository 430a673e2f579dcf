//! Generates `crates/wire/src/gen` from the `.proto` files in `proto`.
//!
//! Run from the repository root: `cargo run --manifest-path tools/wire-gen/Cargo.toml`.

const PROTO_FILES: [&str; 6] = [
    "agent.proto",
    "control.proto",
    "fleet.proto",
    "operator.proto",
    "peer.proto",
    "record.proto",
];

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let descriptors = protox::compile(PROTO_FILES, ["proto"])?;
    tonic_prost_build::configure()
        .out_dir("crates/wire/src/gen")
        .bytes(".")
        .emit_rerun_if_changed(false)
        .compile_fds(descriptors)?;
    Ok(())
}
