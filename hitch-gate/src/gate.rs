//! The queue beside the backend server, for tasks that wait in it.

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

/// Admits calls to the backend server.
#[derive(Debug, Clone)]
pub struct Gate {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    time: ProcessClock,
    section: Mutex<Section>,
    changed: Notify,
}

/// Whether a queued call runs, or why not.
type Verdict = Result<(), Reason>;

#[derive(Debug)]
struct Section {
    queue: Queue,
    waiting: BTreeMap<Ticket, oneshot::Sender<Verdict>>,
    cancels: BTreeMap<Ticket, Arc<Notify>>,
    /// When the task that drives the queue polls it next.
    driven_at: Option<Duration>,
}

/// The state of the queue that answers carry.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Calls running on the backend server.
    pub running: u32,
    /// Calls that wait.
    pub queued: u32,
    /// Calls that run at once.
    pub limit: u32,
}

impl Gate {
    /// Makes the gate of a backend server that starts cold now.
    ///
    /// ```
    /// let service = hitch_contract::Service { name: "ledger".into(), slots: 13, connections: 130 };
    /// let gate = hitch_gate::gate::Gate::new(hitch_gate::time::ProcessClock::start(), &service, &[], Default::default());
    /// assert_eq!(gate.load().running, 0);
    /// ```
    pub fn new(time: ProcessClock, service: &Service, ranks: &[Rank], options: Options) -> Gate {
        let queue = Queue::new(time.now(), service, ranks, options);
        let section = Section {
            queue,
            waiting: BTreeMap::new(),
            cancels: BTreeMap::new(),
            driven_at: None,
        };
        let shared = Shared {
            time,
            section: Mutex::new(section),
            changed: Notify::new(),
        };
        Gate {
            shared: Arc::new(shared),
        }
    }

    /// Takes over another version of the contract.
    ///
    /// ```
    /// # let service = hitch_contract::Service { name: "ledger".into(), slots: 13, connections: 130 };
    /// # let gate = hitch_gate::gate::Gate::new(hitch_gate::time::ProcessClock::start(), &service, &[], Default::default());
    /// gate.reconfigure(&service, &[]);
    /// ```
    pub fn reconfigure(&self, service: &Service, ranks: &[Rank]) {
        self.change(|queue, now| queue.reconfigure(now, service, ranks));
    }

    /// Refuses queued calls and every later one; running calls go on.
    ///
    /// ```
    /// # let service = hitch_contract::Service { name: "ledger".into(), slots: 13, connections: 130 };
    /// # let gate = hitch_gate::gate::Gate::new(hitch_gate::time::ProcessClock::start(), &service, &[], Default::default());
    /// gate.drain();
    /// ```
    pub fn drain(&self) {
        self.change(|queue, now| queue.drain(now));
    }

    /// Ramps the limit up anew after a restart of the backend server.
    ///
    /// ```
    /// # let service = hitch_contract::Service { name: "ledger".into(), slots: 13, connections: 130 };
    /// # let gate = hitch_gate::gate::Gate::new(hitch_gate::time::ProcessClock::start(), &service, &[], Default::default());
    /// gate.restart();
    /// ```
    pub fn restart(&self) {
        self.change(|queue, now| queue.restart(now));
    }

    /// Returns the state of the queue.
    ///
    /// ```
    /// # let service = hitch_contract::Service { name: "ledger".into(), slots: 13, connections: 130 };
    /// # let gate = hitch_gate::gate::Gate::new(hitch_gate::time::ProcessClock::start(), &service, &[], Default::default());
    /// assert_eq!(gate.load().queued, 0);
    /// ```
    pub fn load(&self) -> Load {
        let section = lock(&self.shared.section);
        let queue = &section.queue;
        Load {
            running: queue.running(),
            queued: queue.queued() as u32,
            limit: queue.limit(self.shared.time.now()),
        }
    }

    /// Returns the measured service time of a rank's calls, zero while nothing was measured lately.
    ///
    /// ```
    /// # let service = hitch_contract::Service { name: "ledger".into(), slots: 13, connections: 130 };
    /// # let gate = hitch_gate::gate::Gate::new(hitch_gate::time::ProcessClock::start(), &service, &[], Default::default());
    /// assert!(gate.service_time("fee").is_zero());
    /// ```
    pub fn service_time(&self, rank: &str) -> Duration {
        let queue = &lock(&self.shared.section).queue;
        let rank = queue.try_find(rank);
        rank.map_or(Duration::ZERO, |rank| {
            queue.service_time(self.shared.time.now(), rank)
        })
    }

