//! Socket options of connections between nodes.

use std::io;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// Idle time after which the kernel sends a keep-alive probe, and interval between probes. A connection can stop
/// working without a reset; probes detect this without any traffic of the node itself.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Unanswered probes after which the kernel closes a connection.
const KEEPALIVE_PROBES: u32 = 2;
/// Longest time that sent bytes may stay unacknowledged before the kernel closes a connection. It is below the 2 s
/// within which a draining backend server must stop getting calls, and above a retransmission over a link that loses
/// packets.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Sets the options of a connection between two nodes.
pub(crate) fn configure_peer_socket(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_IDLE)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}
