//! Rollouts of a service's software version, replayed without a network.

mod replay;
mod rates;
