//! Tests of the client against a server that sends scripted answers.
mod append;
mod read;

use std::time::Duration;

use hitch_log::Client;
use hitch_log::Options;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// Starts a server that sends one of `answers` on each connection and then closes it, and returns a client of it. For
/// the answer `hold` it sends nothing for 2 s.
pub async fn client_of_scripted_server(answers: Vec<String>) -> Client {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    tokio::spawn(async move {
        for answer in answers {
            let (mut socket, _) = listener.accept().await.unwrap();
            let mut buf = [0; 4096];
            let n = socket.read(&mut buf).await.unwrap();
            assert!(
                n > 0,
                "the client closed the connection before it sent a request"
            );
            if answer == "hold" {
                tokio::time::sleep(Duration::from_secs(2)).await;
                continue;
            }
            socket.write_all(answer.as_bytes()).await.unwrap();
        }
    });
    let options = Options {
        timeout: Duration::from_millis(300),
        ..Options::default()
    };
    Client::at(&url, options).unwrap()
}

/// Formats an HTTP answer with a status and a body.
pub fn answer(status: u16, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status} X\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}")
}
