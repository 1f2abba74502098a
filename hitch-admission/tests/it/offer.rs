//! Tests of the admission of new calls.

use hitch_admission::Admission;
use hitch_admission::Cancelled;
use hitch_admission::Command;
use hitch_admission::Finished;
use hitch_admission::Offer;
use hitch_admission::RankId;
use hitch_admission::Reason;

use crate::WARM;
use crate::fill;
use crate::ms;
use crate::offer;
use crate::queue;
use crate::queued;

/// Guards against admitting a call that will miss its deadline according to the measured service time.
#[test]
fn call_that_cannot_meet_its_deadline_is_refused() {
    let mut queue = queue();
    let [first, _] = fill(&mut queue, 0);
    let now = WARM + ms(100);
    queue.finish(now, first, Finished::Answered { latency: ms(100) });
    let mut late = offer(0);
    late.deadline = now + ms(90);
    assert_eq!(queue.offer(now, late), Admission::Refused(Reason::Deadline));
    late.expected = Some(ms(50));
    assert!(matches!(queue.offer(now, late), Admission::Run(_)));
}

/// Guards against a measured service time that is never updated, because it exceeds every deadline and so all
/// calls are refused.
#[test]
fn old_service_time_measurement_decays() {
    let mut queue = queue();
    let [first, _] = fill(&mut queue, 0);
    let slow = Finished::Answered {
        latency: ms(10_000),
    };
    queue.finish(WARM, first, slow);
    let later = WARM + ms(10_000);
    let short = Offer {
        rank: RankId::new(0),
        deadline: later + ms(200),
        expected: None,
    };
    assert!(matches!(queue.offer(later, short), Admission::Run(_)));
}

/// Guards against a full queue that keeps calls of low worth and refuses calls of greater worth.
#[test]
fn full_queue_evicts_the_call_of_least_worth() {
    let mut queue = queue();
    fill(&mut queue, 2);
    let enquiries = [2, 2].map(|rank| queued(&mut queue, WARM, offer(rank)));
    for rank in [1, 1] {
        queued(&mut queue, WARM, offer(rank));
    }
    queued(&mut queue, WARM, offer(0));
    let commands = queue.poll(WARM);
    assert_eq!(commands, [Command::Refuse(enquiries[0], Reason::Evicted)]);
    assert_eq!(queue.queued(), 4);
}

/// Guards against a flood that grows a queue without bound.
#[test]
fn queue_of_a_rank_is_bounded() {
    let mut queue = queue();
    fill(&mut queue, 2);
    for _ in 0..1000 {
        queue.offer(WARM, offer(2));
    }
    assert_eq!(queue.queued(), 2);
    assert_eq!(queue.poll(WARM).len(), 998);
}

/// Guards against running a call whose caller disconnected, and against freeing the slot of a cancelled call
/// before it ended.
#[test]
fn cancelled_call_is_dropped_or_keeps_its_slot_until_it_ends() {
    let mut queue = queue();
    let [running, _] = fill(&mut queue, 0);
    let waiting = queued(&mut queue, WARM, offer(0));
    assert_eq!(queue.cancel(WARM, waiting), Cancelled::Dropped);
    assert_eq!(queue.cancel(WARM, running), Cancelled::Running);
    let next = queued(&mut queue, WARM, offer(0));
    assert!(queue.poll(WARM).is_empty(), "the slot is still occupied");
    queue.finish(WARM, running, Finished::Cancelled);
    assert_eq!(queue.poll(WARM), [Command::Start(next)]);
    assert_eq!(queue.cancel(WARM, running), Cancelled::Unknown);
}

/// Guards against new calls on a backend server that is shutting down.
#[test]
fn draining_queue_refuses_queued_and_new_calls() {
    let mut queue = queue();
    fill(&mut queue, 0);
    let waiting = queued(&mut queue, WARM, offer(0));
    queue.drain(WARM);
    assert_eq!(
        queue.poll(WARM),
        [Command::Refuse(waiting, Reason::Draining)]
    );
    assert_eq!(
        queue.offer(WARM, offer(0)),
        Admission::Refused(Reason::Draining)
    );
    assert_eq!(queue.running(), 2);
}
