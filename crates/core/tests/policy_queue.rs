//! Tests of the queue and fair shares: priorities, weights, deadlines and starvation.

use peargap_core::fair;
use peargap_core::queue;
use peargap_core::time;
use rand::RngExt as _;
use rand::SeedableRng as _;

fn push_item(
    queue: &mut queue::Queue<u32>,
    team: fair::Team,
    priority: u8,
    at: u64,
) -> queue::Pushed {
    let expected_ms = queue.wait_ms(priority, team);
    let item = queue::Item {
        arrived: time::Instant(at),
        expected_ms,
        start_by: time::Instant(at + 1_000_000),
        priority,
        team,
        payload: 0,
    };
    queue.push(time::Instant(at), item)
}

#[test]
fn backlogged_teams_share_tokens_by_weight() {
    for seed in 0..20 {
        let mut random = rand::rngs::SmallRng::seed_from_u64(seed);
        let mut queue = queue::Queue::new(64);
        let weights: Vec<u32> = (0..6).map(|_| random.random_range(1..5)).collect();
        let teams: Vec<fair::Team> = weights.iter().map(|w| queue.shares().open(*w)).collect();
        let mut tokens = vec![0.0; teams.len()];
        for at in 0..4000 {
            for team in &teams {
                while queue.shares().backlog(*team) * queue.shares().weight(*team) < 3.0 {
                    push_item(&mut queue, *team, 1, at);
                }
            }
            let ticket = queue.peek().expect("the queue is not empty");
            let taken = queue
                .take(time::Instant(at), ticket)
                .expect("the request is queued");
            let used = f64::from(random.random_range(10..1500_u32));
            let index = teams.iter().position(|team| *team == taken.team);
            tokens[index.expect("the team is known")] += used;
            queue.shares().charge(taken.team, used);
        }
        let shares = tokens
            .iter()
            .zip(&weights)
            .map(|(got, weight)| got / f64::from(*weight));
        let shares: Vec<f64> = shares.collect();
        let sum: f64 = shares.iter().sum();
        let squares: f64 = shares.iter().map(|share| share * share).sum();
        let jain = sum * sum / (shares.len() as f64 * squares);
        assert!(jain >= 0.95, "seed {seed}: {shares:?}");
    }
}

#[test]
fn an_idle_team_cannot_save_up_more_than_its_credit() {
    let mut queue = queue::Queue::new(64);
    let busy = queue.shares().open(1);
    let idle = queue.shares().open(1);
    for at in 0..500 {
        push_item(&mut queue, busy, 1, at);
        let ticket = queue.peek().expect("the queue is not empty");
        queue.take(time::Instant(at), ticket);
        queue.shares().charge(busy, 1000.0);
    }
    let mut served_in_a_row = 0;
    for at in 500..600 {
        push_item(&mut queue, busy, 1, at);
        push_item(&mut queue, idle, 1, at);
        let ticket = queue.peek().expect("the queue is not empty");
        let taken = queue
            .take(time::Instant(at), ticket)
            .expect("the request is queued");
        queue.shares().charge(taken.team, 1000.0);
        if taken.team == busy {
            break;
        }
        served_in_a_row += 1;
    }
    assert!(
        served_in_a_row <= 4,
        "{served_in_a_row} requests of the idle team were served in a row"
    );
}

#[test]
fn no_request_starves_behind_more_urgent_ones() {
    for seed in 0..20 {
        let mut random = rand::rngs::SmallRng::seed_from_u64(seed);
        let mut queue = queue::Queue::new(64);
        let team = queue.shares().open(1);
        let older = random.random_range(0..5_u64);
        for at in 0..older {
            push_item(&mut queue, team, 7, at);
        }
        let queue::Pushed::Queued(low) = push_item(&mut queue, team, 9, older) else {
            panic!("the queue is not full");
        };
        let bound = u64::from(queue::DEQUEUES_PER_OLDEST) * (older + 1);
        let mut dequeues = 0;
        while queue.get(low).is_some() {
            dequeues += 1;
            assert!(
                dequeues <= bound,
                "seed {seed}: not taken after {dequeues} dequeues"
            );
            push_item(&mut queue, team, 0, older + dequeues);
            let ticket = queue.peek().expect("the queue is not empty");
            queue.take(time::Instant(older + dequeues), ticket);
            queue.shares().charge(team, 100.0);
        }
    }
}

#[test]
fn what_cannot_start_in_time_is_shed_and_nothing_else() {
    for seed in 0..50 {
        let mut random = rand::rngs::SmallRng::seed_from_u64(seed);
        let mut queue = queue::Queue::new(256);
        let team = queue.shares().open(1);
        let mut kept = 0;
        let now = time::Instant(5_000);
        for at in 0..100 {
            let start_by = time::Instant(random.random_range(0..10_000));
            kept += usize::from(start_by >= now);
            let arrived = time::Instant(at);
            let payload = start_by.0 as u32;
            let priority = random.random_range(0..3);
            let expected_ms = 0;
            let item = queue::Item {
                arrived,
                expected_ms,
                start_by,
                priority,
                team,
                payload,
            };
            queue.push(arrived, item);
        }
        assert_eq!(queue.shed(now).len(), 100 - kept);
        assert_eq!(queue.len(), kept);
        while let Some(ticket) = queue.peek() {
            let item = queue.take(now, ticket).expect("the request is queued");
            assert!(item.start_by >= now, "seed {seed}");
        }
    }
}

#[test]
fn a_full_queue_drops_from_the_team_with_the_longest_backlog() {
    let mut queue = queue::Queue::new(10);
    let large = queue.shares().open(1);
    let small = queue.shares().open(1);
    for at in 0..10 {
        push_item(&mut queue, large, 1, at);
    }
    assert!(matches!(
        push_item(&mut queue, large, 1, 11),
        queue::Pushed::Full {
            retry_after_ms: 1..
        }
    ));
    let pushed = push_item(&mut queue, small, 1, 12);
    let queue::Pushed::Displaced {
        ticket,
        shed,
        retry_after_ms,
    } = pushed
    else {
        panic!("{pushed:?}");
    };
    assert!(retry_after_ms > 0);
    assert_eq!(queue.get(ticket).map(|item| item.team), Some(small));
    assert!(queue.get(shed).is_none());
    assert_eq!(queue.shares().backlog(large), 9.0);
    assert_eq!(queue.len(), 10);
}
