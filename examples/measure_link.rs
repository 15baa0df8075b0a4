//! Bytes of a heartbeat with its answer on a link, and of a new connection.

#![allow(clippy::print_stdout, reason = "a measurement prints its table")]

#[allow(dead_code, unreachable_pub, reason = "a part of it is used")]
#[path = "../tests/support/peers.rs"]
mod peers;

use std::time::Duration;

use celerylever::membership::wire::{Heartbeat, HeartbeatReply, PeerInfo};
use celerylever::peer::{Caller, Reply, Request, serve};
use peers::{Certificates, Vm};

const CALLS: u64 = 20;
const TIMEOUT: Duration = Duration::from_secs(2);
const INTERVALS_MS: [u64; 3] = [20, 500, 2_000];

#[tokio::main]
async fn main() {
    println!("| interval | first call with its connection | each later call |");
    println!("|---|---|---|");
    for interval_ms in INTERVALS_MS {
        measure(Duration::from_millis(interval_ms)).await;
    }
}

async fn measure(interval: Duration) {
    let fleet = Certificates::new();
    let (caller, called) = (Vm::new(&fleet, "vm-001"), Vm::new(&fleet, "vm-002"));
    let answerer = peer(&called, "vm-002");
    let answer = move |_: Caller, _| {
        let sender = answerer.clone();
        async move {
            Some(Reply::Heartbeat(HeartbeatReply {
                sender,
                document_version: 1_000,
                is_lease_confirmed: true,
                others: Vec::new(),
            }))
        }
    };
    tokio::spawn(serve(called.links.clone(), answer));
    let heartbeat = Request::Heartbeat(Heartbeat {
        sender: peer(&caller, "vm-001"),
        document_version: 1_000,
        wants_lease_confirmation: true,
    });
    let mut after_first = 0;
    for call in 0..=CALLS {
        let to = called.links.address();
        let reply = caller.links.call(to, heartbeat.clone(), TIMEOUT).await;
        assert!(reply.is_ok(), "{reply:?}");
        tokio::time::sleep(interval.max(Duration::from_millis(20))).await;
        if call == 0 {
            tokio::time::sleep(Duration::from_millis(500)).await;
            after_first = caller.links.open_bytes();
        }
    }
    let each = (caller.links.open_bytes() - after_first) / CALLS;
    println!("| {interval:?} | {after_first} B | {each} B |");
}

fn peer(vm: &Vm, name: &str) -> PeerInfo {
    PeerInfo {
        vm: name.to_owned(),
        incarnation: 1_700_000_000_000_000_000,
        peer_address: vm.links.address(),
        availability_zone: "zone-a".to_owned(),
        is_leaving: false,
    }
}
