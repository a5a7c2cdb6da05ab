//! Open-loop arrivals at one backend server, with the product's queue or a plain one.

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
    /// The product's queue.
    Deadline,
    /// First in, first out; refuses nothing.
    Fifo,
    /// Last in, first out; refuses nothing.
    Lifo,
}

#[derive(Clone, Copy, Debug)]
pub struct QueueRun {
    pub policy: Policy,
    pub slots: u16,
    pub service: Duration,
    pub budget: Duration,
    /// Arrivals as a multiple of what the slots can serve, per customer.
    pub loads: &'static [f64],
    /// Part of the refused callers that come back when told.
    pub returning: f64,
    pub seconds: u64,
    pub seed: u64,
}

#[derive(Clone, Debug, Default)]
pub struct QueueFigures {
    pub offered: u64,
    /// Replies in time, per second.
    pub goodput: f64,
    /// Latency of the replies, per customer.
    pub latencies: Vec<Vec<Duration>>,
    /// Time from the offer to the refusal.
    pub refusals: Vec<Duration>,
    pub returned: u64,
    pub kept: u64,
    /// Dispatched requests whose reply came too late.
    pub wasted: u64,
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
    Done { key: Option<TicketKey>, job: Job, service: Duration },
    Wake,
}

struct Run {
    config: QueueRun,
    timeline: Timeline<Event>,
    samples: Samples,
    queue: ServerQueue,
    jobs: HashMap<TicketKey, Job>,
    plain: VecDeque<Job>,
    plain_running: u16,
    callers: u64,
    end: BootTime,
    warm: BootTime,
    wakeup: BootTime,
    figures: QueueFigures,
}

pub fn run(config: QueueRun) -> QueueFigures {
    let timeline = Timeline::new();
    let limits = QueueLimits { slots: config.slots, waiting: 4096 };
    let queue = ServerQueue::new(limits, timeline.now);
    let warm = timeline.now + Duration::from_secs(2);
    let end = timeline.now + Duration::from_secs(config.seconds);
    let latencies = vec![Vec::new(); config.loads.len()];
    let figures = QueueFigures { latencies, ..QueueFigures::default() };
    let mut run = Run {
        config,
        timeline,
        samples: Samples::new(config.seed),
        queue,
        jobs: HashMap::new(),
        plain: VecDeque::new(),
        plain_running: 0,
        callers: 0,
        end,
        warm,
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
        run.handle(&event);
    }
    run.figures.goodput /= (run.end.since(run.warm)).as_secs_f64();
    run.figures
}

impl Run {
    fn handle(&mut self, event: &Event) {
        match *event {
            Event::Arrive(customer) => {
                self.schedule_arrival(customer);
                self.callers += 1;
                let caller = self.callers;
                self.figures.offered += 1;
                self.offer(caller, customer, false);
            }
            Event::Return { caller, customer } => self.offer(caller, customer, true),
            Event::Done { key, ref job, service } => {
                self.complete(job);
                match key {
                    Some(key) => self.queue.finish(self.timeline.now, key, Some(service)),
                    None => self.plain_running -= 1,
                }
            }
            Event::Wake => {}
        }
        self.drain();
    }

    fn schedule_arrival(&mut self, customer: usize) {
        let load = self.config.loads[customer] * f64::from(self.config.slots);
        let gap = self.samples.exponential(self.config.service.div_f64(load));
        self.timeline.after(gap, Event::Arrive(customer));
    }

    fn offer(&mut self, caller: u64, customer: usize, returned: bool) {
        let now = self.timeline.now;
        let deadline = now + self.config.budget;
        let job = Job { caller, customer, offered: now, deadline, returned };
        if returned && now >= self.warm && deadline < self.end {
            self.figures.returned += 1;
        }
        if self.config.policy != Policy::Deadline {
            self.plain.push_back(job);
            return;
        }
        let customer = CustomerKey(customer as u64);
        match self.queue.offer(now, QueueTicket { deadline, hedge: false, customer, caller }) {
            QueueAdmission::Dispatch(key) => self.dispatch(Some(key), job),
            QueueAdmission::Queued(key) => {
                self.jobs.insert(key, job);
            }
            QueueAdmission::Refused { retry_after, .. } => self.refuse(job, retry_after),
        }
    }

    fn refuse(&mut self, job: Job, retry_after: Duration) {
        let now = self.timeline.now;
        if now >= self.warm {
            self.figures.refusals.push(now.since(job.offered));
        }
        if job.returned || !self.samples.chance(self.config.returning) {
            return;
        }
        // The way to the caller and back takes up to 3 ms.
        let trip = Duration::from_millis(3).mul_f64(self.samples.unit());
        let event = Event::Return { caller: job.caller, customer: job.customer };
        self.timeline.after(retry_after + trip, event);
    }

    fn dispatch(&mut self, key: Option<TicketKey>, job: Job) {
        let service = self.samples.erlang(self.config.service);
        self.timeline.after(service, Event::Done { key, job, service });
    }

    fn complete(&mut self, job: &Job) {
        let now = self.timeline.now;
        let in_time = now <= job.deadline;
        if now < self.warm {
            return;
        }
        if !in_time {
            self.figures.wasted += 1;
            return;
        }
        self.figures.goodput += 1.0;
        self.figures.latencies[job.customer].push(now.since(job.offered));
        if job.returned && job.deadline < self.end {
            self.figures.kept += u64::from(job.offered >= self.warm);
        }
    }

    fn drain(&mut self) {
        while self.plain_running < self.config.slots {
            let lifo = self.config.policy == Policy::Lifo;
            let job = if lifo { self.plain.pop_back() } else { self.plain.pop_front() };
            let Some(job) = job else { break };
            self.plain_running += 1;
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
            // The boundary itself is still in time, so the wake-up comes just after it.
            let wakeup = wakeup + Duration::from_micros(1);
            if self.wakeup <= self.timeline.now || wakeup < self.wakeup {
                self.wakeup = wakeup;
                self.timeline.at(wakeup, Event::Wake);
            }
        }
    }
}
