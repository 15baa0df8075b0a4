//! Client of the platform's store with typed calls.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::object::{check_name, check_value};
use super::transport::{StoreRequest, StoreResponse, Transport};
use super::write::{ConditionalWrite, ReadBackResult, new_write_id};
use super::{DeleteOutcome, Kind, Listing, Object, PutOutcome, StoreError, VmListing};
use crate::ids::ObjectVersion;
use crate::settings::PlatformSettings;
use crate::telemetry::{Metrics, StoreCall, StoreOutcome};

/// Maximum size of a response with at most one object.
const OBJECT_RESPONSE_MAX_BYTES: usize = 8 * 1_024 * 1_024;
/// Maximum size of a listing or of the changes that a watch returns.
const LIST_RESPONSE_MAX_BYTES: usize = 64 * 1_024 * 1_024;
const READ_BACK_ATTEMPTS_MAX: u32 = 4;

/// Client of the platform's store.
///
/// Every call has the request timeout; a watch has it in addition to its wait. After a failed call
/// the next call uses a new connection.
#[derive(Debug, Clone)]
pub struct StoreClient {
    transport: Transport,
    request_timeout: Duration,
    metrics: Option<Metrics>,
}

impl StoreClient {
    /// Creates a client, which connects on the first call.
    pub fn new(settings: PlatformSettings) -> Self {
        Self {
            request_timeout: settings.request_timeout,
            transport: Transport::new(settings),
            metrics: None,
        }
    }

    /// Makes the client count every call by its outcome in `metrics`.
    pub fn with_metrics(mut self, metrics: Metrics) -> Self {
        self.metrics = Some(metrics);
        self
    }

    /// Reads an object; returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error if the name is invalid, the call failed or the response is invalid.
    pub async fn get(&self, kind: Kind, name: &str) -> Result<Option<Object>, StoreError> {
        check_name(name)?;
        let result = self.get_uncounted(kind, name).await;
        let outcome = match &result {
            Ok(Some(_)) => StoreOutcome::Ok,
            Ok(None) => StoreOutcome::Missing,
            Err(error) => error.into(),
        };
        self.count(StoreCall::Get, outcome);
        result
    }

    async fn get_uncounted(&self, kind: Kind, name: &str) -> Result<Option<Object>, StoreError> {
        let response = self.send_get(object_path(kind, name)).await?;
        match response.status {
            StatusCode::OK => parse_json::<Object>(&response.body)?
                .validate(kind, name)
                .map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(StoreError::Status(status.as_u16())),
        }
    }

    /// Writes an object if its version is `expected_version`; 0 means that it must not exist.
    ///
    /// If the response is lost, the outcome is determined by reading the object back.
    ///
    /// # Errors
    ///
    /// Returns an error if the name is invalid or the value is too large. A failed call is not an
    /// error: it is reported as an outcome.
    pub async fn put(
        &self,
        kind: Kind,
        name: &str,
        expected_version: ObjectVersion,
        value: &str,
    ) -> Result<PutOutcome, StoreError> {
        check_name(name)?;
        check_value(value)?;
        let write = ConditionalWrite {
            kind,
            name: name.to_owned(),
            expected_version,
            write_id: new_write_id(),
            barrier_ids: Vec::new(),
        };
        match self.put_once(&write, &write.write_id, value).await {
            Ok(outcome) => Ok(outcome),
            Err(StoreError::Connect(_)) => Ok(PutOutcome::NotApplied),
            Err(error @ StoreError::ValueTooLarge { .. }) => Err(error),
            Err(_) => Ok(self.read_back(write).await),
        }
    }

    /// Determines the outcome of a write whose response was lost.
    async fn read_back(&self, mut write: ConditionalWrite) -> PutOutcome {
        for attempt in 0..READ_BACK_ATTEMPTS_MAX {
            tokio::time::sleep(self.request_timeout / 20 * attempt).await;
            let Ok(current) = self.get(write.kind, &write.name).await else {
                continue;
            };
            let object = match write.classify(current) {
                ReadBackResult::Final(outcome) => return outcome,
                ReadBackResult::Pending(object) => object,
            };
            let barrier_id = new_write_id();
            write.barrier_ids.push(barrier_id.clone());
            let barrier = self.put_once(&write, &barrier_id, &object.value).await;
            if matches!(barrier, Ok(PutOutcome::Applied(_))) {
                return PutOutcome::NotApplied;
            }
        }
        PutOutcome::Unknown
    }

