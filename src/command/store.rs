//! Interface to the platform's store that the operators' command uses.

use std::future::Future;

use crate::ids::ObjectVersion;
use crate::platform::{
    DeleteOutcome, Kind, Listing, Object, PutOutcome, StoreClient, StoreError, VmListing,
};

/// Calls to the platform's store that the operators' command makes.
pub trait Store {
    /// Reads an object; `None` if there is none of that name.
    fn get(
        &self,
        kind: Kind,
        name: &str,
    ) -> impl Future<Output = Result<Option<Object>, StoreError>>;

    /// Writes an object if the stored one has the expected version; 0 creates it.
    fn put(
        &self,
        kind: Kind,
        name: &str,
        expected_version: ObjectVersion,
        value: &str,
    ) -> impl Future<Output = Result<PutOutcome, StoreError>>;

    /// Deletes an object if it has the expected version.
    fn delete(
        &self,
        kind: Kind,
        name: &str,
        expected_version: ObjectVersion,
    ) -> impl Future<Output = Result<DeleteOutcome, StoreError>>;

    /// Lists the objects of a kind.
    fn list(&self, kind: Kind) -> impl Future<Output = Result<Listing, StoreError>>;

    /// Lists the VMs that the platform knows.
    fn list_vms(&self) -> impl Future<Output = Result<Vec<VmListing>, StoreError>>;
}

impl Store for StoreClient {
    async fn get(&self, kind: Kind, name: &str) -> Result<Option<Object>, StoreError> {
        StoreClient::get(self, kind, name).await
    }

    async fn put(
        &self,
        kind: Kind,
        name: &str,
        expected_version: ObjectVersion,
        value: &str,
    ) -> Result<PutOutcome, StoreError> {
        StoreClient::put(self, kind, name, expected_version, value).await
    }

    async fn delete(
        &self,
        kind: Kind,
        name: &str,
        expected_version: ObjectVersion,
    ) -> Result<DeleteOutcome, StoreError> {
        StoreClient::delete(self, kind, name, expected_version).await
    }

    async fn list(&self, kind: Kind) -> Result<Listing, StoreError> {
        StoreClient::list(self, kind).await
    }

    async fn list_vms(&self) -> Result<Vec<VmListing>, StoreError> {
        StoreClient::list_vms(self).await
    }
}
