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

/// Guards against urgent calls that wait for less urgent ones queued before them, and against a less urgent
/// rank that loses its share.
#[test]
fn most_urgent_rank_starts_first_and_others_keep_their_share() {
    let mut queue = queue();
    let [first, second] = fill(&mut queue, 2);
    let enquiry = queued(&mut queue, WARM, offer(2));
    let fees = [0, 0].map(|rank| queued(&mut queue, WARM, offer(rank)));
    queue.finish(WARM, first, Finished::Failed);
    assert_eq!(queue.poll(WARM), [Command::Start(fees[0])]);
    // One fee runs, which is the share of its rank: half of two slots. The enquiry rank runs nothing, and its
    // deficit grows because its share is half a slot.
    let now = WARM + ms(30);
    queue.finish(WARM, second, Finished::Failed);
    assert_eq!(queue.poll(now), [Command::Start(enquiry)]);
}

/// Guards against running a queued call that can no longer be answered before its deadline.
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

/// Guards against answering late calls one after another, which makes newer calls late too.
#[test]
fn late_call_is_refused_when_another_can_meet_the_target() {
    let mut queue = queue();
    let [first, _] = fill(&mut queue, 0);
    let older = queued(&mut queue, WARM, offer(0));
    let now = WARM + ms(151);
    assert!(queue.poll(now).is_empty(), "no other call is queued");
    let newer = queued(&mut queue, now, offer(0));
    queue.finish(now, first, Finished::Failed);
    assert_eq!(
        queue.poll(now),
        [
            Command::Refuse(older, Reason::Target),
            Command::Start(newer)
        ]
    );
}

/// Guards against a rank that loses its share because its target latency is shorter than its service time.
#[test]
fn late_call_keeps_the_share_of_its_rank() {
    let mut queue = queue();
    let [first, _] = fill(&mut queue, 2);
    let older = queued(&mut queue, WARM, offer(0));
    let now = WARM + ms(151);
    queued(&mut queue, now, offer(2));
    queue.finish(now, first, Finished::Failed);
    assert_eq!(queue.poll(now), [Command::Start(older)]);
}

/// Guards against a call that occupies its slot forever.
#[test]
fn running_call_is_cancelled_at_its_deadline() {
    let mut queue = queue();
    let mut short = offer(0);
    short.deadline = WARM + ms(100);
    let Admission::Run(ticket) = queue.offer(WARM, short) else {
        panic!("an idle server runs a call at once")
    };
    assert_eq!(queue.poll(WARM + ms(100)), [Command::Cancel(ticket)]);
    assert!(
        queue.poll(WARM + ms(101)).is_empty(),
        "a call is cancelled only once"
    );
}

/// Guards against a new contract version that mixes up the calls of ranks, keeps calls of removed ranks, or
/// does not apply the new number of slots.
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

/// Guards against a limit that ignores load-shed answers, falls below its lower bound or never recovers.
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
    // Latency grows in proportion to the limit: the backend server runs four calls at full speed.
    let mut limit = 13;
    for _ in 0..10 * 50 {
        let latency = ms(20) * limit / 4;
        limit = run(&mut queue, &mut now, Finished::Answered { latency }, 1);
    }
    assert!((6..=9).contains(&limit), "{limit}");
}

/// Guards against a limit that stays low for seconds after load shedding ended. A rise of one slot per window
/// of 50 answers would take 10 s at two slots and 400 ms a call.
#[test]
fn limit_recovers_soon_after_the_last_shed_answer() {
    let mut queue = one_rank_queue();
    let mut now = WARM;
    let normal = Finished::Answered { latency: ms(20) };
    assert_eq!(run(&mut queue, &mut now, normal, 200), 13);
    assert_eq!(run(&mut queue, &mut now, Finished::Shed, 100), 2);
    // Each slot answers eight times, which takes about three seconds with calls of 400 ms.
    assert!(run(&mut queue, &mut now, normal, 60) >= 12);
    // Calls are shed continuously, for a reason unrelated to concurrency: one reduction per service time.
    let mut limit = 13;
    for _ in 0..100 {
        run(&mut queue, &mut now, normal, 13);
        limit = run(&mut queue, &mut now, Finished::Shed, 1).min(limit);
    }
    assert!(limit >= 8, "{limit}");
}

/// Guards against a new contract version that makes a reduction of the limit permanent, or that discards the
/// measurements although neither slots nor ranks changed.
#[test]
fn new_contract_does_not_make_a_reduction_permanent() {
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

/// Guards against a limit that reduces capacity although latency does not depend on it.
#[test]
fn limit_recovers_when_a_reduction_has_no_effect() {
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

/// Runs calls of 20 ms one after another, and returns the limit after the last one.
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
