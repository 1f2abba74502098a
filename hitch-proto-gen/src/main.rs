//! Generates the Rust code of `hitch-proto` from its protocol buffer definitions, without `protoc`.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

use std::path::PathBuf;

use argh::FromArgs;
use snafu::ResultExt;
use snafu::Whatever;

/// Generate the Rust code of the protocol between nodes.
#[derive(FromArgs)]
struct Args {
    /// directory that holds peer.proto
    #[argh(option, default = "PathBuf::from(\"hitch-proto/proto\")")]
    proto: PathBuf,
    /// directory to write the generated code to
    #[argh(option, default = "PathBuf::from(\"hitch-proto/src/generated\")")]
    out: PathBuf,
}

#[snafu::report]
fn main() -> Result<(), Whatever> {
    let args: Args = argh::from_env();
    std::fs::create_dir_all(&args.out).with_whatever_context(|_| {
        format!("cannot create the output directory {}", args.out.display())
    })?;
    let descriptors = protox::compile(["peer.proto"], [&args.proto])
        .with_whatever_context(|_| format!("cannot compile {}/peer.proto", args.proto.display()))?;
    tonic_prost_build::configure()
        .out_dir(&args.out)
        .btree_map(".")
        .bytes(".hitch.peer.v1.CallRequest.body")
        .bytes(".hitch.peer.v1.CallReply.body")
        .bytes(".hitch.peer.v1.Record.data")
        .compile_fds(descriptors)
        .whatever_context("cannot generate Rust code from peer.proto")
}
