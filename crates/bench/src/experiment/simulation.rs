//! The event loop of one arm.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use harrierward_capacity::{RunningBatchItem, SlotBudget, SlotSettings, select_victims};
use harrierward_emulator::{EngineCore, EngineParameters, prompt_tokens};
use harrierward_external::{GenerateRequest, Priority, prefix_blocks};
use harrierward_routing::{
    CostModel, LoadReport, PrefixIndex, ReplicaEntry, ReplicaLoad, RouteRequest, RoutingTable,
};
use hdrhistogram::Histogram;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::arms::{Arm, ArmReport, BatchMode, Quantiles};
use super::definition::Experiment;
use super::workload::Workload;

const MODEL: &str = "model";
const REPORT_EVERY_MICROS: u64 = 500_000;
const NOTICE_EVERY_MICROS: u64 = 50_000;
const SLOT_EVERY_MICROS: u64 = 20_000;

/// Longest time that is told apart in the histograms.
const LONGEST_TIME_MICROS: u64 = 600_000_000;

const PREFIX_LIFETIME_MICROS: u64 = 120_000_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    AtEngine(usize),
    StepEnd(usize),
    Reports,
    Notices,
    NoticeArrives,
    Slots,
    Heap(usize),
}

struct OnlineState {
    sent_micros: u64,
    replica: usize,
    extra_micros: u64,
    uncached: u32,
    last_token_micros: Option<u64>,
}

struct BatchState {
    prompt: String,
    generated: u32,
}

struct Replica {
    core: EngineCore,
    stepping: bool,
    zone: usize,
    budget: SlotBudget,
    batch: BTreeMap<String, BatchState>,
    /// Online load as the owner was last told.
    told_online: (u32, u32),
    cache_read: u64,
    burst_since: Option<u64>,
}

struct Gateway {
    zone: usize,
    table: RoutingTable,
    loads: Vec<Arc<ReplicaLoad>>,
    index: PrefixIndex,
    random: SmallRng,
}

struct Simulation<'a> {
    experiment: &'a Experiment,
    workload: &'a Workload,
    arm: &'a Arm,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    now: u64,
    replicas: Vec<Replica>,
    gateways: Vec<Gateway>,
    online: HashMap<usize, OnlineState>,
    waiting_batch: VecDeque<String>,
    next_item: u64,
    first_token: Histogram<u64>,
    between_tokens: Histogram<u64>,
    report: ArmReport,
    batch_tokens: u64,
    wasted_tokens: u64,
    online_micros: f64,
    prefill_micros: f64,
    notices_in_flight: VecDeque<Vec<(u32, u32)>>,
}

/// Runs one arm.
pub fn run_arm(experiment: &Experiment, workload: &Workload, arm: &Arm) -> ArmReport {
    let mut simulation = Simulation::new(experiment, workload, arm);
    simulation.run();
    simulation.finish()
}

fn histogram() -> Histogram<u64> {
    // The crate refuses only a low bound of 0 and more than five digits.
    Histogram::new_with_bounds(1, LONGEST_TIME_MICROS, 3).expect("the bounds are allowed")
}

fn quantiles(histogram: &Histogram<u64>) -> Quantiles {
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
    Quantiles {
        p50: at(0.5),
        p95: at(0.95),
        p99: at(0.99),
        p999: at(0.999),
    }
}

impl<'a> Simulation<'a> {
    fn new(experiment: &'a Experiment, workload: &'a Workload, arm: &'a Arm) -> Self {
        let zones = experiment.zones.len();
        let settings = SlotSettings {
            step_target_micros: match arm.batch {
                BatchMode::Slots { step_target_micros } => step_target_micros,
                _ => SlotSettings::default().step_target_micros,
            },
            ..SlotSettings::default()
        };
        let mut parameters = EngineParameters::default();
        if arm.fresh_events {
            parameters.cache.event_lag_micros = 0;
            parameters.cache.event_loss = 0.0;
        }
        let replicas = (0..experiment.replicas as usize)
            .map(|number| Replica {
                core: EngineCore::new(parameters, vec![MODEL.to_owned()], number as u64),
                stepping: false,
                zone: number % zones,
                budget: SlotBudget::new(settings),
                batch: BTreeMap::new(),
                told_online: (0, 0),
                cache_read: 0,
                burst_since: None,
            })
            .collect::<Vec<_>>();
        let gateways = (0..experiment.gateways as usize)
            .map(|number| new_gateway(number, zones, &replicas, experiment.seed))
            .collect();
        Self {
            experiment,
            workload,
            arm,
            queue: BinaryHeap::new(),
            sequence: 0,
            now: 0,
            replicas,
            gateways,
            online: HashMap::new(),
            waiting_batch: VecDeque::new(),
            next_item: 0,
            first_token: histogram(),
            between_tokens: histogram(),
            report: ArmReport {
                name: arm.name.clone(),
                ..ArmReport::default()
            },
            batch_tokens: 0,
            wasted_tokens: 0,
            online_micros: 0.0,
            prefill_micros: 0.0,
            notices_in_flight: VecDeque::new(),
        }
    }

