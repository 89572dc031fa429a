//! Injection of random faults, and the phases of a run with and without faults.

use super::*;

/// Parameters of a random fault. They are drawn before the kind of fault.
struct FaultParameters {
    node: usize,
    /// Random machine; `None` if there are no machines.
    machine: Option<u32>,
    duration: u64,
    until: u64,
    delay_packets: bool,
}

impl Simulation {
    /// Runs and injects `count` random faults, which take about `span` in all. `before_fault` is called before each
    /// fault with its number.
    pub fn run_with_random_faults(
        &mut self,
        count: u32,
        span: u64,
        mut before_fault: impl FnMut(&mut Simulation, u32),
    ) {
        for number in 0..count {
            self.run_for_random(SEC..2 * span / u64::from(count));
            before_fault(self, number);
            self.inject_random_fault();
        }
    }

    /// Runs for `duration` without injecting faults. Once `recovery` has passed, the checker requires that every user
    /// gets answers and every task is placed.
    pub fn run_without_faults(&mut self, recovery: u64, duration: u64) {
        self.cloud.boot_time_factors = None;
        self.liveness_checked_from = Some(self.now + recovery);
        self.run_for(duration);
    }

    /// Ends slow links and the temporary faults of [`Simulation::inject_random_fault`]. Frozen controllers resume at
    /// their own time.
    pub fn end_faults(&mut self) {
        let now = self.now;
        self.partitions.clear();
        self.one_way_partitions.clear();
        self.slow_links.clear();
        self.duplicate_heartbeats = None;
        self.message_copies = None;
        self.request_storm_until = now;
        self.cloud.no_capacity_until = now;
        self.cloud.boot_time_factors = None;
        self.state_service.outage_until = self.state_service.outage_until.min(now);
        self.state_service.refused_until = [0; CONTROLLERS];
        self.state_service.unanswered_controller = None;
        self.state_service.delayed_commits = None;
        self.state_service.slow_answers = None;
        for worker in self.workers.values_mut() {
            worker.hung_until = worker.hung_until.min(now);
            worker.answers_lost_until = worker.answers_lost_until.min(now);
            worker.heartbeats_blocked_until = worker.heartbeats_blocked_until.min(now);
        }
    }

    /// Injects one fault of a random kind.
    pub fn inject_random_fault(&mut self) {
        let parameters = self.draw_fault_parameters();
        let FaultParameters { node, machine, duration, until, delay_packets } = parameters;
        let now = self.now;
        let controller = Endpoint::Controller(node);
        match self.rng.random_range(0..31) {
            0 | 1 if self.is_up(node) => self.crash(node, 3 * SEC + duration / 5),
            2 => self.running_controllers().into_iter().for_each(|node| self.crash(node, 5 * SEC)),
            3 => self.state_service.start_outage(now, duration),
            4 => self.state_service.refused_until[node] = until,
            5 => self.partition(controller, [Endpoint::StateService], until, delay_packets),
            6 => self.isolate(controller, until, delay_packets),
            7 => self.partition(controller, [Endpoint::AllMachines], until, delay_packets),
            8 => machine.into_iter().for_each(|machine| self.isolate(Endpoint::Machine(machine), until, delay_packets)),
            9 | 10 => self.hang_machines(machine.as_slice(), until),
            11 => self.reclaim_spot_machines(),
            12 => self.isolate_with_machines(node, now + 2 * duration, delay_packets),
            13 => self.cloud.no_capacity_until = until,
            14 => self.change_boot_times(),
            // The controller reaches only the state service, the cloud and the users.
            15 => {
                let all = (0..CONTROLLERS).map(Endpoint::Controller).chain([Endpoint::AllMachines]);
                self.partition(controller, all, until, delay_packets);
            }
            16 if self.is_up(node) => self.freeze(node, duration / 3),
            17 | 18 => self.lose_answers_to_machine_or_zone(machine),
            19 | 20 => self.duplicate_heartbeats_until(until),
            // The controller reaches only the workers, the cloud and the users.
            21 => {
                let others = other_controllers(node).chain([Endpoint::StateService]);
                self.partition(controller, others, now + 2 * duration, delay_packets);
            }
            22 | 23 if self.is_up(node) => {
                let down_for = self.rng.random_range(50 * MS..900 * MS);
                self.crash(node, down_for);
            }
            24 => self.crash_all_briefly(),
            25 => self.restart_a_third_of_the_machines(node),
            26 => self.delay_commits_until(until),
            27 => self.slow_down_answers_until(until),
            28 => self.state_service.unanswered_controller = Some(TemporaryFault::new(now + duration / 4, node)),
            29 => self.refuse_one_controller_before_outage(node, duration),
            _ => self.request_storm_until = until,
        }
        self.partitions.retain(|partition| partition.until > now);
    }

