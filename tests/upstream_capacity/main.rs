//! Tests of the estimate of upstreams' loads and of the choices that rest on it.

mod estimates;
