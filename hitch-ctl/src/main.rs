//! Entry point of the command-line tool `hitch`.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

use std::process::ExitCode;

use hitch_ctl::Exit;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let strings: Vec<String> = std::env::args_os()
        .skip(1)
        .map(|arg| arg.to_string_lossy().into_owned())
        .collect();
    let strings: Vec<&str> = strings.iter().map(String::as_str).collect();
    let args = match hitch_ctl::args::parse(&strings) {
        Ok(args) => args,
        Err(early) if early.status.is_ok() => {
            println!("{}", early.output);
            return Exit::Done.into();
        }
        Err(early) => {
            eprintln!("{}\nRun hitch --help for more information.", early.output);
            return Exit::Usage.into();
        }
    };
    hitch_ctl::run(args, &mut std::io::stdout(), &mut std::io::stderr())
        .await
        .into()
}