    fn draw_fault_parameters(&mut self) -> FaultParameters {
        let node = self.rng.random_range(0..CONTROLLERS);
        let duration = self.rng.random_range(2 * SEC..25 * SEC);
        let delay_packets = self.rng.random_bool(0.5);
        let machines = self.machines();
        let machine = (!machines.is_empty()).then(|| machines[self.rng.random_range(0..machines.len())]);
        FaultParameters { node, machine, duration, until: self.now + duration, delay_packets }
    }

    /// Starts to deliver some heartbeats a second time.
    fn duplicate_heartbeats_until(&mut self, until: u64) {
        let max_delay = self.rng.random_range(2 * SEC..3 * WORKER_LEASE);
        self.duplicate_heartbeats = Some(TemporaryFault::new(until, max_delay));
    }

    /// Makes the state service execute some transactions late and without an answer.
    fn delay_commits_until(&mut self, until: u64) {
        let probability = self.rng.random_range(0.1..0.5);
        self.state_service.delayed_commits = Some(TemporaryFault::new(until, probability));
    }

    /// Makes the state service answer late.
    fn slow_down_answers_until(&mut self, until: u64) {
        let max_delay = self.rng.random_range(200 * MS..2 * SEC);
        self.state_service.slow_answers = Some(TemporaryFault::new(until, max_delay));
    }

    /// Makes the cloud reclaim some spot machines, with or without notice.
    fn reclaim_spot_machines(&mut self) {
        let notice_at = self.now + 8 * SEC;
        for number in self.machines_where(|worker| worker.spot) {
            match self.rng.random_range(0..3) {
                0 => self.reclaim_machine(number),
                1 => {
                    if let Some(worker) = self.workers.get_mut(&number) {
                        worker.notice_at = Some(notice_at);
                    }
                }
                _ => {}
            }
        }
    }

    /// Separates a controller and half of the machines from the other controllers, and the controller also from the
    /// state service, the cloud and the users.
    fn isolate_with_machines(&mut self, node: usize, until: u64, delay_packets: bool) {
        let outside = other_controllers(node).chain([Endpoint::StateService, Endpoint::Cloud, Endpoint::Users]);
        self.partition(Endpoint::Controller(node), outside, until, delay_packets);
        for machine in self.machines_where(|worker| worker.number as usize % 2 == node % 2) {
            self.isolate_from_other_controllers(Endpoint::Machine(machine), node, until, delay_packets);
        }
    }

    /// Draws a factor on the boot times of each zone: machines boot fast, normally, late or never.
    fn change_boot_times(&mut self) {
        let factors = [Some(0.05), Some(3.0), Some(8.0), None, Some(1.0)];
        let mut random_factor = || factors[self.rng.random_range(0..factors.len())];
        self.cloud.boot_time_factors = Some([random_factor(), random_factor()]);
    }

    /// Drops all answers and commands to a machine, or to all machines of its zone.
    fn lose_answers_to_machine_or_zone(&mut self, machine: Option<u32>) {
        let whole_zone = self.rng.random_bool(0.3);
        let zone = machine.and_then(|machine| self.workers.get(&machine)).map(|worker| worker.zone.clone());
        let until = self.now + self.rng.random_range(SEC..45 * SEC);
        let is_affected = |worker: &workers::Worker| {
            Some(worker.number) == machine || whole_zone && Some(&worker.zone) == zone.as_ref()
        };
        let affected = self.machines_where(is_affected);
        self.lose_answers_to(&affected, until);
    }

    /// Crashes all controllers, each for less than a second.
    fn crash_all_briefly(&mut self) {
        for node in 0..CONTROLLERS {
            let down_for = self.rng.random_range(50 * MS..900 * MS);
            if self.is_up(node) {
                self.crash(node, down_for);
            }
        }
    }

    /// Restarts the agents of the machines whose number has the given remainder modulo 3.
    fn restart_a_third_of_the_machines(&mut self, remainder: usize) {
        for machine in self.machines_where(|worker| worker.number as usize % 3 == remainder) {
            let down_for = self.rng.random_range(50 * MS..900 * MS);
            self.restart_machine(machine, down_for);
        }
    }

    /// Makes the state service refuse one controller, and all of them some seconds later.
    fn refuse_one_controller_before_outage(&mut self, node: usize, outage: u64) {
        let refused_alone_for = self.rng.random_range(300 * MS..5 * SEC);
        self.state_service.refused_until[node] = self.now + refused_alone_for + SEC;
        self.run_for(refused_alone_for);
        self.state_service.start_outage(self.now, outage);
    }

    /// Separates a controller from the given endpoints, and the machines with even numbers from the other controllers.
    pub fn isolate_with_every_other_machine(
        &mut self,
        node: usize,
        outside: impl IntoIterator<Item = Endpoint>,
        until: u64,
        delay_packets: bool,
    ) {
        self.partition(Endpoint::Controller(node), outside, until, delay_packets);
        for machine in self.machines_where(|worker| worker.number % 2 == 0) {
            self.isolate_from_other_controllers(Endpoint::Machine(machine), node, until, delay_packets);
        }
    }
}
