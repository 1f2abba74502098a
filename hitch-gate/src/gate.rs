//! Asynchronous admission to a backend server: a [`Queue`] shared by tasks, each of which waits for its call
//! to be admitted.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use hitch_admission::Admission;
use hitch_admission::Command;
use hitch_admission::Finished;
use hitch_admission::Offer;
use hitch_admission::Options;
use hitch_admission::Queue;
use hitch_admission::Reason;
use hitch_admission::Ticket;
use hitch_contract::Rank;
use hitch_contract::Service;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::shards::lock;
use crate::time::ProcessClock;

/// Admits calls to a backend server. Clones share one queue.
#[derive(Debug, Clone)]
pub struct Gate {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    time: ProcessClock,
    state: Mutex<State>,
    /// Wakes the task in [`Gate::drive`].
    poll_earlier: Notify,
}

/// Whether a queued call runs, or the reason why it is refused.
type Verdict = Result<(), Reason>;

#[derive(Debug)]
struct State {
    queue: Queue,
    /// Where to send the verdict on each queued call.
    verdict_senders: BTreeMap<Ticket, oneshot::Sender<Verdict>>,
    /// Notified when the running call of the ticket is to be cancelled.
    cancel_signals: BTreeMap<Ticket, Arc<Notify>>,
    /// Time at which the task in [`Gate::drive`] polls the queue next, if known.
    next_poll_at: Option<Duration>,
}

/// Load of a backend server, as reported with answers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of calls that run on the backend server.
    pub running: u32,
    /// Number of queued calls.
    pub queued: u32,
    /// Number of calls that may run concurrently.
    pub limit: u32,
}

/// Calls that take about equally long, such as those of one route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Class<'a> {
    /// Name of the class.
    pub name: &'a str,
    /// Target latency of its calls.
    pub target: Duration,
}

impl Gate {
    /// Creates the gate of a backend server that starts now; the concurrency limit begins at its lower bound.
    ///
    /// ```
    /// let service = hitch_contract::Service { name: "ledger".into(), slots: 13, connections: 130 };
    /// let gate = hitch_gate::gate::Gate::new(hitch_gate::time::ProcessClock::start(), &service, &[], Default::default());
    /// assert_eq!(gate.load().running, 0);
    /// ```
    pub fn new(time: ProcessClock, service: &Service, ranks: &[Rank], options: Options) -> Gate {
        let queue = Queue::new(time.now(), service, ranks, options);
        let state = State {
            queue,
            verdict_senders: BTreeMap::new(),
            cancel_signals: BTreeMap::new(),
            next_poll_at: None,
        };
        let shared = Shared {
            time,
            state: Mutex::new(state),
            poll_earlier: Notify::new(),
        };
        Gate {
            shared: Arc::new(shared),
        }
    }

    /// Applies another version of the contract.
    ///
    /// ```
    /// # let service = hitch_contract::Service { name: "ledger".into(), slots: 13, connections: 130 };
    /// # let gate = hitch_gate::gate::Gate::new(hitch_gate::time::ProcessClock::start(), &service, &[], Default::default());
    /// gate.reconfigure(&service, &[]);
    /// ```
    pub fn reconfigure(&self, service: &Service, ranks: &[Rank]) {
        self.update(|queue, now| queue.reconfigure(now, service, ranks));
    }

    /// Refuses all queued and later calls; running calls continue.
    ///
    /// ```
    /// # let service = hitch_contract::Service { name: "ledger".into(), slots: 13, connections: 130 };
    /// # let gate = hitch_gate::gate::Gate::new(hitch_gate::time::ProcessClock::start(), &service, &[], Default::default());
    /// gate.drain();
    /// ```
    pub fn drain(&self) {
        self.update(|queue, now| queue.drain(now));
    }

    /// Ramps the concurrency limit up from its lower bound again, because the backend server restarted.
    ///
    /// ```
    /// # let service = hitch_contract::Service { name: "ledger".into(), slots: 13, connections: 130 };
    /// # let gate = hitch_gate::gate::Gate::new(hitch_gate::time::ProcessClock::start(), &service, &[], Default::default());
    /// gate.restart();
    /// ```
    pub fn restart(&self) {
        self.update(|queue, now| queue.restart(now));
    }

    /// Returns the current load.
    ///
    /// ```
    /// # let service = hitch_contract::Service { name: "ledger".into(), slots: 13, connections: 130 };
    /// # let gate = hitch_gate::gate::Gate::new(hitch_gate::time::ProcessClock::start(), &service, &[], Default::default());
    /// assert_eq!(gate.load().queued, 0);
    /// ```
    pub fn load(&self) -> Load {
        let state = lock(&self.shared.state);
        let queue = &state.queue;
        Load {
            running: queue.running(),
            queued: queue.queued() as u32,
            limit: queue.limit(self.shared.time.now()),
        }
    }

