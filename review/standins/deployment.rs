//! Objects that the operator and the engines write, like those of a small deployment.

use crate::json::Value;

/// Milliseconds of the start that engines state.
pub const BORN: u64 = 1_764_900_000_000;

/// Returns the configuration; `customers` are the entries of its tenants.
pub fn config(version: u64, customers: &str) -> Value {
    config_to("\"Service\":\"bale-llm\"", version, customers)
}

/// Returns a configuration that splits the resumable route between its service and another one.
pub fn config_with_split(version: u64, customers: &str) -> Value {
    let split = "\"Split\":[{\"Service\":\"bale-llm\",\"Weight\":90},\
                 {\"Service\":\"bale-llm-2\",\"Weight\":10}]";
    config_to(split, version, customers)
}

fn config_to(note_target: &str, version: u64, customers: &str) -> Value {
    let route = |name: &str, kind: &str, target: &str, more: &str| {
        format!(
            "{{\"Name\":\"{name}\",\"Host\":\"depot.example\",\"PathPrefix\":\"/{name}/\",\
             \"Kind\":\"{kind}\",\"TimeoutMs\":12000,\"GoalMs\":600,\"Priority\":1,\
             {target},\"Public\":false,{more}}}"
        )
    };
    let service = |name: &str| {
        format!(
            "{{\"Name\":\"{name}\",\"HealthPath\":\"/health\",\"MaxConns\":240,\
             \"Protocol\":\"h1\",\"Tls\":false,\"Engine\":{{\"Slots\":32,\"KvCapacity\":232217,\
             \"KvTokenBytes\":327680,\"LinkMbps\":1500000.0,\"MaxInflight\":4,\
             \"Models\":[{{\"Name\":\"m0\"}}]}}}}"
        )
    };
    let one = "\"Service\":\"bale-llm\"";
    let routes = [
        route(
            "note",
            "streaming",
            note_target,
            "\"Attempts\":2,\"Resumable\":true,\"Sticky\":true,\"GapTargetMs\":250",
        ),
        route(
            "check",
            "streaming",
            one,
            "\"Attempts\":1,\"Resumable\":false,\"Sticky\":true,\"GapTargetMs\":250",
        ),
        route(
            "book",
            "non_idempotent",
            one,
            "\"Attempts\":1,\"Resumable\":false,\"Sticky\":false",
        ),
    ];
    let services = [service("bale-llm"), service("bale-llm-2")];
    let text = format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\
         \"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\"Tenants\":[{customers}]}}",
        routes.join(","),
        services.join(",")
    );
    Value::parse(&text).expect("a configuration")
}

/// Returns the entry of a tenant that has no limit.
pub fn customer(name: &str, is_isolated: bool) -> String {
    format!(
        "{{\"Name\":\"{name}\",\"ApiKeys\":[\"key-{name}\"],\"Unit\":\"token_stream\",\
         \"UncachedTokens\":200,\"Isolated\":{is_isolated},\"RatePerS\":0,\"Burst\":0}}"
    )
}

/// Returns an engine's entry in the store.
pub fn entry(address: &str, state: &str, sequence: u64) -> Value {
    entry_of("bale-llm", address, state, sequence)
}

/// Returns the entry of an engine of a service.
pub fn entry_of(service: &str, address: &str, state: &str, sequence: u64) -> Value {
    let text = format!(
        "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"cymru-south-a\",\
         \"Version\":\"v1\",\"Slots\":32,\"State\":\"{state}\",\"ColdMs\":0,\
         \"Stage\":\"colocated\",\"Models\":[{{\"Name\":\"m0\",\"Version\":1,\"Adapters\":[]}}],\
         \"Seq\":{sequence},\"born\":{BORN}}}"
    );
    Value::parse(&text).expect("an entry")
}

/// Returns what the operator writes of the model's weights.
pub fn weights() -> Value {
    Value::parse("{\"Model\":\"m0\",\"Version\":1}").expect("weights")
}
