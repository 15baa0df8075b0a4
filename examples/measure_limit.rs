//! Wrongful refusals and control cost of shared rates, in memory over the pure cores.
//!
//! Usage: `cargo run --release --example measure_limit`

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use celerylever::document::Customer;
use celerylever::limit::wire::{Exchange, Grant, Process};
use celerylever::limit::{
    AccountSettings, Borrower, BorrowerSettings, Bucket, Candidate, Lender, OutgoingExchange,
    PlanContext, RateShare, ReservedTokens, SLOT_COUNT, SlotTable, plan_claim, to_microtokens,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const STEP: Duration = Duration::from_millis(5);
const TICK_EVERY_STEPS: u64 = 50;
const WARM_UP: Duration = Duration::from_secs(5);
const MEASURED: Duration = Duration::from_secs(20);
const SHIFT_EVERY: Duration = Duration::from_secs(10);
/// IP, UDP and QUIC around one message.
const DATAGRAM_OVERHEAD_BYTES: u64 = 60;
const COST_MAX_TOKENS: u64 = 4_000;
const BURST_SECONDS: u64 = 10;
const LOAD_PERCENT: f64 = 80.0;
const MEMBERSHIP_VALID: Option<Duration> = Some(Duration::MAX);

/// Where a customer's requests fall.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Placement {
    Spread,
    Skewed,
    Shifting,
}

#[derive(Debug, Clone, Copy)]
struct Size {
    vms: usize,
    customers: usize,
    requests_per_s: u64,
}

#[derive(Debug, Default)]
struct Tally {
    requests: u64,
    inside: u64,
    wrongful: u64,
    wrongful_after_shift: u64,
    equal_split_wrongful: u64,
    exchanges: u64,
    bytes: u64,
    waits: u64,
    cpu: Duration,
}

struct Vm {
    me: Process,
    holder: Lender,
    table: SlotTable,
    borrowers: HashMap<usize, Borrower>,
    split: HashMap<usize, Bucket>,
}

struct Finish {
    vm: usize,
    customer: usize,
    held: Option<ReservedTokens>,
    cost: u64,
    twin: bool,
    split: bool,
}

struct Fleet {
    size: Size,
    placement: Placement,
    customer: Customer,
    names: Vec<String>,
    vms: Vec<Vm>,
    twins: Vec<Bucket>,
    finishing: BinaryHeap<Reverse<(Duration, u64)>>,
    finishes: HashMap<u64, Finish>,
    random: StdRng,
    now: Duration,
    tally: Tally,
}

fn main() {
    anstream::println!(
        "| placement | VMs | customers | requests/s | wrongful | after a shift | equal split | \
         waited | exchanges/s/VM | KB/s/VM sent | core % |\n|---|---|---|---|---|---|---|---|---|---|---|"
    );
    let sizes = [
        (8, 5, 1_000),
        (32, 50, 4_000),
        (120, 170, 13_700),
        (350, 500, 40_000),
    ];
    for placement in [Placement::Spread, Placement::Skewed, Placement::Shifting] {
        for (vms, customers, requests_per_s) in sizes {
            let size = Size {
                vms,
                customers,
                requests_per_s,
            };
            Fleet::new(size, placement).run().print(size, placement);
        }
    }
}

impl Tally {
    fn print(&self, size: Size, placement: Placement) {
        let vm_seconds = size.vms as f64 * MEASURED.as_secs_f64();
        let percent = |count: u64, whole: u64| count as f64 / whole.max(1) as f64 * 100.0;
        anstream::println!(
            "| {placement:?} | {} | {} | {} | {:.3}% | {:.3}% | {:.1}% | {:.1}% | {:.1} | {:.2} | {:.2} |",
            size.vms,
            size.customers,
            size.requests_per_s,
            percent(self.wrongful, self.inside),
            percent(self.wrongful_after_shift, self.inside),
            percent(self.equal_split_wrongful, self.inside),
            percent(self.waits, self.requests),
            self.exchanges as f64 / vm_seconds,
            self.bytes as f64 / vm_seconds / 1_000.0,
            self.cpu.as_secs_f64() / vm_seconds * 100.0,
        );
    }
}