    async fn put_once(
        &self,
        write: &ConditionalWrite,
        write_id: &str,
        value: &str,
    ) -> Result<PutOutcome, StoreError> {
        let result = self.put_uncounted(write, write_id, value).await;
        let outcome = match &result {
            Ok(PutOutcome::Conflict(_)) => StoreOutcome::Conflict,
            Ok(_) => StoreOutcome::Ok,
            Err(error) => error.into(),
        };
        self.count(StoreCall::Put, outcome);
        result
    }

    async fn put_uncounted(
        &self,
        write: &ConditionalWrite,
        write_id: &str,
        value: &str,
    ) -> Result<PutOutcome, StoreError> {
        let body = PutBody {
            expected_version: write.expected_version,
            write_id,
            value,
        };
        let path = object_path(write.kind, &write.name);
        let response = self.send(Method::PUT, path, to_json(&body)?).await?;
        match response.status {
            StatusCode::OK => {
                let version = parse_json::<VersionBody>(&response.body)?.version;
                if version <= write.expected_version {
                    return Err(StoreError::InvalidResponse(
                        "version did not increase with the write".into(),
                    ));
                }
                Ok(PutOutcome::Applied(version))
            }
            StatusCode::CONFLICT => self.parse_conflict(write, &response.body),
            StatusCode::PAYLOAD_TOO_LARGE => Err(StoreError::ValueTooLarge {
                size_bytes: value.len(),
                limit_bytes: super::object::VALUE_MAX_BYTES,
            }),
            status => Err(StoreError::Status(status.as_u16())),
        }
    }

    fn parse_conflict(
        &self,
        write: &ConditionalWrite,
        body: &[u8],
    ) -> Result<PutOutcome, StoreError> {
        let current = match parse_json::<VersionBody>(body)?.version {
            0 => None,
            _ => Some(parse_json::<Object>(body)?.validate(write.kind, &write.name)?),
        };
        let version = current.as_ref().map_or(0, |object| object.version);
        if version == write.expected_version {
            let message =
                "store reported a conflict although the object has the expected version".into();
            return Err(StoreError::InvalidResponse(message));
        }
        Ok(PutOutcome::Conflict(current))
    }

    /// Deletes an object if its version is `expected_version`.
    ///
    /// # Errors
    ///
    /// Returns an error if the name is invalid or no connection could be made. Any other failure is
    /// [`DeleteOutcome::Unknown`].
    pub async fn delete(
        &self,
        kind: Kind,
        name: &str,
        expected_version: ObjectVersion,
    ) -> Result<DeleteOutcome, StoreError> {
        check_name(name)?;
        let result = self.delete_uncounted(kind, name, expected_version).await;
        let outcome = match &result {
            Ok(DeleteOutcome::Conflict(_)) => StoreOutcome::Conflict,
            Ok(DeleteOutcome::Missing) => StoreOutcome::Missing,
            Ok(_) => StoreOutcome::Ok,
            Err(error) => error.into(),
        };
        self.count(StoreCall::Delete, outcome);
        match result {
            Err(error @ StoreError::Connect(_)) => Err(error),
            Err(_) => Ok(DeleteOutcome::Unknown),
            Ok(outcome) => Ok(outcome),
        }
    }

    async fn delete_uncounted(
        &self,
        kind: Kind,
        name: &str,
        expected_version: ObjectVersion,
    ) -> Result<DeleteOutcome, StoreError> {
        let path = object_path(kind, name);
        let path = format!("{path}?expected_version={expected_version}");
        let response = self.send(Method::DELETE, path, Bytes::new()).await?;
        match response.status {
            StatusCode::OK => {
                let version = parse_json::<VersionBody>(&response.body)?.version;
                Ok(DeleteOutcome::Deleted(version))
            }
            StatusCode::NOT_FOUND => Ok(DeleteOutcome::Missing),
            StatusCode::CONFLICT => {
                let object = parse_json::<Object>(&response.body)?.validate(kind, name)?;
                Ok(DeleteOutcome::Conflict(object))
            }
            status => Err(StoreError::Status(status.as_u16())),
        }
    }

    /// Lists all objects of a kind.
    ///
    /// # Errors
    ///
    /// Returns an error if the call failed or the response is invalid.
    pub async fn list(&self, kind: Kind) -> Result<Listing, StoreError> {
        let path = format!("/v1/objects/{kind}");
        let result = self.fetch_listing(path, self.request_timeout).await;
        let result = result.and_then(|listing| listing.validate(kind, 0));
        self.count(StoreCall::List, store_outcome(&result));
        result
    }

