//! Tests of complete commands.

use std::path::PathBuf;

use hitch_ctl::args::parse;
use serde_json::Value;
use serde_json::json;

use crate::Log;
use crate::contract;
use crate::node::FakeNode;

/// Runs a command and returns its exit code, standard output and standard error.
async fn hitch(args: &[&str]) -> (u8, String, String) {
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = hitch_ctl::run(parse(args).unwrap(), &mut out, &mut err).await;
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (exit.code(), text(out), text(err))
}

/// Writes a file into the temporary directory of the tests and returns its path.
fn file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path.to_str().unwrap().to_owned()
}

/// Guards against problems that are missing from the JSON output, and against publishing an invalid contract.
#[tokio::test]
async fn invalid_contract_is_refused_before_the_log_is_contacted() {
    let bad = file("bad.yaml", &contract("a", 0));
    for command in ["validate", "publish", "amend", "diff"] {
        let (code, out, _) = hitch(&[command, &bad, "--format", "json"]).await;
        let out: Value = serde_json::from_str(&out).unwrap();
        assert_eq!((code, &out["valid"]), (1, &json!(false)), "{command}");
        assert_eq!(out["problems"][0]["field"], "services.slots");
    }
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../examples/tbilisi.yaml");
    assert_eq!(hitch(&["validate", example]).await.0, 0);
}

/// Guards against an amendment that is not based on the version that the nodes know, and against a
/// conflict that is not reported.
#[tokio::test]
async fn contract_is_published_amended_and_compared() {
    let log = Log::start().await;
    let (old, new) = (contract("a", 2), contract("a", 3));
    let (old_file, new_file) = (file("old.yaml", &old), file("new.yaml", &new));
    let (code, out, err) = hitch(&["publish", &old_file, "--log", &log.url]).await;
    assert_eq!(code, 0, "{err}");
    assert!(out.contains("accepted as version 1"), "{out}");
    let node = FakeNode::start("i-1", 1, "").await;
    node.set(
        "contracts",
        json!([{ "customer": "a", "version": 1, "text": old }]),
    );
    let admin = node.admin.to_string();
    let (code, out, _) = hitch(&["diff", &new_file, "--node", &admin]).await;
    assert_eq!(code, 0);
    assert!(out.contains("~ services.a.slots: 2 -> 3"), "{out}");
    let amend = ["amend", &new_file, "--log", &log.url, "--node", &admin];
    let (code, out, _) = hitch(&amend).await;
    assert_eq!(code, 0);
    assert!(out.contains("based on 1): accepted as version 2"), "{out}");
    let (code, out, _) = hitch(&amend).await;
    assert_eq!(code, 3, "{out}");
    let (code, out, _) = hitch(&["publish", &new_file, "--log", &log.url]).await;
    assert_eq!(code, 3, "{out}");
    let (code, out, _) = hitch(&["history", "--log", &log.url, "--customer", "a"]).await;
    assert_eq!((code, out.lines().count()), (0, 4), "{out}");
}

/// Guards against a success exit code for a version that is accepted but not in force.
#[tokio::test]
async fn expired_wait_has_its_own_exit_code() {
    let log = Log::start().await;
    let node = FakeNode::start("i-1", 0, "").await;
    let admin = node.admin.to_string();
    let path = file("wait.yaml", &contract("w", 2));
    let base = ["publish", &path, "--log", &log.url];
    let (code, _, err) = hitch(&[&base[..], &["--wait"]].concat()).await;
    assert_eq!(code, 2, "{err}");
    assert_eq!(log.config_records().await, 0);
    let wait = ["--node", &admin, "--wait", "0", "--format", "json"];
    let (code, out, _) = hitch(&[&base[..], &wait].concat()).await;
    let out: Value = serde_json::from_str(&out).unwrap();
    assert_eq!((code, &out["result"]), (5, &json!("accepted")));
    assert_eq!(out["progress"]["laggards"][0]["instance"], "i-1");
    node.set("version_in_force", json!(1));
    let id = out["change_id"].as_str().unwrap();
    let (code, ..) = hitch(&[&base[..], &wait, &["--change-id", id]].concat()).await;
    assert_eq!(code, 0);
}

const FIRST: &str = r#"{"stamp":{"wall_ms":5,"logical":0},"instance":"i-1","kind":"accepted","version":3,"text":"cause"}
{"stamp":{"wall_ms":7,"logical":0},"instance":"i-1","kind":"ready","version":4,"text":"other"}
not an event
"#;
const SECOND: &str = r#"{"stamp":{"wall_ms":5,"logical":1},"instance":"i-2","kind":"in-force","version":3,"text":"effect"}
"#;

/// Guards against a timeline that lacks the events of a node that only another node lists, or that
/// shows an effect before its cause.
#[tokio::test]
async fn timeline_and_status_cover_all_known_nodes() {
    let seed = FakeNode::start("i-1", 4, FIRST).await;
    let other = FakeNode::start("i-2", 3, SECOND).await;
    seed.set("members", json!([other.as_member("ready")]));
    let admin = seed.admin.to_string();
    let (code, out, err) = hitch(&["timeline", "--node", &admin, "--version", "3"]).await;
    let texts: Vec<_> = out
        .lines()
        .filter_map(|line| line.rsplit(": ").next())
        .collect();
    assert_eq!((code, texts), (0, vec!["cause", "effect"]), "{out}");
    assert!(err.contains("1 events could not be decoded"), "{err}");
    let (code, out, _) = hitch(&["status", "--node", &admin, "--format", "json"]).await;
    let out: Value = serde_json::from_str(&out).unwrap();
    assert_eq!((code, &out["nodes"][1]["version_in_force"]), (0, &json!(3)));
    let (code, _, err) = hitch(&["status", "--node", "127.0.0.1:1"]).await;
    assert_eq!(code, 6);
    assert!(err.contains("read status of 127.0.0.1:1"), "{err}");
}
