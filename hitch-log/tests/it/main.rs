//! Tests of the client against a server with scripted answers.
mod append;
mod read;

use std::time::Duration;

use hitch_log::Client;
use hitch_log::Options;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// Serves each connection with one scripted answer and then closes it.
pub async fn scripted(answers: Vec<String>) -> Client {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    tokio::spawn(async move {
        for answer in answers {
            let (mut socket, _) = listener.accept().await.unwrap();
            let mut buf = [0; 4096];
            let n = socket.read(&mut buf).await.unwrap();
            assert!(n > 0, "the client closed the connection before its request");
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

/// Formats an answer with a status and a JSON body.
pub fn answer(status: u16, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status} X\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}")
}