impl Fleet {
    fn new(size: Size, placement: Placement) -> Self {
        let now = Duration::from_secs(1_000);
        let tokens_per_s = size.requests_per_s * COST_MAX_TOKENS / 2;
        let rate = (tokens_per_s as f64 / size.customers as f64 * 100.0 / LOAD_PERCENT) as u64;
        let customer = Customer {
            rate_tokens_per_s: rate,
            burst_tokens: rate * BURST_SECONDS,
            ..Customer::default()
        };
        let candidates: Vec<_> = (0..size.vms)
            .map(|index| Candidate {
                process: Process {
                    vm: format!("v{index:03}"),
                    incarnation: 1 + index as u64,
                },
                availability_zone: format!("zone-{}", index % 4),
            })
            .collect();
        let mut vms: Vec<_> = candidates
            .iter()
            .map(|candidate| Vm {
                me: candidate.process.clone(),
                holder: Lender::new(AccountSettings::default(), 1),
                table: SlotTable::new(candidate.process.clone()),
                borrowers: HashMap::new(),
                split: HashMap::new(),
            })
            .collect();
        for slot in 0..SLOT_COUNT {
            let record = candidates.iter().find_map(|me| {
                let view = PlanContext {
                    own_process: &me.process,
                    candidates: &candidates,
                    fenced: &[],
                };
                plan_claim(slot, None, view)
            });
            for vm in &mut vms {
                vm.table
                    .apply_record(slot, 1, record.clone().unwrap_or_default(), now);
            }
        }
        let twin = share(&customer, 1_000_000);
        Self {
            names: (0..size.customers)
                .map(|n| format!("customer-{n:03}"))
                .collect(),
            twins: (0..size.customers)
                .map(|_| Bucket::new(twin, u64::MAX, now))
                .collect(),
            finishing: BinaryHeap::new(),
            finishes: HashMap::new(),
            random: StdRng::seed_from_u64(7),
            tally: Tally::default(),
            size,
            placement,
            customer,
            vms,
            now,
        }
    }

    fn run(mut self) -> Tally {
        let steps = ((WARM_UP + MEASURED).as_millis() / STEP.as_millis()) as u64;
        let warm_up_steps = (WARM_UP.as_millis() / STEP.as_millis()) as u64;
        let per_step = self.size.requests_per_s as f64 * STEP.as_secs_f64();
        let mut number = 0;
        for step in 0..steps {
            if step == warm_up_steps {
                self.tally = Tally::default();
            }
            self.now += STEP;
            self.finish_due();
            let arrivals = per_step as u64 + u64::from(self.random.random_bool(per_step.fract()));
            for _ in 0..arrivals {
                number += 1;
                self.arrive(number);
            }
            let offset = step % TICK_EVERY_STEPS;
            for vm in (0..self.vms.len()).filter(|vm| *vm as u64 % TICK_EVERY_STEPS == offset) {
                self.tick(vm);
            }
        }
        self.tally
    }

    fn vm_for(&mut self, customer: usize) -> usize {
        let shift = (self.now.as_millis() / SHIFT_EVERY.as_millis()) as usize;
        match self.placement {
            Placement::Spread => self.random.random_range(0..self.size.vms),
            Placement::Skewed => customer % self.size.vms,
            Placement::Shifting => (customer + shift * 37) % self.size.vms,
        }
    }

    fn arrive(&mut self, number: u64) {
        let customer = self.random.random_range(0..self.size.customers);
        let vm = self.vm_for(customer);
        let cost = to_microtokens(self.random.random_range(1..=COST_MAX_TOKENS));
        let now = self.now;
        let twin = &mut self.twins[customer];
        let is_inside = twin.level(now) >= cost && twin.take(cost, now) == cost;
        let part = 1_000_000 / self.size.vms as u32;
        let split = share(&self.customer, part);
        let bucket = self.vms[vm].split.entry(customer);
        let bucket = bucket.or_insert_with(|| Bucket::new(split, u64::MAX, now));
        let is_in_split = bucket.level(now) >= cost && bucket.take(cost, now) == cost;
        let started = std::time::Instant::now();
        let held = self.reserve(vm, customer, cost);
        self.tally.cpu += started.elapsed();
        self.tally.requests += 1;
        self.tally.inside += u64::from(is_inside);
        let is_wrongful = is_inside && held.is_none();
        let since_shift = now.as_millis() % SHIFT_EVERY.as_millis();
        let is_after_shift = self.placement == Placement::Shifting && since_shift < 2_000;
        self.tally.wrongful += u64::from(is_wrongful && !is_after_shift);
        self.tally.wrongful_after_shift += u64::from(is_wrongful && is_after_shift);
        self.tally.equal_split_wrongful += u64::from(is_inside && !is_in_split);
        let ends = now + Duration::from_millis(self.random.random_range(100..2_000));
        self.finishing.push(Reverse((ends, number)));
        let finish = Finish {
            vm,
            customer,
            held,
            cost,
            twin: is_inside,
            split: is_in_split,
        };
        self.finishes.insert(number, finish);
    }

