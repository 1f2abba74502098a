//! Tests of the connections that are watched for their end.

use std::time::Duration;

use futures::FutureExt;
use hitch_edge::watched::Watched;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

/// Guards against bytes that are lost or reordered because the watcher read them first.
#[tokio::test]
async fn bytes_read_ahead_reach_the_reader_in_order() {
    let (mut caller, stream) = tokio::io::duplex(64 * 1024);
    let (mut stream, watcher) = Watched::new(stream);
    caller.write_all(b"first ").await.unwrap();
    assert!(watcher.closed().now_or_never().is_none());
    caller.write_all(b"second").await.unwrap();
    assert!(watcher.closed().now_or_never().is_none());
    drop(caller);
    watcher.closed().await;
    let mut bytes = String::new();
    stream.read_to_string(&mut bytes).await.unwrap();
    assert_eq!(bytes, "first second");
}

/// Guards against a reader that is not woken for bytes that the watcher took.
#[tokio::test]
async fn reader_is_woken_for_bytes_read_ahead() {
    let (mut caller, stream) = tokio::io::duplex(64 * 1024);
    let (mut stream, watcher) = Watched::new(stream);
    let task = tokio::spawn(async move {
        let mut byte = [0];
        tokio::select! {
            biased;
            read = stream.read_exact(&mut byte) => read.map(|_| byte[0]).ok(),
            () = watcher.closed() => None,
        }
    });
    tokio::time::sleep(Duration::from_millis(50)).await;
    caller.write_all(b"x").await.unwrap();
    let read = tokio::time::timeout(Duration::from_secs(1), task).await;
    assert_eq!(read.unwrap().unwrap(), Some(b'x'));
}

/// Guards against a caller that fills the node's memory while its request is answered.
#[tokio::test]
async fn bytes_read_ahead_are_bounded() {
    const MAX_AHEAD: usize = 32 * 1024;
    let (mut caller, stream) = tokio::io::duplex(1024);
    let (_stream, watcher) = Watched::new(stream);
    let writing = caller.write_all(&[0; 4 * MAX_AHEAD]);
    tokio::select! {
        _ = writing => panic!("all bytes were read ahead"),
        () = watcher.closed() => panic!("the connection is open"),
        () = tokio::time::sleep(Duration::from_millis(100)) => {}
    }
    let (mut caller, stream) = tokio::io::duplex(4 * MAX_AHEAD);
    caller.write_all(&[0; 4 * MAX_AHEAD]).await.unwrap();
    let (mut stream, watcher) = Watched::new(stream);
    assert!(watcher.closed().now_or_never().is_none());
    let mut buf = vec![0; 4 * MAX_AHEAD];
    let ahead = stream.read(&mut buf).await.unwrap();
    assert!((1..=MAX_AHEAD).contains(&ahead), "{ahead} bytes");
}
