//! Simulation of open-loop arrivals at one backend server with a [`ServerQueue`] or a baseline.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use carobstep_clock::BootTime;
use carobstep_dispatch::{
    CustomerKey, QueueAdmission, QueueEvent, QueueLimits, QueueTicket, ServerQueue, TicketKey,
};

use super::{Samples, Timeline};

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// Deadline order: [`ServerQueue`].
    Deadline,
    /// Baseline: first in, first out; refuses nothing.
    Fifo,
    /// Baseline: last in, first out; refuses nothing.
    Lifo,
}

#[derive(Clone, Copy, Debug)]
pub struct QueueRun {
    pub policy: Policy,
    pub slots: u16,
    pub service_time: Duration,
    pub time_limit: Duration,
    /// Offered load per customer, as a multiple of the capacity of the slots.
    pub loads: &'static [f64],
    /// Share of the refused callers that return after the retry-after delay.
    pub return_share: f64,
    pub seconds: u64,
    pub seed: u64,
}

#[derive(Clone, Debug, Default)]
pub struct QueueFigures {
    pub offered: u64,
    /// Replies per second that met their deadline.
    pub goodput: f64,
    /// Latencies of the replies that met their deadline, per customer.
    pub latencies: Vec<Vec<Duration>>,
    /// Times from the offer to the refusal.
    pub refusals: Vec<Duration>,
    pub returned: u64,
    pub returned_served: u64,
    /// Number of dispatched requests whose reply missed the deadline.
    pub late_replies: u64,
}

#[derive(Clone, Copy)]
struct Job {
    caller: u64,
    customer: usize,
    offered: BootTime,
    deadline: BootTime,
    returned: bool,
}

enum Event {
    Arrive(usize),
    Return { caller: u64, customer: usize },
    Done { key: Option<TicketKey>, job: Job, service_time: Duration },
    Wake,
}

struct Run {
    config: QueueRun,
    timeline: Timeline<Event>,
    samples: Samples,
    queue: ServerQueue,
    jobs: HashMap<TicketKey, Job>,
    baseline: VecDeque<Job>,
    baseline_running: u16,
    caller_count: u64,
    end: BootTime,
    warm_up_end: BootTime,
    wakeup: BootTime,
    figures: QueueFigures,
}

pub fn run(config: QueueRun) -> QueueFigures {
    let timeline = Timeline::new();
    let limits = QueueLimits { slots: config.slots, max_waiting: 4096 };
    let queue = ServerQueue::new(limits, timeline.now);
    let warm_up_end = timeline.now + Duration::from_secs(2);
    let end = timeline.now + Duration::from_secs(config.seconds);
    let latencies = vec![Vec::new(); config.loads.len()];
    let figures = QueueFigures { latencies, ..QueueFigures::default() };
    let mut run = Run {
        config,
        timeline,
        samples: Samples::new(config.seed),
        queue,
        jobs: HashMap::new(),
        baseline: VecDeque::new(),
        baseline_running: 0,
        caller_count: 0,
        end,
        warm_up_end,
        wakeup: BootTime::ZERO,
        figures,
    };
    for customer in 0..config.loads.len() {
        run.schedule_arrival(customer);
    }
    while let Some(event) = run.timeline.next() {
        if run.timeline.now > run.end {
            break;
        }
        run.on_event(&event);
    }
    run.figures.goodput /= (run.end.since(run.warm_up_end)).as_secs_f64();
    run.figures
}

impl Run {
    fn on_event(&mut self, event: &Event) {
        match *event {
            Event::Arrive(customer) => {
                self.schedule_arrival(customer);
                self.caller_count += 1;
                let caller = self.caller_count;
                self.figures.offered += 1;
                self.offer(caller, customer, false);
            }
            Event::Return { caller, customer } => self.offer(caller, customer, true),
            Event::Done { key, ref job, service_time } => {
                self.complete(job);
                match key {
                    Some(key) => self.queue.finish(self.timeline.now, key, Some(service_time)),
                    None => self.baseline_running -= 1,
                }
            }
            Event::Wake => {}
        }
        self.drain();
    }

    fn schedule_arrival(&mut self, customer: usize) {
        let load = self.config.loads[customer] * f64::from(self.config.slots);
        let gap = self.samples.exponential(self.config.service_time.div_f64(load));
        self.timeline.after(gap, Event::Arrive(customer));
    }

    fn offer(&mut self, caller: u64, customer: usize, returned: bool) {
        let now = self.timeline.now;
        let deadline = now + self.config.time_limit;
        let job = Job { caller, customer, offered: now, deadline, returned };
        if returned && now >= self.warm_up_end && deadline < self.end {
            self.figures.returned += 1;
        }
        if self.config.policy != Policy::Deadline {
            self.baseline.push_back(job);
            return;
        }
        let customer = CustomerKey(customer as u64);
        match self
            .queue
            .offer(now, QueueTicket { deadline, hedge: false, customer, caller_id: caller })
        {
            QueueAdmission::Dispatch(key) => self.dispatch(Some(key), job),
            QueueAdmission::Queued(key) => {
                self.jobs.insert(key, job);
            }
            QueueAdmission::Refused { retry_after, .. } => self.refuse(job, retry_after),
        }
    }

    fn refuse(&mut self, job: Job, retry_after: Duration) {
        let now = self.timeline.now;
        if now >= self.warm_up_end {
            self.figures.refusals.push(now.since(job.offered));
        }
        if job.returned || !self.samples.chance(self.config.return_share) {
            return;
        }
        // The network round trip to the caller takes up to 3 ms.
        let round_trip = Duration::from_millis(3).mul_f64(self.samples.unit());
        let event = Event::Return { caller: job.caller, customer: job.customer };
        self.timeline.after(retry_after + round_trip, event);
    }

    fn dispatch(&mut self, key: Option<TicketKey>, job: Job) {
        let service_time = self.samples.erlang(self.config.service_time);
        self.timeline.after(service_time, Event::Done { key, job, service_time });
    }

    fn complete(&mut self, job: &Job) {
        let now = self.timeline.now;
        let in_time = now <= job.deadline;
        if now < self.warm_up_end {
            return;
        }
        if !in_time {
            self.figures.late_replies += 1;
            return;
        }
        self.figures.goodput += 1.0;
        self.figures.latencies[job.customer].push(now.since(job.offered));
        if job.returned && job.deadline < self.end {
            self.figures.returned_served += u64::from(job.offered >= self.warm_up_end);
        }
    }

    fn drain(&mut self) {
        while self.baseline_running < self.config.slots {
            let is_lifo = self.config.policy == Policy::Lifo;
            let job = if is_lifo { self.baseline.pop_back() } else { self.baseline.pop_front() };
            let Some(job) = job else { break };
            self.baseline_running += 1;
            self.dispatch(None, job);
        }
        while let Some(event) = self.queue.poll(self.timeline.now) {
            match event {
                QueueEvent::Dispatch(key) => {
                    let job = self.jobs.remove(&key).expect("a queued ticket");
                    self.dispatch(Some(key), job);
                }
                QueueEvent::Refused { key, retry_after, .. } => {
                    let job = self.jobs.remove(&key).expect("a queued ticket");
                    self.refuse(job, retry_after);
                }
            }
        }
        if let Some(wakeup) = self.queue.next_wakeup() {
            // A request at exactly this time can still meet its deadline, so the
            // wakeup is scheduled just after it.
            let wakeup = wakeup + Duration::from_micros(1);
            if self.wakeup <= self.timeline.now || wakeup < self.wakeup {
                self.wakeup = wakeup;
                self.timeline.at(wakeup, Event::Wake);
            }
        }
    }
}
