//! Options of connections between nodes and of callers.

use std::io;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// Silence after which the kernel probes a connection, and time between two probes. A connection can fall silent for
/// good without a reset; probes find it without any message of the node's own.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Unanswered probes after which a connection is taken for dead.
const KEEPALIVE_PROBES: u32 = 2;
/// Longest time that sent bytes may stay unacknowledged before a connection is taken for dead. It is below the 2 s
/// within which a leaving backend server must get no more calls, and above a retransmission over a link that loses
/// packets.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Sets the options of a connection between two nodes.
pub(crate) fn set_up_peer(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_IDLE)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
