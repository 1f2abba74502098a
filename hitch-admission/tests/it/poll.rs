//! Tests of scheduling.

use std::time::Duration;

use hitch_admission::Admission;
use hitch_admission::Command;
use hitch_admission::Finished;
use hitch_admission::Reason;

use crate::WARM;
use crate::fill;
use crate::ms;
use crate::offer;
use crate::queue;
use crate::queued;
use crate::rank;

/// Guards against urgent work behind less urgent work that came first.
#[test]
fn most_urgent_rank_goes_first_and_others_keep_their_share() {
    let mut queue = queue();
    let [first, second] = fill(&mut queue, 2);
    let enquiry = queued(&mut queue, WARM, offer(2));
    let fees = [0, 0].map(|rank| queued(&mut queue, WARM, offer(rank)));
    queue.finish(WARM, first, Finished::Failed);
    assert_eq!(queue.poll(WARM), [Command::Start(fees[0])]);
    // One fee runs, which is its share of two slots; the enquiry falls behind its share of half a slot.
    let now = WARM + ms(30);
    queue.finish(WARM, second, Finished::Failed);
    assert_eq!(queue.poll(now), [Command::Start(enquiry)]);
}

/// Guards against running a queued call after it can no longer be answered in time.
#[test]
fn queued_call_is_refused_when_its_deadline_cannot_be_met() {
    let mut queue = queue();
    fill(&mut queue, 0);
    let mut short = offer(0);
    short.deadline = WARM + ms(100);
    let ticket = queued(&mut queue, WARM, short);
    assert_eq!(queue.next_poll(WARM), Some(WARM + ms(100)));
    assert!(queue.poll(WARM + ms(99)).is_empty());
    assert_eq!(
        queue.poll(WARM + ms(100)),
        [Command::Refuse(ticket, Reason::Deadline)]
    );
}

/// Guards against serving late calls one after another while newer ones become late too.
#[test]
fn late_call_gives_way_to_one_that_can_meet_its_target() {
    let mut queue = queue();
    let [first, _] = fill(&mut queue, 0);
    let old = queued(&mut queue, WARM, offer(0));
    let now = WARM + ms(151);
    assert!(queue.poll(now).is_empty(), "nothing else waits");
    let fresh = queued(&mut queue, now, offer(0));
    queue.finish(now, first, Finished::Failed);
    assert_eq!(
        queue.poll(now),
        [Command::Refuse(old, Reason::Target), Command::Start(fresh)]
    );
}

/// Guards against a rank that loses its share because its target is shorter than its service time.
#[test]
fn late_call_keeps_the_share_of_its_rank() {
    let mut queue = queue();
    let [first, _] = fill(&mut queue, 2);
    let old = queued(&mut queue, WARM, offer(0));
    let now = WARM + ms(151);
    queued(&mut queue, now, offer(2));
    queue.finish(now, first, Finished::Failed);
    assert_eq!(queue.poll(now), [Command::Start(old)]);
}

/// Guards against a call that holds its slot for ever.
#[test]
fn running_call_is_cancelled_at_its_deadline() {
    let mut queue = queue();
    let mut short = offer(0);
    short.deadline = WARM + ms(100);
    let Admission::Run(ticket) = queue.offer(WARM, short) else {
        panic!("an idle server runs a call at once")
    };
    assert_eq!(queue.poll(WARM + ms(100)), [Command::Cancel(ticket)]);
    assert!(queue.poll(WARM + ms(101)).is_empty(), "told once");
}

/// Guards against a rank that keeps the slots of another version of the contract.
#[test]
fn new_contract_moves_ranks_by_name() {
    let mut queue = queue();
    fill(&mut queue, 0);
    let fee = queued(&mut queue, WARM, offer(0));
    let enquiry = queued(&mut queue, WARM, offer(2));
    let service = hitch_contract::Service {
        name: "ledger".into(),
        slots: 3,
        connections: 20,
    };
    queue.reconfigure(
        WARM,
        &service,
        &[rank("claim", 300, 20, 25), rank("fee", 150, 100, 50)],
    );
    assert_eq!(queue.try_find("fee").map(|id| id.position()), Some(1));
    assert_eq!(
        queue.poll(WARM),
        [
            Command::Refuse(enquiry, Reason::UnknownRank),
            Command::Start(fee)
        ]
    );
}

