//! The listener for other nodes.

use std::sync::Arc;
use std::time::Duration;

use hitch_proto::peer::CallReply;
use hitch_proto::peer::CallRequest;
use hitch_proto::peer::ExchangeReply;
use hitch_proto::peer::ExchangeRequest;
use hitch_proto::peer::FetchOwnershipReply;
use hitch_proto::peer::FetchOwnershipRequest;
use hitch_proto::peer::FetchReply;
use hitch_proto::peer::FetchRequest;
use hitch_proto::peer::NotifyReply;
use hitch_proto::peer::NotifyRequest;
use hitch_proto::peer::ProbeReply;
use hitch_proto::peer::ProbeRequest;
use hitch_proto::peer::ShareReply;
use hitch_proto::peer::ShareRequest;
use hitch_proto::peer::SuspectReply;
use hitch_proto::peer::SuspectRequest;
use hitch_proto::peer::peer_server::Peer;
use hitch_proto::peer::peer_server::PeerServer;
use tokio::net::TcpListener;
use tokio::time::Instant;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;

use crate::call;
use crate::controller::exchange;
use crate::controller::ownership;
use crate::controller::share;
use crate::crash_suspects;
use crate::node::Node;
use crate::peers::MAX_MESSAGE_BYTES;
use crate::wire;

/// Timeout for probing a node on behalf of another one.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Serves other nodes until `stop` resolves, and then until the last call in flight is answered.
///
/// ```no_run
/// # async fn run(node: std::sync::Arc<hitch_node::Node>) -> Result<(), tonic::transport::Error> {
/// # let listener = tokio::net::TcpListener::bind("127.0.0.1:7102").await.unwrap();
/// hitch_node::listener::peer::serve(node, listener, std::future::pending()).await
/// # }
/// ```
pub async fn serve(
    node: Arc<Node>,
    listener: TcpListener,
    stop: impl Future<Output = ()>,
) -> Result<(), tonic::transport::Error> {
    let service = PeerServer::new(Service { node })
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    Server::builder()
        .add_service(service)
        .serve_with_incoming_shutdown(incoming, stop)
        .await
}

struct Service {
    node: Arc<Node>,
}

#[tonic::async_trait]
impl Peer for Service {
    async fn call(&self, req: Request<CallRequest>) -> Result<Response<CallReply>, Status> {
        let req = req.into_inner();
        wire::observe(&self.node.recorder, req.stamp);
        let deadline = Instant::now() + Duration::from_millis(req.deadline_ms.into());
        Ok(Response::new(call::run(&self.node, req, deadline).await))
    }

    async fn exchange(
        &self,
        req: Request<ExchangeRequest>,
    ) -> Result<Response<ExchangeReply>, Status> {
        let req = req.into_inner();
        wire::observe(&self.node.recorder, req.stamp);
        Ok(Response::new(exchange::answer(&self.node, req)))
    }

    async fn fetch(&self, req: Request<FetchRequest>) -> Result<Response<FetchReply>, Status> {
        let req = req.into_inner();
        wire::observe(&self.node.recorder, req.stamp);
        Ok(Response::new(exchange::serve_fetch(&self.node, &req)))
    }

    async fn notify(&self, req: Request<NotifyRequest>) -> Result<Response<NotifyReply>, Status> {
        let req = req.into_inner();
        wire::observe(&self.node.recorder, req.stamp);
        exchange::receive_notice(&self.node, req);
        Ok(Response::new(NotifyReply {
            stamp: wire::stamp(&self.node.recorder),
        }))
    }

    async fn probe(&self, req: Request<ProbeRequest>) -> Result<Response<ProbeReply>, Status> {
        let req = req.into_inner();
        wire::observe(&self.node.recorder, req.stamp);
        let exchange = exchange::with_address(&self.node, &req.address);
        let answered = tokio::time::timeout(PROBE_TIMEOUT, exchange)
            .await
            .unwrap_or(false);
        Ok(Response::new(ProbeReply {
            stamp: wire::stamp(&self.node.recorder),
            answered,
        }))
    }

    async fn share(&self, req: Request<ShareRequest>) -> Result<Response<ShareReply>, Status> {
        let req = req.into_inner();
        wire::observe(&self.node.recorder, req.stamp);
        share::answer(&self.node, req).map(Response::new)
    }

    async fn fetch_ownership(
        &self,
        req: Request<FetchOwnershipRequest>,
    ) -> Result<Response<FetchOwnershipReply>, Status> {
        let req = req.into_inner();
        wire::observe(&self.node.recorder, req.stamp);
        Ok(Response::new(ownership::serve(&self.node, &req)))
    }

    async fn suspect(
        &self,
        req: Request<SuspectRequest>,
    ) -> Result<Response<SuspectReply>, Status> {
        let req = req.into_inner();
        wire::observe(&self.node.recorder, req.stamp);
        crash_suspects::receive(&self.node, req);
        Ok(Response::new(SuspectReply {
            stamp: wire::stamp(&self.node.recorder),
        }))
    }
}
