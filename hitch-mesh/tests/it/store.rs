//! Tests of what nodes ask of the store.

use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::BytesMut;
use hitch_mesh::frame;
use hitch_mesh::frame::Kind;
use hitch_mesh::frame::Member;
use hitch_mesh::frame::Members;
use hitch_mesh::store::Record;
use hitch_mesh::store::Topic;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::fleet;
use crate::fleet::MemoryStore;
use crate::fleet::Node;
use crate::fleet::await_until;
use crate::fleet::unique_ip;

/// Guards against a write of every node at every restart: the store charges for each.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn node_writes_its_record_only_if_it_is_not_listed() {
    let memory = MemoryStore::default();
    memory.publish(1);
    let listed = unique_ip();
    memory.add_member(&fleet::member(listed, "a"));
    let restarted = Node::start_at(listed, &memory, "a", false).await;
    await_until(|| restarted.mesh.is_ready()).await;
    await_until(|| memory.count("newest", Topic::Members) == 1).await;
    let new = Node::start_at(unique_ip(), &memory, "a", false).await;
    // Its list is read once more after its record was written.
    await_until(|| memory.count("newest", Topic::Members) == 3).await;
    assert_eq!(memory.count("put", Topic::Members), 1);
    await_until(|| restarted.mesh.connected_peers() == 1 && new.mesh.connected_peers() == 1).await;
}

/// Guards against a read of the configuration by every node when all start for the first time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn only_readers_read_the_first_configuration() {
    let memory = MemoryStore::default();
    let mut nodes = Vec::new();
    for i in 0..12 {
        let zone = ["a", "b", "c"][i % 3];
        nodes.push(Node::start_at(unique_ip(), &memory, zone, true).await);
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    memory.publish(1);
    for node in &nodes {
        await_until(|| node.mesh.is_ready()).await;
    }
    // One reader a zone, and at most one more for each that was chosen before the list of members was complete.
    let reads = memory.count("newest", Topic::Config);
    assert!((3..=6).contains(&reads), "{reads} reads");
    memory.publish(2);
    for node in &nodes {
        await_until(|| node.mesh.version() == 2).await;
    }
}

/// Guards against calls of every node to a store that answers nobody.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn few_nodes_ask_a_store_that_is_down() {
    let (memory, nodes) = fleet::fleet(&["a"; 10]).await;
    memory.is_down.store(true, Ordering::Relaxed);
    // Ends the reads in flight.
    memory.publish(2);
    tokio::time::sleep(Duration::from_secs(1)).await;
    memory.operations.lock().unwrap().clear();
    tokio::time::sleep(Duration::from_secs(4)).await;
    let calls = memory.operations.lock().unwrap().len();
    // Six nodes at most, each about every second and a half.
    assert!((1..=6 * 5).contains(&calls), "{calls} calls in 4 s");
    memory.is_down.store(false, Ordering::Relaxed);
    memory.publish(3);
    for node in &nodes {
        await_until(|| node.mesh.version() == 3).await;
    }
}

/// Guards against a backend server that gets no calls until its next report, because its first one arrived before the
/// node had a configuration: after a power loss of all nodes that is 1.5 s without service.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn backend_server_that_reported_before_the_configuration_gets_calls_at_once() {
    let memory = MemoryStore::default();
    let node = Node::start_at(unique_ip(), &memory, "a", false).await;
    await_until(|| memory.count("newest", Topic::Config) > 0).await;
    node.report(1, false);
    memory.publish(1);
    await_until(|| node.mesh.is_ready()).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    let (status, _) = node.call("GET", "/read/7", "r-1").await.unwrap();
    assert_eq!(status, 200);
}

/// Guards against readers that wait for a read which the store lost in an outage, while it answers again: versions must
/// come into force within 2 s once the store has been stable for 3 s.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn version_after_a_silent_outage_comes_into_force() {
    let (memory, nodes) = fleet::fleet(&["a", "a", "b", "b", "c", "c"]).await;
    memory.loses_reads.store(true, Ordering::Relaxed);
    // Ends the reads in flight; those that follow are lost.
    memory.publish(2);
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    memory.loses_reads.store(false, Ordering::Relaxed);
    let restored = std::time::Instant::now();
    memory.publish(3);
    for node in &nodes {
        await_until(|| node.mesh.version() == 3).await;
    }
    let took = restored.elapsed();
    assert!(took < Duration::from_secs(5), "{took:?}");
}

/// Guards against a zone that nobody reads the store for, since a node waits for members that are listed but gone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn node_reads_the_store_after_listed_members_were_found_gone() {
    let memory = MemoryStore::default();
    memory.publish(1);
    // With 30 of them, one is almost certainly ahead of the node in the ring of the zone.
    for _ in 0..30 {
        memory.add_member(&fleet::member(unique_ip(), "a"));
    }
    let node = Node::start_at(unique_ip(), &memory, "a", false).await;
    await_until(|| node.mesh.version() == 1).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    memory.publish(2);
    let start = std::time::Instant::now();
    await_until(|| node.mesh.version() == 2).await;
    assert!(start.elapsed() < Duration::from_secs(2));
}

/// Asks a node for its list of members, as a peer does.
async fn members_known_to(node: &Node) -> Vec<Member> {
    let mut buf = BytesMut::new();
    frame::encode(Kind::Members(Members::default()), &mut buf);
    let mut stream = TcpStream::connect(node.mesh.settings.peers).await.unwrap();
    stream.write_all(&buf).await.unwrap();
    buf.clear();
    loop {
        stream.read_buf(&mut buf).await.unwrap();
        while let Some(frame) = frame::try_decode(&mut buf).unwrap() {
            if let Some(Kind::Members(members)) = frame.kind {
                return members.members;
            }
        }
    }
}

/// Guards against entries of another writer that end a node or keep it from following the others.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn odd_entries_do_not_keep_a_node_from_the_others() {
    let memory = MemoryStore::default();
    memory.publish(1);
    for address in ["10.0.0.2:65536", "10.0.0.2:0", "node-2:7600", ""] {
        memory.add_member(&Member {
            address: address.into(),
            incarnation: u64::MAX,
            admin_port: u32::MAX,
            ..fleet::member(unique_ip(), "a")
        });
    }
    let group_start = 0x0b;
    for (key, value) in [
        ("deep", vec![group_start; 100_000]),
        ("cut", vec![0x0a, 0xff]),
    ] {
        let value = Some(value.into());
        let record = Record {
            key: key.into(),
            value,
        };
        memory.append(Topic::Members, record);
    }
    let mut nodes = Vec::new();
    for _ in 0..2 {
        nodes.push(Node::start_at(unique_ip(), &memory, "a", true).await);
    }
    for node in &nodes {
        await_until(|| node.mesh.is_ready() && node.mesh.connected_peers() == 1).await;
        for member in members_known_to(node).await {
            assert!(member.has_usable_address(), "{member:?}");
        }
    }
}
