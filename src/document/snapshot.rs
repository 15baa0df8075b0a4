//! Immutable, indexed form of a document, used to serve requests.

use std::collections::HashMap;

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use super::{Customer, Document, KeyDigest, Model, Route, Upstream, UpstreamKind, UpstreamState};
use crate::ids::{CustomerId, ModelId, ObjectVersion, UpstreamId};

/// Returns the SHA-256 digest by which the document identifies a key.
pub fn digest_key(key: &str) -> KeyDigest {
    Sha256::digest(key.as_bytes()).into()
}

/// One version of the document, indexed for serving.
#[derive(Debug, Default)]
pub struct Snapshot {
    /// Version of the stored document.
    pub version: ObjectVersion,
    /// The document itself.
    pub document: Document,
    customers_by_digest_prefix: HashMap<[u8; 8], Vec<(KeyDigest, CustomerId)>>,
    engines_by_model: HashMap<ModelId, Vec<UpstreamId>>,
}

impl Snapshot {
    /// Creates a snapshot of a document that passed its checks.
    pub fn compile(version: ObjectVersion, document: Document) -> Self {
        let mut snapshot = Self {
            version,
            ..Self::default()
        };
        for (id, customer) in &document.customers {
            for digest in &customer.key_digests {
                let candidates = snapshot
                    .customers_by_digest_prefix
                    .entry(digest_prefix(digest))
                    .or_default();
                candidates.push((*digest, id.clone()));
            }
        }
        for (id, upstream) in &document.upstreams {
            if upstream.kind != UpstreamKind::Engine {
                continue;
            }
            for model in &upstream.models {
                snapshot
                    .engines_by_model
                    .entry(model.clone())
                    .or_default()
                    .push(id.clone());
            }
        }
        snapshot.document = document;
        snapshot
    }

    /// Returns the customer that a key digest belongs to.
    ///
    /// Full digests are compared in constant time.
    pub fn customer_by_digest(&self, digest: &KeyDigest) -> Option<&CustomerId> {
        let candidates = self
            .customers_by_digest_prefix
            .get(&digest_prefix(digest))?;
        let mut found = None;
        for (known, customer) in candidates {
            if bool::from(known.ct_eq(digest)) {
                found = Some(customer);
            }
        }
        found
    }

    /// Returns the customer with the given name.
    pub fn customer(&self, id: &str) -> Option<&Customer> {
        self.document.customers.get(id)
    }

    /// Returns the model with the given name if the customer may call it.
    pub fn model_for(&self, customer: &Customer, model: &str) -> Option<&Model> {
        let is_allowed = customer.models.iter().any(|name| name == model);
        self.document.models.get(model).filter(|_| is_allowed)
    }

    /// Returns the upstream with the given name.
    pub fn upstream(&self, id: &str) -> Option<&Upstream> {
        self.document.upstreams.get(id)
    }

    /// Returns the engines of a model that receive new requests, sorted by name.
    pub fn engines_for(&self, model: &str) -> impl Iterator<Item = (&UpstreamId, &Upstream)> {
        let ids = self
            .engines_by_model
            .get(model)
            .map(Vec::as_slice)
            .unwrap_or_default();
        self.filter_serving(ids)
    }

    /// Returns the upstreams of a route that receive new requests.
    pub fn services_for(&self, route: &Route) -> impl Iterator<Item = (&UpstreamId, &Upstream)> {
        self.filter_serving(&route.upstreams)
    }

    /// Returns the route with the longest prefix that matches whole segments of a path.
    pub fn route_for(&self, path: &str) -> Option<&Route> {
        self.document
            .routes
            .values()
            .filter(|route| is_prefix_of_path(&route.path_prefix, path))
            .max_by_key(|route| route.path_prefix.len())
    }

    fn filter_serving(&self, ids: &[UpstreamId]) -> impl Iterator<Item = (&UpstreamId, &Upstream)> {
        ids.iter()
            .filter_map(|id| self.document.upstreams.get_key_value(id))
            .filter(|(_, upstream)| upstream.state == UpstreamState::Serving)
    }
}

fn digest_prefix(digest: &KeyDigest) -> [u8; 8] {
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&digest[..8]);
    prefix
}

fn is_prefix_of_path(prefix: &str, path: &str) -> bool {
    let rest = match path.strip_prefix(prefix.trim_end_matches('/')) {
        Some(rest) => rest,
        None => return false,
    };
    rest.is_empty() || rest.starts_with('/')
}
