//! Generates the Rust code of `hitch-proto` without `protoc`.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

use std::path::PathBuf;

use argh::FromArgs;
use snafu::ResultExt;
use snafu::Whatever;

/// Generate the Rust code of the peer protocol.
#[derive(FromArgs)]
struct Args {
    /// folder that holds peer.proto
    #[argh(option, default = "PathBuf::from(\"hitch-proto/proto\")")]
    proto: PathBuf,
    /// folder to write the code to
    #[argh(option, default = "PathBuf::from(\"hitch-proto/src/generated\")")]
    out: PathBuf,
}

#[snafu::report]
fn main() -> Result<(), Whatever> {
    let args: Args = argh::from_env();
    std::fs::create_dir_all(&args.out)
        .with_whatever_context(|_| format!("cannot create {}", args.out.display()))?;
    let set = protox::compile(["peer.proto"], [&args.proto])
        .with_whatever_context(|_| format!("cannot compile {}/peer.proto", args.proto.display()))?;
    tonic_prost_build::configure()
        .out_dir(&args.out)
        .btree_map(".")
        .bytes(".hitch.peer.v1.CallRequest.body")
        .bytes(".hitch.peer.v1.CallReply.body")
        .bytes(".hitch.peer.v1.Record.data")
        .compile_fds(set)
        .whatever_context("cannot generate code from the protocol")
}