    fn finish_due(&mut self) {
        while let Some(Reverse((ends, number))) = self.finishing.peek().copied() {
            if ends > self.now {
                return;
            }
            self.finishing.pop();
            let Some(finish) = self.finishes.remove(&number) else {
                continue;
            };
            self.finish(finish);
        }
    }

    /// Ends a request that consumed all it reserved.
    fn finish(&mut self, finish: Finish) {
        let now = self.now;
        if finish.twin {
            self.twins[finish.customer].settle(finish.cost, 0, now);
        }
        let vm = &mut self.vms[finish.vm];
        if let Some(bucket) = vm.split.get_mut(&finish.customer).filter(|_| finish.split) {
            bucket.settle(finish.cost, 0, now);
        }
        let borrower = vm.borrowers.get_mut(&finish.customer);
        if let (Some(borrower), Some(mut held)) = (borrower, finish.held) {
            let started = std::time::Instant::now();
            borrower.consume(&mut held, finish.cost, now);
            borrower.release(held, now);
            self.tally.cpu += started.elapsed();
        }
    }

    fn reserve(&mut self, vm: usize, customer: usize, cost: u64) -> Option<ReservedTokens> {
        let now = self.now;
        self.borrower(vm, customer).record_demand(cost, now);
        let mut asked = Vec::new();
        let mut has_waited = false;
        loop {
            let borrower = self.borrower(vm, customer);
            let missing = match borrower.reserve(cost, now) {
                Ok(hold) => return Some(hold),
                Err(missing) => missing,
            };
            let OutgoingExchange { holder, exchange } =
                borrower.borrow_exchange(missing, &asked, now)?;
            let is_remote = holder != self.vms[vm].me;
            self.tally.waits += u64::from(is_remote && !has_waited);
            has_waited |= is_remote;
            let grant = self.exchange(vm, customer, &holder, exchange);
            if grant.is_none_or(|grant| grant.retry_after_ms > 0) {
                asked.push(holder);
            }
        }
    }

    fn tick(&mut self, vm: usize) {
        let now = self.now;
        let started = std::time::Instant::now();
        self.vms[vm].holder.sweep(now);
        self.vms[vm]
            .borrowers
            .retain(|_, borrower| !borrower.is_idle(now));
        let customers: Vec<_> = self.vms[vm].borrowers.keys().copied().collect();
        for customer in customers {
            for OutgoingExchange { holder, exchange } in self
                .borrower(vm, customer)
                .due_exchanges(Duration::from_secs(BURST_SECONDS), now)
            {
                self.exchange(vm, customer, &holder, exchange);
            }
        }
        self.tally.cpu += started.elapsed();
    }

    fn exchange(
        &mut self,
        vm: usize,
        customer: usize,
        holder: &Process,
        exchange: Exchange,
    ) -> Option<Grant> {
        let me = self.vms[vm].me.clone();
        let now = self.now;
        let lender = (holder.incarnation - 1) as usize;
        let other = &mut self.vms[lender];
        let held_share = other
            .table
            .held_share(&self.names[customer], &self.customer)?;
        let grant = other
            .holder
            .exchange(&me, &exchange, &held_share, MEMBERSHIP_VALID, now)?;
        if lender != vm {
            let sizes = [size_of(&exchange), size_of(&grant)];
            self.tally.exchanges += 1;
            self.tally.bytes += sizes.iter().sum::<u64>() + 2 * DATAGRAM_OVERHEAD_BYTES;
        }
        self.borrower(vm, customer).apply_grant(holder, &grant, now);
        Some(grant)
    }

    fn borrower(&mut self, vm: usize, customer: usize) -> &mut Borrower {
        let (now, name) = (self.now, &self.names[customer]);
        let vm = &mut self.vms[vm];
        let incarnation = vm.me.incarnation;
        let borrower = vm.borrowers.entry(customer).or_insert_with(|| {
            Borrower::new(BorrowerSettings::default(), name.clone(), incarnation)
        });
        borrower.set_holders(&vm.table.holders(name), now);
        borrower
    }
}

fn share(customer: &Customer, parts_per_million: u32) -> RateShare {
    RateShare {
        rate_tokens_per_s: customer.rate_tokens_per_s,
        burst_tokens: customer.burst_tokens,
        parts_per_million,
    }
}

fn size_of(message: &impl serde::Serialize) -> u64 {
    postcard::to_stdvec(message).map_or(0, |bytes| bytes.len() as u64)
}
