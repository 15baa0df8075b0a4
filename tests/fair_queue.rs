//! Fair queue against a sorted list, and what it promises to customers.

use std::time::Duration;

use celerylever::fair::{FairQueue, FairQueueSettings, Priority, QueueRefusal, QueuedRequest};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const FAR: Duration = Duration::from_secs(1_000_000);

fn waiting(customer: &str, cost: u64) -> QueuedRequest {
    QueuedRequest {
        customer: customer.to_owned(),
        weight: 1,
        cost,
        priority: Priority::Interactive,
        deadline: FAR,
    }
}

/// Sorted list that computes each start from everything that ever came.
#[derive(Default)]
struct NaiveQueue {
    list: Vec<(Priority, u64, u64, QueuedRequest)>,
    finishes: Vec<(String, Priority, u64)>,
    virtual_time: [u64; 2],
    next: u64,
}

impl NaiveQueue {
    fn push(&mut self, waiting: QueuedRequest) -> u64 {
        let own = self.finishes.iter();
        let own = own.filter(|(c, p, _)| *c == waiting.customer && *p == waiting.priority);
        let finish = own.map(|(_, _, finish)| *finish).max().unwrap_or(0);
        let start = finish.max(self.virtual_time[waiting.priority as usize]);
        let length = waiting.cost * 65_536 / u64::from(waiting.weight);
        let finish = (waiting.customer.clone(), waiting.priority, start + length);
        self.finishes.push(finish);
        self.list
            .push((waiting.priority, start, self.next, waiting));
        self.list
            .sort_by_key(|(priority, start, number, _)| (*priority, *start, *number));
        self.next += 1;
        self.next - 1
    }

    fn pop(&mut self) -> Option<(u64, QueuedRequest)> {
        if self.list.is_empty() {
            return None;
        }
        let (priority, start, number, waiting) = self.list.remove(0);
        self.virtual_time[priority as usize] = start;
        Some((number, waiting))
    }

    fn remove(&mut self, number: u64) -> Option<QueuedRequest> {
        let index = self.list.iter().position(|entry| entry.2 == number)?;
        Some(self.list.remove(index).3)
    }
}

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn queue_serves_in_the_order_of_a_sorted_list(#[case] seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut queue = FairQueue::new(FairQueueSettings::default());
    let mut naive = NaiveQueue::default();
    for step in 0..5_000 {
        let now = Duration::from_millis(step);
        match rng.random_range(0..10) {
            0..5 if queue.len() < 100 => {
                let waiting = QueuedRequest {
                    weight: 1 << rng.random_range(0..3),
                    priority: match rng.random_bool(0.3) {
                        true => Priority::Batch,
                        false => Priority::Interactive,
                    },
                    ..waiting(
                        ["a", "b", "c", "d"][rng.random_range(0..4)],
                        rng.random_range(1..9),
                    )
                };
                let ticket = queue.push(waiting.clone(), now).unwrap().ticket;
                assert_eq!(ticket, naive.push(waiting), "step {step}");
            }
            5..6 if !queue.is_empty() => {
                let ticket = naive.list[rng.random_range(0..naive.list.len())].2;
                let removed = naive.remove(ticket);
                let customer = removed.as_ref().unwrap().customer.clone();
                assert_eq!(queue.remove(&customer, ticket), removed, "step {step}");
            }
            _ => assert_eq!(queue.pop(now), naive.pop(), "step {step}"),
        }
        assert_eq!(queue.len(), naive.list.len());
    }
}

#[test]
fn customer_that_sends_five_times_as_much_delays_no_other() {
    let mut queue = FairQueue::new(FairQueueSettings::default());
    for _ in 0..50 {
        queue
            .push(waiting("excessive", 10), Duration::ZERO)
            .unwrap();
    }
    for _ in 0..10 {
        queue.push(waiting("modest", 10), Duration::ZERO).unwrap();
    }
    let order: Vec<String> = (0..60)
        .map(|_| queue.pop(Duration::ZERO).unwrap().1.customer)
        .collect();
    let last_modest = order.iter().rposition(|customer| customer == "modest");
    assert!(last_modest < Some(21), "{order:?}");
}

#[test]
fn weight_gives_tokens_in_proportion() {
    let mut queue = FairQueue::new(FairQueueSettings::default());
    for _ in 0..100 {
        let heavy = QueuedRequest {
            weight: 3,
            ..waiting("heavy", 10)
        };
        queue.push(heavy, Duration::ZERO).unwrap();
        queue.push(waiting("light", 10), Duration::ZERO).unwrap();
    }
    let first: Vec<String> = (0..80)
        .map(|_| queue.pop(Duration::ZERO).unwrap().1.customer)
        .collect();
    let heavy = first.iter().filter(|customer| *customer == "heavy").count();
    assert!((58..=62).contains(&heavy), "{heavy}");
}

#[test]
fn batch_waits_behind_interactive() {
    let mut queue = FairQueue::new(FairQueueSettings::default());
    let batch = QueuedRequest {
        priority: Priority::Batch,
        ..waiting("a", 1)
    };
    queue.push(batch, Duration::ZERO).unwrap();
    queue.push(waiting("b", 1_000), Duration::ZERO).unwrap();
    let order: Vec<String> = (0..2)
        .map(|_| queue.pop(Duration::ZERO).unwrap().1.customer)
        .collect();
    assert_eq!(order, ["b", "a"]);
}

#[test]
fn full_queue_takes_the_place_of_the_customer_with_most() {
    let mut queue = FairQueue::new(FairQueueSettings { requests_max: 4 });
    let tickets: Vec<u64> = (0..4)
        .map(|_| {
            queue
                .push(waiting("excessive", 10), Duration::ZERO)
                .unwrap()
                .ticket
        })
        .collect();
    let admitted = queue.push(waiting("modest", 10), Duration::ZERO).unwrap();
    assert_eq!(admitted.displaced.unwrap().0, tickets[3]);
    let refused = queue.push(waiting("excessive", 10), Duration::ZERO);
    assert!(
        matches!(refused, Err(QueueRefusal::Full { .. })),
        "{refused:?}"
    );
    assert_eq!(queue.len(), 4);
}

#[test]
fn wait_beyond_the_deadline_is_refused_at_once_and_truthfully() {
    let mut queue = FairQueue::new(FairQueueSettings::default());
    let mut now = Duration::ZERO;
    for _ in 0..100 {
        queue.push(waiting("a", 100), now).unwrap();
    }
    // Ten requests a second leave the queue, so that the 60 left take six seconds.
    for _ in 0..40 {
        now += Duration::from_millis(100);
        queue.pop(now);
    }
    let late = QueuedRequest {
        deadline: now + Duration::from_secs(5),
        ..waiting("a", 100)
    };
    let Err(QueueRefusal::TooLate { retry_after }) = queue.push(late, now) else {
        panic!("the wait is longer than the deadline");
    };
    assert!(
        (5_500..6_500).contains(&retry_after.as_millis()),
        "{retry_after:?}"
    );
    let in_time = QueuedRequest {
        deadline: now + Duration::from_secs(7),
        ..waiting("a", 100)
    };
    queue.push(in_time, now).unwrap();
    let other = QueuedRequest {
        deadline: now + Duration::from_secs(1),
        ..waiting("b", 100)
    };
    queue.push(other, now).unwrap();
}