    fn at(&mut self, micros: u64, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((micros, self.sequence, event)));
    }

    fn run(&mut self) {
        let end = (self.experiment.seconds * 1e6) as u64;
        if self.arm.online && !self.workload.online.is_empty() {
            self.at(self.workload.online[0].at_micros, Event::Arrival(0));
        }
        if self.arm.batch != BatchMode::None {
            self.at(0, Event::Heap(0));
        }
        self.at(0, Event::Reports);
        self.at(0, Event::Notices);
        self.at(0, Event::Slots);
        while let Some(Reverse((micros, _, event))) = self.queue.pop() {
            if micros > end {
                break;
            }
            self.now = micros;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(number) => self.arrive(number),
            Event::AtEngine(number) => self.submit_online(number),
            Event::StepEnd(replica) => self.end_step(replica),
            Event::Reports => self.send_reports(),
            Event::Notices => self.send_notices(),
            Event::NoticeArrives => self.take_notices(),
            Event::Slots => self.decide_slots(),
            Event::Heap(number) => self.take_heap(number),
        }
    }

    fn zone_micros(&self, from: usize, to: usize) -> u64 {
        if from == to {
            0
        } else {
            (self.experiment.zone_delay_ms * 1000.0) as u64
        }
    }

    /// A request reaches its gateway and is routed.
    fn arrive(&mut self, number: usize) {
        if let Some(next) = self.workload.online.get(number + 1) {
            self.at(next.at_micros, Event::Arrival(number + 1));
        }
        let arrival = &self.workload.online[number];
        let client = (self.experiment.client_delay_ms * 1000.0) as u64;
        let blocks = prefix_blocks(MODEL, &arrival.prompt);
        let now = self.now;
        let gateway = &mut self.gateways[arrival.gateway];
        let request = RouteRequest {
            blocks: &blocks,
            prompt_tokens: prompt_tokens(&arrival.prompt),
        };
        let choice = gateway.table.choose(
            self.arm.routing,
            &request,
            &gateway.index,
            &[],
            now,
            &mut gateway.random,
        );
        let Some(choice) = choice else { return };
        gateway.loads[choice.position].sent(choice.uncached_tokens);
        for block in &blocks {
            let replica = u32::try_from(choice.position).unwrap_or(u32::MAX);
            gateway.index.stored(*block, replica, now);
        }
        let zone = gateway.zone;
        let hop = self.zone_micros(zone, self.replicas[choice.position].zone);
        let state = OnlineState {
            sent_micros: now,
            replica: choice.position,
            extra_micros: client + hop,
            uncached: choice.uncached_tokens,
            last_token_micros: None,
        };
        self.online.insert(number, state);
        self.at(now + client + hop, Event::AtEngine(number));
    }

    fn submit_online(&mut self, number: usize) {
        let replica = self.online[&number].replica;
        let request = GenerateRequest {
            request_id: format!("o{number}"),
            model: MODEL.to_owned(),
            prompt: self.workload.online[number].prompt.clone(),
            maximum_tokens: self.experiment.online.maximum_tokens,
            priority: Priority::Online,
            resume_from: 0,
            epoch: None,
        };
        // The stand-in refuses only what this simulation never sends.
        let _ = self.replicas[replica].core.submit(request);
        self.begin_step(replica);
    }

    fn begin_step(&mut self, number: usize) {
        let replica = &mut self.replicas[number];
        if replica.stepping {
            return;
        }
        let Some(plan) = replica.core.begin_step() else {
            return;
        };
        replica.stepping = true;
        let after = replica.core.current_load();
        let parameters = EngineParameters::default();
        let sequences = u64::from(after.running_online + after.running_batch);
        let without_prefill =
            parameters.step_base_micros + sequences * parameters.step_sequence_micros;
        self.prefill_micros += (plan.duration_micros - without_prefill) as f64;
        self.online_micros += f64::from(after.running_online) * plan.duration_micros as f64;
        let ends = self.now + plan.duration_micros;
        self.at(ends, Event::StepEnd(number));
    }

    fn end_step(&mut self, number: usize) {
        self.replicas[number].stepping = false;
        let events = self.replicas[number].core.finish_step(self.now);
        for event in events {
            let finished = event.finish.is_some();
            match event.request_id.strip_prefix('o') {
                Some(online) => {
                    let online: usize = online.parse().unwrap_or_default();
                    self.online_event(online, finished);
                }
                None => self.batch_event(number, &event.request_id, finished),
            }
        }
        self.watch_burst(number);
        self.begin_step(number);
    }

    fn online_event(&mut self, number: usize, finished: bool) {
        let gateway = self.workload.online[number].gateway;
        let Some(state) = self.online.get_mut(&number) else {
            return;
        };
        let load = &self.gateways[gateway].loads[state.replica];
        if finished {
            load.ended();
            self.report.online_answered += 1;
            self.online.remove(&number);
            return;
        }
        match state.last_token_micros {
            None => {
                load.prefilled(state.uncached);
                let elapsed = self.now + state.extra_micros - state.sent_micros;
                self.first_token.saturating_record(elapsed);
            }
            Some(last) => self.between_tokens.saturating_record(self.now - last),
        }
        state.last_token_micros = Some(self.now);
    }

    fn batch_event(&mut self, replica: usize, request_id: &str, finished: bool) {
        let batch = &mut self.replicas[replica].batch;
        if finished {
            if let Some(item) = batch.remove(request_id) {
                self.batch_tokens += u64::from(item.generated);
                self.report.batch_items_per_second += 1.0;
            }
        } else if let Some(item) = batch.get_mut(request_id) {
            item.generated += 1;
        }
    }

    /// Measures how long batch goes on at a replica after online piled up there.
    fn watch_burst(&mut self, number: usize) {
        let settings = SlotSettings::default();
        let replica = &mut self.replicas[number];
        let load = replica.core.current_load();
        let waiting = f64::from(load.waiting_prompt_tokens) * settings.prefill_token_micros;
        if waiting <= settings.burst_micros {
            replica.burst_since = None;
            return;
        }
        let since = *replica.burst_since.get_or_insert(self.now);
        if load.running_batch > 0 {
            let millis = (self.now - since) as f64 / 1000.0;
            self.report.longest_yield_ms = self.report.longest_yield_ms.max(millis);
        }
    }

    /// Load reports and cache events reach every gateway.
    fn send_reports(&mut self) {
        for (number, replica) in self.replicas.iter_mut().enumerate() {
            replica.core.finish_loads(self.now);
            let load = replica.core.reported_load(self.now);
            let report = LoadReport {
                running_online: load.running_online,
                running_batch: load.running_batch,
                waiting_prompt_tokens: load.waiting_prompt_tokens,
                waiting_online: load.waiting_online,
            };
            let events = replica.core.cache_events(replica.cache_read, self.now);
            replica.cache_read = events
                .last()
                .map_or(replica.cache_read, |event| event.number);
            let position = u32::try_from(number).unwrap_or(u32::MAX);
            for gateway in &mut self.gateways {
                gateway.loads[number].report(report, self.now);
                gateway.loads[number].confirm(false, self.now.max(1));
                for event in &events {
                    if event.stored {
                        gateway.index.stored(event.block, position, self.now);
                    } else {
                        gateway.index.evicted(event.block, position);
                    }
                }
            }
        }
        self.at(self.now + REPORT_EVERY_MICROS, Event::Reports);
    }

    /// Gateways tell owners of their online requests in flight.
    fn send_notices(&mut self) {
        let counts = (0..self.replicas.len())
            .map(|number| {
                let in_flight = self.gateways.iter().map(|gateway| {
                    let load = &gateway.loads[number];
                    (load.in_flight(), load.waiting_prefill())
                });
                in_flight.fold((0, 0), |sum, more| (sum.0 + more.0, sum.1 + more.1))
            })
            .collect();
        self.notices_in_flight.push_back(counts);
        let delay = (self.experiment.zone_delay_ms * 1000.0) as u64;
        self.at(self.now + delay, Event::NoticeArrives);
        self.at(self.now + NOTICE_EVERY_MICROS, Event::Notices);
    }

    fn take_notices(&mut self) {
        let Some(counts) = self.notices_in_flight.pop_front() else {
            return;
        };
        for (number, told) in counts.into_iter().enumerate() {
            self.replicas[number].told_online = told;
            if matches!(self.arm.batch, BatchMode::Slots { .. }) {
                self.yield_slots(number);
            }
        }
    }

    fn take_heap(&mut self, number: usize) {
        let Some(heap) = self.workload.heaps.get(number) else {
            return;
        };
        self.waiting_batch.extend(heap.prompts.iter().cloned());
        if let Some(next) = self.workload.heaps.get(number + 1) {
            self.at(next.at_micros, Event::Heap(number + 1));
        }
    }

    fn decide_slots(&mut self) {
        if self.arm.batch != BatchMode::None {
            for number in 0..self.replicas.len() {
                if matches!(self.arm.batch, BatchMode::Slots { .. }) {
                    self.yield_slots(number);
                }
                self.start_items(number);
            }
        }
        self.at(self.now + SLOT_EVERY_MICROS, Event::Slots);
    }

    fn yield_slots(&mut self, number: usize) {
        let now = Duration::from_micros(self.now);
        let replica = &mut self.replicas[number];
        let (running, prefill) = replica.told_online;
        replica.budget.observe_online(now, running, prefill);
        let limit = replica.budget.limit(now) as usize;
        let items: Vec<RunningBatchItem> = replica
            .batch
            .iter()
            .map(|(request_id, item)| RunningBatchItem {
                request_id: request_id.clone(),
                generated: item.generated,
                left: u32::MAX - item.generated,
                at_most_once: false,
            })
            .collect();
        let victims: Vec<String> = select_victims(&items, limit)
            .into_iter()
            .map(|item| item.request_id.clone())
            .collect();
        for victim in victims {
            replica.core.cancel(&victim);
            if let Some(item) = replica.batch.remove(&victim) {
                self.wasted_tokens += u64::from(item.generated);
                self.report.batch_cancelled += 1;
                self.waiting_batch.push_front(item.prompt);
            }
        }
    }

    fn start_items(&mut self, number: usize) {
        let now = Duration::from_micros(self.now);
        let (limit, priority) = match self.arm.batch {
            BatchMode::None => return,
            BatchMode::NoYield => (usize::MAX, Priority::Online),
            BatchMode::PriorityOnly => (usize::MAX, Priority::Batch),
            BatchMode::Slots { .. } => (
                self.replicas[number].budget.limit(now) as usize,
                Priority::Batch,
            ),
        };
        let most = EngineParameters::default().maximum_running;
        while self.replicas[number].batch.len() < limit.min(most) {
            let Some(prompt) = self.waiting_batch.front() else {
                break;
            };
            let tokens = prompt_tokens(prompt);
            let replica = &mut self.replicas[number];
            // The owner knows which prefixes it has sent to the replica.
            let blocks = prefix_blocks(MODEL, prompt);
            let cached = blocks
                .iter()
                .take_while(|block| replica.core.has_block(**block));
            let cached = u32::try_from(cached.count()).unwrap_or(u32::MAX) * 16;
            let uncached = tokens.saturating_sub(cached);
            let paced = matches!(self.arm.batch, BatchMode::Slots { .. });
            if paced && !replica.budget.may_start(now, uncached) {
                break;
            }
            let Some(prompt) = self.waiting_batch.pop_front() else {
                break;
            };
            self.next_item += 1;
            let request_id = format!("b{}", self.next_item);
            let request = GenerateRequest {
                request_id: request_id.clone(),
                model: MODEL.to_owned(),
                prompt: prompt.clone(),
                maximum_tokens: self.experiment.batch.maximum_tokens,
                priority,
                resume_from: 0,
                epoch: None,
            };
            let _ = replica.core.submit(request);
            let item = BatchState {
                prompt,
                generated: 0,
            };
            replica.batch.insert(request_id, item);
        }
        self.begin_step(number);
    }

    fn finish(mut self) -> ArmReport {
        let seconds = self.experiment.seconds;
        let replica_micros = seconds * 1e6 * f64::from(self.experiment.replicas);
        let uses = self.replicas.iter().map(|replica| replica.core.cache_use());
        let (seen, cached) = uses.fold((0, 0), |sum, more| (sum.0 + more.0, sum.1 + more.1));
        self.report.first_token_ms = quantiles(&self.first_token);
        self.report.between_tokens_ms = quantiles(&self.between_tokens);
        self.report.batch_items_per_second /= seconds;
        self.report.batch_tokens_per_second = self.batch_tokens as f64 / seconds;
        let all = (self.batch_tokens + self.wasted_tokens).max(1);
        self.report.wasted_share = self.wasted_tokens as f64 / all as f64;
        self.report.cache_hit_rate = cached as f64 / (seen.max(1)) as f64;
        self.report.mean_online = self.online_micros / replica_micros;
        self.report.prefill_share = self.prefill_micros / replica_micros;
        self.report
    }
}

fn new_gateway(number: usize, zones: usize, replicas: &[Replica], seed: u64) -> Gateway {
    let loads: Vec<Arc<ReplicaLoad>> = replicas.iter().map(|_| Arc::default()).collect();
    let zone = number % zones;
    let entries = loads
        .iter()
        .zip(replicas)
        .enumerate()
        .map(|(position, (load, replica))| ReplicaEntry {
            number: u32::try_from(position).unwrap_or(u32::MAX),
            distance: u8::from(replica.zone != zone),
            load: load.clone(),
        })
        .collect();
    Gateway {
        zone,
        table: RoutingTable::new(entries, CostModel::default()),
        loads,
        index: PrefixIndex::new(PREFIX_LIFETIME_MICROS),
        random: SmallRng::seed_from_u64(seed ^ (number as u64 + 1)),
    }
}
