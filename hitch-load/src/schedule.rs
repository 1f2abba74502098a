//! The times at which calls are sent.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::plan::Arrivals;
use crate::plan::Plan;

/// One call of the schedule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Slot {
    /// Time from the start of the run.
    pub at: Duration,
    /// Position of the stream in the plan.
    pub stream: usize,
}

/// A stretch of time with one rate.
#[derive(Debug, Clone, Copy)]
struct Piece {
    from: f64,
    until: f64,
    rate: f64,
}

#[derive(Debug)]
struct Arrival {
    pieces: Vec<Piece>,
    rng: ChaCha8Rng,
    even: bool,
    /// Time of the next arrival, in seconds.
    next: Option<f64>,
}

impl Arrival {
    /// Sets the first arrival. Even arrivals start with half a distance, so that rounding cannot
    /// move one over the end of the run.
    fn start(&mut self) {
        let distance = match self.even {
            true => 0.5,
            false => self.distance(),
        };
        self.advance(distance);
    }

    /// Returns the distance of two arrivals of a process with rate 1.
    fn distance(&mut self) -> f64 {
        match self.even {
            true => 1.0,
            false => -(1.0 - self.rng.random::<f64>()).ln(),
        }
    }

    /// Moves on until the rate, integrated over time, has grown by `distance`.
    fn advance(&mut self, distance: f64) {
        let Some(mut at) = self.next else {
            return;
        };
        let mut distance = distance;
        for piece in &self.pieces {
            if at >= piece.until {
                continue;
            }
            at = at.max(piece.from);
            let room = (piece.until - at) * piece.rate;
            if distance < room {
                self.next = Some(at + distance / piece.rate);
                return;
            }
            distance -= room;
            at = piece.until;
        }
        self.next = None;
    }
}

/// The calls of a plan, in order of time. The same plan and seed give the same schedule.
#[derive(Debug)]
pub struct Schedule {
    arrivals: Vec<Arrival>,
}

impl Schedule {
    /// Makes the schedule of a plan.
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
        let mut arrivals = Vec::new();
        for (i, stream) in plan.streams.iter().enumerate() {
            let mut pieces = Vec::new();
            for pair in boundaries.windows(2) {
                pieces.push(Piece {
                    from: pair[0] as f64 / 1_000.0,
                    until: pair[1] as f64 / 1_000.0,
                    rate: plan.rate_at(stream, pair[0]),
                });
            }
            let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
            rng.set_stream(i as u64);
            let mut arrival = Arrival {
                pieces,
                rng,
                even: plan.arrivals == Arrivals::Even,
                next: Some(0.0),
            };
            arrival.start();
            arrivals.push(arrival);
        }
        Schedule { arrivals }
    }
}

impl Iterator for Schedule {
    type Item = Slot;

    fn next(&mut self) -> Option<Slot> {
        let mut best: Option<(f64, usize)> = None;
        for (stream, arrival) in self.arrivals.iter().enumerate() {
            let Some(at) = arrival.next else {
                continue;
            };
            if best.is_none_or(|(earliest, _)| at < earliest) {
                best = Some((at, stream));
            }
        }
        let (at, stream) = best?;
        let arrival = &mut self.arrivals[stream];
        let distance = arrival.distance();
        arrival.advance(distance);
        Some(Slot {
            at: Duration::from_secs_f64(at),
            stream,
        })
    }
}
