//! Exchanges of rates with other VMs, over the links.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use futures_util::future::BoxFuture;

use super::Links;
use super::wire::{Reply, Request};
use crate::limit::HolderClient;
use crate::limit::wire::{Exchange, Grant, Process};
use crate::membership::Membership;

/// Holders of customers' rates, found by membership; unreachable until the links are up.
#[derive(Debug, Clone)]
pub struct PeerHolders {
    links: Arc<OnceLock<Links>>,
    membership: Membership,
}

impl PeerHolders {
    /// Creates holders that no link reaches yet.
    pub fn new(membership: Membership) -> Self {
        Self {
            links: Arc::default(),
            membership,
        }
    }

    /// Takes the links in; later ones are ignored.
    pub fn connect(&self, links: Links) {
        let _ = self.links.set(links);
    }
}

impl HolderClient for PeerHolders {
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