    /// Waits up to `wait` for objects of a kind that changed after `after_version`.
    ///
    /// # Errors
    ///
    /// Returns an error if the call failed or the response is invalid.
    pub async fn watch(
        &self,
        kind: Kind,
        after_version: ObjectVersion,
        wait: Duration,
    ) -> Result<Listing, StoreError> {
        let wait_ms = wait.as_millis();
        let path = format!("/v1/watch/{kind}?after={after_version}&wait_ms={wait_ms}");
        let result = self.fetch_listing(path, wait + self.request_timeout).await;
        let result = result.and_then(|listing| listing.validate(kind, after_version));
        self.count(StoreCall::Watch, store_outcome(&result));
        result
    }

    /// Lists the VMs that the platform knows. The list lags behind the real state.
    ///
    /// # Errors
    ///
    /// Returns an error if the call failed or the response is invalid.
    pub async fn list_vms(&self) -> Result<Vec<VmListing>, StoreError> {
        let result = self.vms_uncounted().await;
        self.count(StoreCall::Vms, store_outcome(&result));
        result
    }

    async fn vms_uncounted(&self) -> Result<Vec<VmListing>, StoreError> {
        let response = self.send_get("/v1/vms".into()).await?;
        let body = expect_ok(response)?;
        Ok(parse_json::<VmsBody>(&body)?.items)
    }

    async fn fetch_listing(&self, path: String, timeout: Duration) -> Result<Listing, StoreError> {
        let request = StoreRequest {
            method: Method::GET,
            path,
            body: Bytes::new(),
            timeout,
            response_max_bytes: LIST_RESPONSE_MAX_BYTES,
        };
        let body = expect_ok(self.transport.call(request).await?)?;
        parse_json(&body)
    }

    async fn send_get(&self, path: String) -> Result<StoreResponse, StoreError> {
        self.send(Method::GET, path, Bytes::new()).await
    }

    async fn send(
        &self,
        method: Method,
        path: String,
        body: Bytes,
    ) -> Result<StoreResponse, StoreError> {
        let request = StoreRequest {
            method,
            path,
            body,
            timeout: self.request_timeout,
            response_max_bytes: OBJECT_RESPONSE_MAX_BYTES,
        };
        self.transport.call(request).await
    }

    fn count(&self, call: StoreCall, outcome: StoreOutcome) {
        if let Some(metrics) = &self.metrics {
            metrics.record_store_call(call, outcome);
        }
    }
}

impl From<&StoreError> for StoreOutcome {
    fn from(error: &StoreError) -> Self {
        match error {
            StoreError::Connect(_) => Self::Connect,
            StoreError::Broken(_) => Self::Broken,
            StoreError::Timeout => Self::Timeout,
            StoreError::Status(_) => Self::Status,
            StoreError::InvalidResponse(_) => Self::AnswerInvalid,
            StoreError::ValueTooLarge { .. } => Self::ValueTooLarge,
            StoreError::NameInvalid(_) => Self::NameInvalid,
        }
    }
}

#[derive(Serialize)]
struct PutBody<'a> {
    expected_version: ObjectVersion,
    write_id: &'a str,
    value: &'a str,
}

#[derive(Deserialize)]
struct VersionBody {
    version: ObjectVersion,
}

#[derive(Deserialize)]
struct VmsBody {
    items: Vec<VmListing>,
}

fn object_path(kind: Kind, name: &str) -> String {
    format!("/v1/objects/{kind}/{name}")
}

fn store_outcome<T>(result: &Result<T, StoreError>) -> StoreOutcome {
    result
        .as_ref()
        .map_or_else(StoreOutcome::from, |_| StoreOutcome::Ok)
}

fn expect_ok(response: StoreResponse) -> Result<Bytes, StoreError> {
    match response.status {
        StatusCode::OK => Ok(response.body),
        status => Err(StoreError::Status(status.as_u16())),
    }
}

fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(|error| StoreError::InvalidResponse(error.to_string()))
}

fn to_json(body: &impl Serialize) -> Result<Bytes, StoreError> {
    serde_json::to_vec(body)
        .map(Bytes::from)
        .map_err(|error| StoreError::Broken(error.to_string()))
}
