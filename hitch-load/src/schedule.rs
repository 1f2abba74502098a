//! Times at which the calls of a plan are sent.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::plan::Arrivals;
use crate::plan::Plan;

/// A call and the time at which it is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ScheduledCall {
    /// Time from the start of the run.
    pub at: Duration,
    /// Index of the stream in the plan.
    pub stream: usize,
}

/// A time interval with a constant rate, in seconds and calls per second.
#[derive(Debug, Clone, Copy)]
struct Segment {
    from: f64,
    until: f64,
    rate: f64,
}

/// Arrivals of one stream: a Poisson process or equal intervals, at a rate that changes between
/// segments.
#[derive(Debug)]
struct ArrivalProcess {
    segments: Vec<Segment>,
    rng: ChaCha8Rng,
    even: bool,
    /// Time of the next arrival, in seconds; `None` after the last one.
    next: Option<f64>,
}

impl ArrivalProcess {
    /// Sets the first arrival. Even arrivals start after half an interval, because rounding could
    /// otherwise move the last one past the end of the run.
    fn start(&mut self) {
        let interval = match self.even {
            true => 0.5,
            false => self.unit_interval(),
        };
        self.advance(interval);
    }

    /// Returns the next interval between two arrivals of a process with rate 1.
    fn unit_interval(&mut self) -> f64 {
        match self.even {
            true => 1.0,
            false => -(1.0 - self.rng.random::<f64>()).ln(),
        }
    }

    /// Moves to the next arrival: the time up to which the rate, integrated from the current
    /// arrival, amounts to `unit_interval`.
    fn advance(&mut self, unit_interval: f64) {
        let Some(mut at) = self.next else {
            return;
        };
        let mut remaining = unit_interval;
        for segment in &self.segments {
            if at >= segment.until {
                continue;
            }
            at = at.max(segment.from);
            let segment_calls = (segment.until - at) * segment.rate;
            if remaining < segment_calls {
                self.next = Some(at + remaining / segment.rate);
                return;
            }
            remaining -= segment_calls;
            at = segment.until;
        }
        self.next = None;
    }
}

/// Iterator over the calls of a plan in order of time. The same plan and seed give the same
/// schedule.
#[derive(Debug)]
pub struct Schedule {
    processes: Vec<ArrivalProcess>,
}

impl Schedule {
    /// Creates the schedule of a plan.
    ///
    /// ```
    /// use hitch_load::schedule::Schedule;
    ///
    /// let text = "
    /// targets: []
    /// duration_ms: 1000
    /// arrivals: even
    /// streams:
    ///   - { name: a, customer: c, rank: r, method: GET, path: /, rate: 10 }
    /// ";
    /// let plan = hitch_load::plan::from_str("plan.yaml", text).unwrap();
    /// assert_eq!(Schedule::new(&plan).count(), 10);
    /// ```
    pub fn new(plan: &Plan) -> Schedule {
        let boundaries: Vec<u64> = plan.boundaries().into_iter().collect();
        let mut processes = Vec::new();
        for (index, stream) in plan.streams.iter().enumerate() {
            let mut segments = Vec::new();
            for pair in boundaries.windows(2) {
                segments.push(Segment {
                    from: pair[0] as f64 / 1_000.0,
                    until: pair[1] as f64 / 1_000.0,
                    rate: plan.rate_at(stream, pair[0]),
                });
            }
            let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
            rng.set_stream(index as u64);
            let mut process = ArrivalProcess {
                segments,
                rng,
                even: plan.arrivals == Arrivals::Even,
                next: Some(0.0),
            };
            process.start();
            processes.push(process);
        }
        Schedule { processes }
    }
}

impl Iterator for Schedule {
    type Item = ScheduledCall;

    fn next(&mut self) -> Option<ScheduledCall> {
        let mut earliest_call: Option<(f64, usize)> = None;
        for (stream, process) in self.processes.iter().enumerate() {
            let Some(at) = process.next else {
                continue;
            };
            if earliest_call.is_none_or(|(earliest, _)| at < earliest) {
                earliest_call = Some((at, stream));
            }
        }
        let (at, stream) = earliest_call?;
        let process = &mut self.processes[stream];
        let interval = process.unit_interval();
        process.advance(interval);
        Some(ScheduledCall {
            at: Duration::from_secs_f64(at),
            stream,
        })
    }
}
