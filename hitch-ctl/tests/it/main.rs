//! Integration tests of the command-line tool against the log stand-in and fake nodes.
mod args;
mod explain;
mod node;
mod publish;
mod replay;
mod run;
mod wait;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hitch_config::Change;
use hitch_ctl::publish::Options;
use hitch_log::Client;
use hitch_standin_log::Control;
use hitch_standin_log::Handle;
use hitch_standin_log::Settings;
use hitch_standin_log::serve;
use uuid::Uuid;

/// A running log stand-in and a client for it.
pub(crate) struct Log {
    pub(crate) url: String,
    pub(crate) handle: Handle,
    pub(crate) client: Client,
}

impl Log {
    pub(crate) async fn start() -> Log {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let url = format!("http://{}", listener.local_addr().unwrap());
        let handle = Handle::new(Settings::default());
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        tokio::spawn(serve(listener, handle.clone(), logger));
        let options = hitch_log::Options {
            timeout: Duration::from_millis(300),
            ..hitch_log::Options::default()
        };
        let client = Client::at(&url, options).unwrap();
        Log {
            url,
            handle,
            client,
        }
    }

    pub(crate) fn control(&self, control: Control) {
        self.handle.control(&control);
    }

    pub(crate) fn append(&self, stream: &str, data: Vec<u8>) {
        self.handle.append_now(stream, Bytes::from(data)).unwrap();
    }

    /// Returns the number of records in the stream `config`.
    pub(crate) async fn config_records(&self) -> u64 {
        let page = self.client.read("config", 0, 1000, Duration::ZERO).await;
        page.unwrap().records.len() as u64
    }
}

/// Returns the text of a contract with one service, which has the name of the customer.
pub(crate) fn contract(customer: &str, slots: u32) -> String {
    format!(
        "customer: {customer}\nlands_within: 10s\n\
         ranks: [{{ name: fee, target_latency: 1s, worth: 1, share: 5%, admit: 1/s }}]\n\
         services: [{{ name: {customer}, slots: {slots}, connections: 64 }}]\nroutes: []\n"
    )
}

/// Returns a change by the operator `o-{id}`.
pub(crate) fn change(id: u128, customer: &str, based_on: u64, slots: u32) -> Change {
    Change {
        change_id: Uuid::from_u128(id),
        customer: customer.into(),
        based_on,
        operator: format!("o-{id}").into(),
        contract: contract(customer, slots).into(),
    }
}

pub(crate) fn options(log_timeout_ms: u64, resume: bool) -> Options {
    Options {
        log_timeout: Duration::from_millis(log_timeout_ms),
        resume,
    }
}

/// Returns an address on which nothing listens.
pub(crate) fn unreachable_address() -> SocketAddr {
    "127.0.0.1:1".parse().unwrap()
}
