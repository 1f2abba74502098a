//! Limits derived from the memory and the descriptors of the machine.

/// Memory of the process without callers, in bytes: 11 MB were measured at rest, and the rest is for its tables, its
/// links and what the allocator does not give back.
const PROCESS_BYTES: u64 = 24 * 1024 * 1024;
/// Part of the memory that the connections of callers may take besides their bodies.
const CONNECTION_SHARE: u64 = 4;
/// Memory that a connection may take besides its bodies, in bytes: a request head of 16 KiB, the buffers of the HTTP
/// library around it, and what is read ahead.
const CONNECTION_BYTES: u64 = 48 * 1024;
/// Part of the account that only short requests may use.
const RESERVE_SHARE: u64 = 8;
/// Part of the sockets that is kept for links to other nodes, the store and the backend server.
const SOCKET_RESERVE_SHARE: u64 = 4;
/// Least account, in bytes, on a machine whose memory is hardly enough for the process itself.
const MIN_ACCOUNT_BYTES: u64 = 4 * 1024 * 1024;
/// Fewest connections of callers on any machine.
const MIN_CONNECTIONS: u64 = 16;

/// Limits of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Memory that is held for others at most, in bytes.
    pub account_bytes: u64,
    /// Part of it that only short requests may use, in bytes.
    pub reserve_bytes: u64,
    /// Connections of callers that are open at the same time at most.
    pub connections: usize,
}

impl Limits {
    /// Derives the limits. `None` means that the machine does not limit the memory or the sockets.
    ///
    /// ```
    /// let limits = hitch_bound::Limits::derive(Some(160 * 1024 * 1024), Some(3_900));
    /// assert_eq!((limits.account_bytes >> 20, limits.connections), (96, 853));
    /// ```
    pub fn derive(memory_bytes: Option<u64>, sockets: Option<u64>) -> Limits {
        let by_sockets =
            sockets.map_or(u64::MAX, |sockets| sockets - sockets / SOCKET_RESERVE_SHARE);
        let (by_memory, account_bytes) = match memory_bytes {
            None => (u64::MAX, u64::MAX),
            Some(bytes) => {
                let for_connections = bytes / CONNECTION_SHARE;
                let left = bytes.saturating_sub(PROCESS_BYTES + for_connections);
                (
                    for_connections / CONNECTION_BYTES,
                    left.max(MIN_ACCOUNT_BYTES),
                )
            }
        };
        let connections = by_sockets.min(by_memory).max(MIN_CONNECTIONS);
        Limits {
            account_bytes,
            reserve_bytes: account_bytes / RESERVE_SHARE,
            connections: usize::try_from(connections).unwrap_or(usize::MAX),
        }
    }
}
