//! Client for rate limit exchanges with other VMs over the peer links.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use futures_util::future::BoxFuture;

use super::Links;
use super::wire::{Reply, Request};
use crate::limit::HolderClient;
use crate::limit::wire::{Exchange, Grant, Process};
use crate::membership::Membership;

/// Client for the VMs that hold shares of the customers' rates.
///
/// Their addresses come from membership. Exchanges fail until the links are set.
#[derive(Debug, Clone)]
pub struct PeerHolderClient {
    links: Arc<OnceLock<Links>>,
    membership: Membership,
}

impl PeerHolderClient {
    /// Creates a client without links.
    pub fn new(membership: Membership) -> Self {
        Self {
            links: Arc::default(),
            membership,
        }
    }

    /// Sets the links; later calls have no effect.
    pub fn set_links(&self, links: Links) {
        let _ = self.links.set(links);
    }
}

impl HolderClient for PeerHolderClient {
    fn exchange(
        &self,
        holder: &Process,
        exchange: Exchange,
        timeout: Duration,
    ) -> BoxFuture<'static, Option<Grant>> {
        let links = self.links.get().cloned();
        let members = self.membership.members().into_iter();
        let address = members
            .map(|member| member.peer)
            .find(|peer| peer.vm == holder.vm)
            .map(|peer| peer.peer_address);
        Box::pin(async move {
            let request = Request::Exchange(exchange);
            match links?.call(address?, request, timeout).await.ok()? {
                Reply::Grant(grant) => Some(grant),
                _ => None,
            }
        })
    }
}