    /// Waits for a slot. A future that is dropped leaves the queue.
    ///
    /// `deadline` is the time since process start by which the answer must be complete.
    ///
    /// ```
    /// # async fn run(gate: hitch_gate::gate::Gate) {
    /// let deadline = std::time::Duration::from_secs(2);
    /// let permit = gate.acquire("fee", deadline).await;
    /// # }
    /// ```
    pub async fn acquire(&self, rank: &str, deadline: Duration) -> Result<Permit, Reason> {
        let (mut permit, rx) = self.offer(rank, deadline)?;
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
        deadline: Duration,
    ) -> Result<(Permit, Option<oneshot::Receiver<Verdict>>), Reason> {
        let cancel = Arc::new(Notify::new());
        let mut section = lock(&self.shared.section);
        let now = self.shared.time.now();
        let rank = section.queue.try_find(rank).ok_or(Reason::UnknownRank)?;
        let offered = section.queue.offer(
            now,
            Offer {
                rank,
                deadline,
                expected: None,
            },
        );
        let result = match offered {
            Admission::Run(ticket) => Ok((ticket, None)),
            Admission::Queued(ticket) => {
                let (tx, rx) = oneshot::channel();
                section.waiting.insert(ticket, tx);
                Ok((ticket, Some(rx)))
            }
            Admission::Refused(reason) => Err(reason),
        };
        if let Ok((ticket, _)) = &result {
            section.cancels.insert(*ticket, cancel.clone());
        }
        self.poll(section, now);
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

    /// Polls the queue whenever it asks for it, for as long as the process runs.
    ///
    /// ```
    /// # async fn run(gate: hitch_gate::gate::Gate) {
    /// tokio::spawn(async move { gate.drive().await });
    /// # }
    /// ```
    pub async fn drive(&self) {
        loop {
            let next = {
                let mut section = lock(&self.shared.section);
                let now = self.shared.time.now();
                section.poll(now);
                section
                    .queue
                    .next_poll(now)
                    .map(|at| at.saturating_sub(now))
            };
            let changed = self.shared.changed.notified();
            match next {
                Some(wait) => {
                    // A poll that is due at once would otherwise keep the thread busy.
                    let wait = wait.max(Duration::from_millis(1));
                    let _ = tokio::time::timeout(wait, changed).await;
                }
                None => changed.await,
            }
        }
    }

    /// Polls the queue, and wakes the task that drives it only when that has to poll earlier than it
    /// would: each wake costs the call a switch of threads.
    fn poll(&self, mut section: MutexGuard<'_, Section>, now: Duration) {
        section.poll(now);
        let next = section.queue.next_poll(now);
        let earlier = match (next, section.driven_at) {
            (Some(next), Some(driven_at)) => next < driven_at,
            (next, None) => next.is_some(),
            (None, Some(_)) => false,
        };
        drop(section);
        if earlier {
            self.shared.changed.notify_one();
        }
    }

    fn change(&self, f: impl FnOnce(&mut Queue, Duration)) {
        let mut section = lock(&self.shared.section);
        let now = self.shared.time.now();
        f(&mut section.queue, now);
        self.poll(section, now);
    }
}

impl Section {
    fn poll(&mut self, now: Duration) {
        for command in self.queue.poll(now) {
            match command {
                Command::Start(ticket) => self.wake(now, ticket, Ok(())),
                Command::Refuse(ticket, reason) => {
                    self.cancels.remove(&ticket);
                    self.wake(now, ticket, Err(reason));
                }
                Command::Cancel(ticket) => {
                    if let Some(cancel) = self.cancels.get(&ticket) {
                        cancel.notify_one();
                    }
                }
            }
        }
    }

    fn wake(&mut self, now: Duration, ticket: Ticket, result: Verdict) {
        let Some(tx) = self.waiting.remove(&ticket) else {
            return;
        };
        let started = result.is_ok();
        if tx.send(result).is_err() && started {
            // The caller left between its removal from the queue and this command.
            self.queue.finish(now, ticket, Finished::Cancelled);
            self.cancels.remove(&ticket);
        }
    }
}

/// A slot of the backend server, or a place in the queue. Dropping it frees either.
#[derive(Debug)]
pub struct Permit {
    gate: Gate,
    ticket: Option<Ticket>,
    cancel: Arc<Notify>,
}

impl Permit {
    /// Waits until the queue wants the running call to be cancelled, because its deadline passed.
    ///
    /// ```
    /// # async fn run(permit: hitch_gate::gate::Permit) {
    /// permit.cancelled().await;
    /// # }
    /// ```
    pub async fn cancelled(&self) {
        self.cancel.notified().await;
    }

    /// Frees the slot and tells the queue how the call ended.
    ///
    /// ```
    /// # fn run(permit: hitch_gate::gate::Permit) {
    /// permit.finish(hitch_admission::Finished::Failed);
    /// # }
    /// ```
    pub fn finish(mut self, finished: Finished) {
        self.end(finished);
    }

    fn end(&mut self, finished: Finished) {
        let Some(ticket) = self.ticket.take() else {
            return;
        };
        let mut section = lock(&self.gate.shared.section);
        let now = self.gate.shared.time.now();
        section.waiting.remove(&ticket);
        section.cancels.remove(&ticket);
        section.queue.cancel(now, ticket);
        section.queue.finish(now, ticket, finished);
        self.gate.poll(section, now);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.end(Finished::Cancelled);
    }
}
