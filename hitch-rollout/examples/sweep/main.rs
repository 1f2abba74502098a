//! Counts, over many simulated rollouts, how many good versions are rolled back and how many bad ones break a limit.
#![forbid(unsafe_code)]

use std::time::Duration;

use argh::FromArgs;
use hitch_rollout::State;

#[path = "../../tests/it/fleet.rs"]
#[allow(dead_code)]
mod fleet;
#[path = "../../tests/it/store.rs"]
mod store;

use fleet::Day;
use fleet::Flaw;
use fleet::Outcome;

/// Count how many simulated rollouts end as they should.
#[derive(FromArgs)]
struct Args {
    /// simulated rollouts of each kind (default 40)
    #[argh(option, default = "40")]
    seeds: u64,
}

/// Requests a second, servers of each version, and the share of failures in each first and second half of two seconds.
const SERVICES: [(f64, usize, (f64, f64)); 5] = [
    (750.0, 27, (0.01, 0.01)),
    (750.0, 27, (0.05, 0.5)),
    (500.0, 26, (0.02, 0.2)),
    (1_000.0, 27, (0.0, 0.1)),
    (300.0, 10, (0.01, 0.1)),
];

fn main() {
    let args: Args = argh::from_env();
    let fails = |share, seconds| Flaw::Fails {
        share,
        from: Duration::from_secs_f64(seconds),
    };
    let flaws = [
        Flaw::None,
        fails(1.0, 0.0),
        fails(0.4, 0.0),
        fails(0.2, 0.0),
        fails(0.1, 0.0),
        fails(0.3, 6.0),
        fails(0.3, 9.0),
        fails(0.3, 11.0),
        Flaw::FailsUnderLoad {
            share: 0.3,
            load: 0.6,
        },
        Flaw::FailsOnRoute { share: 0.3 },
        Flaw::Slow {
            share: 1.0,
            factor: 3.0,
        },
        Flaw::Slow {
            share: 0.3,
            factor: 4.0,
        },
        Flaw::Slow {
            share: 0.2,
            factor: 6.0,
        },
    ];
    for (rate, servers, failures) in SERVICES {
        println!("{servers} servers, {rate} requests a second, failures {failures:?}");
        for flaw in flaws {
            let days = (0..args.seeds).map(|seed| Day {
                rate,
                servers,
                failures,
                ..Day::new(seed, flaw)
            });
            let outcomes: Vec<Outcome> = days.map(|day| fleet::run(&day)).collect();
            print(flaw, &outcomes);
        }
    }
}

fn print(flaw: Flaw, outcomes: &[Outcome]) {
    let count = |is_counted: &dyn Fn(&Outcome) -> bool| {
        outcomes
            .iter()
            .filter(|outcome| is_counted(outcome))
            .count()
    };
    let ended = |state| count(&|outcome| outcome.end.is_some_and(|(end, _)| end == state));
    let late = count(
        &|outcome| match (outcome.last_exposed, outcome.fiftieth_bad) {
            (Some(last), Some(fiftieth)) => last > fiftieth + fleet::ROLLBACK,
            _ => false,
        },
    );
    let over = count(&|outcome| {
        let limit = fleet::EXPOSURE * f64::from(outcome.requests) + fleet::EXPOSURE_SLACK;
        f64::from(outcome.exposed) > limit
    });
    let exposed: Vec<u32> = outcomes.iter().map(|outcome| outcome.exposed).collect();
    let lost = count(&|outcome| outcome.lost_to_old + outcome.unserved > 0);
    println!(
        "  {:<52} completed {:>3}, rolled back {:>3}, over the share {over:>3}, late {late:>3}, lost calls {lost:>3}, mean exposure {:>5}",
        format!("{flaw:?}"),
        ended(State::Completed),
        ended(State::RolledBack),
        exposed.iter().sum::<u32>() / exposed.len().max(1) as u32,
    );
    for outcome in outcomes {
        if flaw == Flaw::None
            && outcome.end.map(|(state, _)| state) != Some(State::Completed)
            && let Some((at, decision)) = outcome.decisions.last()
        {
            println!("    at {at:?}: {decision}");
        }
    }
}