    /// Returns the mean measured service time of a rank's calls: zero for an unknown rank or before the first
    /// measurement, and decaying to zero without recent ones.
    ///
    /// ```
    /// # let service = hitch_contract::Service { name: "ledger".into(), slots: 13, connections: 130 };
    /// # let gate = hitch_gate::gate::Gate::new(hitch_gate::time::ProcessClock::start(), &service, &[], Default::default());
    /// assert!(gate.service_time("fee").is_zero());
    /// ```
    pub fn service_time(&self, rank: &str) -> Duration {
        let queue = &lock(&self.shared.state).queue;
        let rank = queue.try_find(rank);
        rank.map_or(Duration::ZERO, |rank| {
            queue.service_time(self.shared.time.now(), rank)
        })
    }

    /// Returns the time after which a new call is expected to have room; zero if it has room now, or for an unknown rank.
    /// `time_limit` is the time within which the answer must be complete.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # let service = hitch_contract::Service { name: "ledger".into(), slots: 13, connections: 130 };
    /// # let gate = hitch_gate::gate::Gate::new(hitch_gate::time::ProcessClock::start(), &service, &[], Default::default());
    /// assert!(gate.time_until_room("fee", None, Duration::from_secs(1)).is_zero());
    /// ```
    pub fn time_until_room(
        &self,
        rank: &str,
        class: Option<Class<'_>>,
        time_limit: Duration,
    ) -> Duration {
        let queue = &mut lock(&self.shared.state).queue;
        let now = self.shared.time.now();
        let Some(rank) = queue.try_find(rank) else {
            return Duration::ZERO;
        };
        let class = class.and_then(|class| queue.class(class.name, class.target));
        queue.time_until_room(now, rank, class, time_limit)
    }

    /// Waits for a slot of the backend server. Dropping the future removes the call from the queue.
    ///
    /// `deadline` is the time since process start by which the answer must be complete. The error is the
    /// reason why the call was refused; the call was not run.
    ///
    /// ```
    /// # async fn run(gate: hitch_gate::gate::Gate) {
    /// let deadline = std::time::Duration::from_secs(2);
    /// let permit = gate.acquire("fee", deadline).await;
    /// # }
    /// ```
    pub async fn acquire(&self, rank: &str, deadline: Duration) -> Result<Permit, Reason> {
        self.acquire_for(rank, None, deadline).await
    }

    /// As [`Gate::acquire`], for a call of a class, whose measured service time is used.
    ///
    /// ```
    /// # async fn run(gate: hitch_gate::gate::Gate) {
    /// # use std::time::Duration;
    /// let class = hitch_gate::gate::Class { name: "/fees/", target: Duration::from_millis(300) };
    /// let permit = gate.acquire_for("fee", Some(class), Duration::from_secs(2)).await;
    /// # }
    /// ```
    pub async fn acquire_for(
        &self,
        rank: &str,
        class: Option<Class<'_>>,
        deadline: Duration,
    ) -> Result<Permit, Reason> {
        let (mut permit, rx) = self.offer(rank, class, deadline)?;
        let Some(rx) = rx else { return Ok(permit) };
        match rx.await {
            Ok(Ok(())) => Ok(permit),
            Ok(Err(reason)) => {
                permit.ticket = None;
                Err(reason)
            }
            Err(_) => Err(Reason::Draining),
        }
    }

    fn offer(
        &self,
        rank: &str,
        class: Option<Class<'_>>,
        deadline: Duration,
    ) -> Result<(Permit, Option<oneshot::Receiver<Verdict>>), Reason> {
        let cancel = Arc::new(Notify::new());
        let mut state = lock(&self.shared.state);
        let now = self.shared.time.now();
        let rank = state.queue.try_find(rank).ok_or(Reason::UnknownRank)?;
        let class = class.and_then(|class| state.queue.class(class.name, class.target));
        let offer = Offer {
            rank,
            deadline,
            expected: None,
        };
        let offered = state.queue.offer_of_class(now, offer, class);
        let result = match offered {
            Admission::Run(ticket) => Ok((ticket, None)),
            Admission::Queued(ticket) => {
                let (tx, rx) = oneshot::channel();
                state.verdict_senders.insert(ticket, tx);
                Ok((ticket, Some(rx)))
            }
            Admission::Refused(reason) => Err(reason),
        };
        if let Ok((ticket, _)) = &result {
            state.cancel_signals.insert(*ticket, cancel.clone());
        }
        self.poll(state, now);
        let (ticket, rx) = result?;
        Ok((
            Permit {
                gate: self.clone(),
                ticket: Some(ticket),
                cancel,
            },
            rx,
        ))
    }

