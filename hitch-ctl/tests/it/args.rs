//! Tests of the parsing of the command line.

use std::time::Duration;

use assert_matches::assert_matches;
use hitch_ctl::args::Command;
use hitch_ctl::args::Format;
use hitch_ctl::args::Wait;
use hitch_ctl::args::parse;

/// Guards against global options that are accepted only before the command.
#[test]
fn global_options_may_follow_the_command() {
    let args = parse(&[
        "status",
        "--node",
        "127.0.0.1:1",
        "--format",
        "json",
        "--node",
        "127.0.0.1:2",
    ])
    .unwrap();
    assert_eq!(args.format, Format::Json);
    let ports: Vec<_> = args.node.iter().map(|n| n.port()).collect();
    assert_eq!(ports, [1, 2]);
}

/// Guards against a bare `--wait` that consumes the next option or the file as its value.
#[test]
fn wait_accepts_a_number_or_no_value() {
    let cases: [(&[&str], Option<Wait>); 4] = [
        (&["publish", "a.yaml"], None),
        (&["publish", "a.yaml", "--wait"], Some(Wait::LandsWithin)),
        (&["publish", "--wait", "a.yaml"], Some(Wait::LandsWithin)),
        (
            &["publish", "--wait", "7", "a.yaml"],
            Some(Wait::For(Duration::from_secs(7))),
        ),
    ];
    for (arguments, expected) in cases {
        let args = parse(arguments).unwrap();
        assert_matches!(&args.command, Command::Publish(cmd) => {
            assert_eq!((cmd.wait, &*cmd.file), (expected, "a.yaml"), "{arguments:?}");
        });
    }
}

/// Guards against exit codes that are missing from the help text.
#[test]
fn help_lists_every_exit_code() {
    let help = parse(&["--help"]).unwrap_err();
    assert!(help.status.is_ok());
    for code in 0..=6 {
        let line = format!("\n  {code} ");
        assert!(help.output.contains(&line), "{}", help.output);
    }
}