/// Guards against a limit that ignores load-shed answers, falls below its floor or never recovers.
#[test]
fn limit_follows_load_shed_answers_and_latency() {
    let mut queue = one_rank_queue();
    assert_eq!((queue.limit(Duration::ZERO), queue.limit(WARM)), (2, 13));
    let mut now = WARM;
    let normal = Finished::Answered { latency: ms(20) };
    assert_eq!(run(&mut queue, &mut now, normal, 200), 13);
    assert_eq!(run(&mut queue, &mut now, Finished::Shed, 1), 10);
    assert_eq!(run(&mut queue, &mut now, Finished::Shed, 100), 2);
    assert_eq!(run(&mut queue, &mut now, normal, 50 * 11), 13);
    // Latency in proportion to the limit: four calls run at full speed.
    let mut limit = 13;
    for _ in 0..10 * 50 {
        let latency = ms(20) * limit / 4;
        limit = run(&mut queue, &mut now, Finished::Answered { latency }, 1);
    }
    assert!((6..=9).contains(&limit), "{limit}");
}

/// Guards against a backend server that is left idle for seconds after it shed load for a time: 50 answers for each
/// slot, as the latency takes them, are 10 s at two slots and 400 ms a call.
#[test]
fn limit_is_back_soon_after_the_last_shed_answer() {
    let mut queue = one_rank_queue();
    let mut now = WARM;
    let normal = Finished::Answered { latency: ms(20) };
    assert_eq!(run(&mut queue, &mut now, normal, 200), 13);
    assert_eq!(run(&mut queue, &mut now, Finished::Shed, 100), 2);
    // Each slot answers eight times in about three seconds of calls that take 400 ms.
    assert!(run(&mut queue, &mut now, normal, 60) >= 12);
    // Calls are shed all the time, for a reason that has nothing to do with concurrency: one cut in a service time.
    let mut limit = 13;
    for _ in 0..100 {
        run(&mut queue, &mut now, normal, 13);
        limit = run(&mut queue, &mut now, Finished::Shed, 1).min(limit);
    }
    assert!(limit >= 8, "{limit}");
}

/// Guards against a new version of the contract that makes a lowered limit last, or forgets what was measured although
/// neither slots nor ranks changed.
#[test]
fn new_contract_does_not_keep_the_limit_down() {
    for slots in [13, 12] {
        let mut queue = one_rank_queue();
        let mut now = WARM;
        let normal = Finished::Answered { latency: ms(20) };
        run(&mut queue, &mut now, normal, 200);
        assert_eq!(run(&mut queue, &mut now, Finished::Shed, 100), 2);
        let service = hitch_contract::Service {
            name: "ledger".into(),
            slots,
            connections: 130,
        };
        let limit = queue.limit(WARM * 2);
        queue.reconfigure(WARM * 2, &service, &[rank("fee", 150, 100, 50)]);
        assert!(queue.limit(WARM * 2) <= limit);
        assert!(
            run(&mut queue, &mut now, normal, 60) >= slots - 1,
            "{slots} slots"
        );
    }
}

/// Guards against a limit that takes capacity away although latency does not depend on it.
#[test]
fn limit_recovers_when_a_cut_does_not_help() {
    let mut queue = one_rank_queue();
    let mut now = WARM;
    let mut run = |millis: u64, times: u32| {
        for _ in 0..times {
            let Admission::Run(ticket) = queue.offer(now, offer(0)) else {
                panic!("an idle server runs a call at once")
            };
            now += ms(millis);
            let latency = ms(millis);
            queue.finish(now, ticket, Finished::Answered { latency });
        }
        queue.limit(now)
    };
    assert_eq!(run(20, 200), 13);
    assert!(run(100, 50) < 13);
    assert_eq!(run(100, 100 + 13), 13);
    assert_eq!(run(100, 300), 13);
}

/// Runs calls of 20 ms one after the other, and returns the limit after the last.
fn run(
    queue: &mut hitch_admission::Queue,
    now: &mut Duration,
    finished: Finished,
    times: u32,
) -> u32 {
    for _ in 0..times {
        let Admission::Run(ticket) = queue.offer(*now, offer(0)) else {
            panic!("an idle server runs a call at once")
        };
        *now += ms(20);
        queue.finish(*now, ticket, finished);
    }
    queue.limit(*now)
}

fn one_rank_queue() -> hitch_admission::Queue {
    let service = hitch_contract::Service {
        name: "ledger".into(),
        slots: 13,
        connections: 130,
    };
    let ranks = [rank("fee", 150, 100, 50)];
    hitch_admission::Queue::new(Duration::ZERO, &service, &ranks, Default::default())
}