    /// Polls the queue at the times that it asks for. Never returns; one task must run this for as long as
    /// the gate is in use.
    ///
    /// ```
    /// # async fn run(gate: hitch_gate::gate::Gate) {
    /// tokio::spawn(async move { gate.drive().await });
    /// # }
    /// ```
    pub async fn drive(&self) {
        loop {
            let next = {
                let mut state = lock(&self.shared.state);
                let now = self.shared.time.now();
                state.poll(now);
                state.queue.next_poll(now).map(|at| at.saturating_sub(now))
            };
            let poll_earlier = self.shared.poll_earlier.notified();
            match next {
                Some(wait) => {
                    // Without a minimum, a poll that is due at once would keep the thread busy.
                    let wait = wait.max(Duration::from_millis(1));
                    let _ = tokio::time::timeout(wait, poll_earlier).await;
                }
                None => poll_earlier.await,
            }
        }
    }

    /// Polls the queue, and wakes the task in [`Gate::drive`] only if it has to poll earlier than planned:
    /// each wake costs the call a switch of threads.
    fn poll(&self, mut state: MutexGuard<'_, State>, now: Duration) {
        state.poll(now);
        let next = state.queue.next_poll(now);
        let must_wake = match (next, state.next_poll_at) {
            (Some(next), Some(next_poll_at)) => next < next_poll_at,
            (next, None) => next.is_some(),
            (None, Some(_)) => false,
        };
        drop(state);
        if must_wake {
            self.shared.poll_earlier.notify_one();
        }
    }

    fn update(&self, operation: impl FnOnce(&mut Queue, Duration)) {
        let mut state = lock(&self.shared.state);
        let now = self.shared.time.now();
        operation(&mut state.queue, now);
        self.poll(state, now);
    }
}

impl State {
    /// Polls the queue and executes its commands.
    fn poll(&mut self, now: Duration) {
        for command in self.queue.poll(now) {
            match command {
                Command::Start(ticket) => self.send_verdict(now, ticket, Ok(())),
                Command::Refuse(ticket, reason) => {
                    self.cancel_signals.remove(&ticket);
                    self.send_verdict(now, ticket, Err(reason));
                }
                Command::Cancel(ticket) => {
                    if let Some(cancel) = self.cancel_signals.get(&ticket) {
                        cancel.notify_one();
                    }
                }
            }
        }
    }

    /// Sends the verdict on a queued call to the task that waits for it.
    fn send_verdict(&mut self, now: Duration, ticket: Ticket, verdict: Verdict) {
        let Some(tx) = self.verdict_senders.remove(&ticket) else {
            return;
        };
        let started = verdict.is_ok();
        if tx.send(verdict).is_err() && started {
            // The future of the call was dropped and its permit is not released yet: free the slot at once.
            self.queue.finish(now, ticket, Finished::Cancelled);
            self.cancel_signals.remove(&ticket);
        }
    }
}

/// A slot of the backend server, or a place in its queue while the call waits. Dropping the permit releases
/// it.
#[derive(Debug)]
pub struct Permit {
    gate: Gate,
    /// `None` once the call was refused or the slot or place was released.
    ticket: Option<Ticket>,
    cancel: Arc<Notify>,
}

impl Permit {
    /// Waits until the queue asks for the running call to be cancelled, because its deadline passed.
    ///
    /// ```
    /// # async fn run(permit: hitch_gate::gate::Permit) {
    /// permit.cancelled().await;
    /// # }
    /// ```
    pub async fn cancelled(&self) {
        self.cancel.notified().await;
    }

    /// Frees the slot and records how the call ended.
    ///
    /// ```
    /// # fn run(permit: hitch_gate::gate::Permit) {
    /// permit.finish(hitch_admission::Finished::Failed);
    /// # }
    /// ```
    pub fn finish(mut self, finished: Finished) {
        self.release(finished);
    }

    fn release(&mut self, finished: Finished) {
        let Some(ticket) = self.ticket.take() else {
            return;
        };
        let mut state = lock(&self.gate.shared.state);
        let now = self.gate.shared.time.now();
        state.verdict_senders.remove(&ticket);
        state.cancel_signals.remove(&ticket);
        state.queue.cancel(now, ticket);
        state.queue.finish(now, ticket, finished);
        self.gate.poll(state, now);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.release(Finished::Cancelled);
    }
}
