//! Lists the models that a customer may use.

use serde::Serialize;

use crate::document::Customer;

#[derive(Serialize)]
struct ModelList<'a> {
    object: &'static str,
    data: Vec<ModelItem<'a>>,
}

#[derive(Serialize)]
struct ModelItem<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    owned_by: &'static str,
}

/// Returns the JSON body of the response to `GET /v1/models`.
pub(super) fn list(customer: &Customer) -> String {
    let data = customer.models.iter().map(|id| ModelItem {
        id,
        object: "model",
        created: 0,
        owned_by: "celerylever",
    });
    let list = ModelList {
        object: "list",
        data: data.collect(),
    };
    serde_json::to_string(&list).unwrap_or_default()
}
