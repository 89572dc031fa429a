//! Construction of simulations.

use super::*;
use rand::SeedableRng;

/// Number of shards over which the teams are distributed. One is the default of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sharding {
    OneShard,
    ThreeShards,
}

impl Simulation {
    /// Returns a simulation with three shards.
    pub fn new(seed: u64, disabled: DisabledSafeguard) -> Simulation {
        let mut simulation = Simulation {
            now: SEC,
            rng: SmallRng::seed_from_u64(seed),
            seed,
            disabled,
            settings: Vec::new(),
            controllers: Vec::new(),
            processor: None,
            event_meter: None,
            remote: None,
            queue: BTreeMap::new(),
            sequence_number: 0,
            state_service: state_service::StateService::default(),
            cloud: cloud::Cloud::default(),
            workers: BTreeMap::new(),
            quotas: BTreeMap::from([(Name::new("limited"), Quota { cpus: Some(Quantity::new(16.0)), gpus: None })]),
            users: Vec::new(),
            partitions: Vec::new(),
            one_way_partitions: Vec::new(),
            slow_links: Vec::new(),
            duplicate_heartbeats: None,
            message_copies: None,
            heartbeats_retained_until: 0,
            retained_heartbeats: Vec::new(),
            request_storm_until: 0,
            consistency_checks_until: 0,
            requests_at_completion: None,
            malformed_requests_sent: 0,
            liveness_checked_from: None,
            violations: Vec::new(),
            trace: Vec::new(),
            digest: None,
            completed: BTreeSet::new(),
            observations: Observations::default(),
            task_starts: 0,
            heartbeats: 0,
            starved_since: HashMap::new(),
            awaited_request: None,
            awaited_reply: None,
        };
        controller_log::install();
        simulation.configure(Sharding::ThreeShards, "");
        simulation.cloud.stock = [4, 4];
        simulation.add_controllers();
        simulation.schedule(SEC, ScheduledEvent::WorkersStep);
        simulation.schedule(SEC, ScheduledEvent::LeaseExpiry);
        simulation
    }

    /// Returns a simulation with one shard. `stock` contains the maximum numbers of machines of each type in each zone:
    /// ordinary machines, and spot machines.
    pub fn with_one_shard(seed: u64, stock: [usize; 2]) -> Simulation {
        Simulation::with_one_shard_and_properties(seed, stock, "")
    }

    /// Returns a simulation with one shard and additional properties of the operators.
    pub fn with_one_shard_and_properties(seed: u64, stock: [usize; 2], properties: &str) -> Simulation {
        Simulation::with_disabled_safeguard(seed, DisabledSafeguard::None, stock, properties)
    }

    /// Returns a simulation with one shard in which a property of the operators is set to `false`.
    pub fn with_one_shard_without(seed: u64, stock: [usize; 2], property: &str) -> Simulation {
        Simulation::with_one_shard_and_properties(seed, stock, &format!("{property} = false"))
    }

    /// Returns a simulation with one shard in which a safeguard is disabled.
    pub fn with_disabled_safeguard(
        seed: u64,
        disabled: DisabledSafeguard,
        stock: [usize; 2],
        properties: &str,
    ) -> Simulation {
        let mut simulation = Simulation::new(seed, disabled);
        simulation.configure(Sharding::OneShard, properties);
        simulation.cloud.stock = stock;
        simulation
    }

    /// Returns a simulation with the operators' forecast properties, changed so that forecasts are used for planning
    /// and a snapshot is stored every 5 s.
    pub fn with_forecasts(seed: u64, one_shard: bool, stock: [usize; 2]) -> Simulation {
        let file = include_str!("../../deploy/forecast.properties");
        let properties = file.replace("forecast.plans = false", "forecast.plans = true").replace("30000", "5000");
        assert!(properties.contains("forecast.plans = true") && properties.contains("snapshot.ms = 5000"));
        let mut simulation = Simulation::new(seed, DisabledSafeguard::None);
        simulation.configure(if one_shard { Sharding::OneShard } else { Sharding::ThreeShards }, &properties);
        simulation.cloud.stock = stock;
        simulation
    }

    /// Returns a simulation with one shard, hundreds of machines, and large arrays and services.
    pub fn with_large_fleet(seed: u64, jobs: u32, stock: usize) -> Simulation {
        let mut simulation = Simulation::with_one_shard(seed, [stock, stock]);
        for id in 0..jobs {
            let service = id % 3 == 0;
            let (kind, tasks) = if service { (JobKind::Service, 2) } else { (JobKind::Array, 150) };
            let mut job = users::spec(id, kind, if id % 2 == 0 { "free" } else { "limited" }, tasks, 2.0);
            job.spot = !service;
            let run_time = if service { FOREVER } else { 20 * SEC };
            let submit_at = 2 * SEC + simulation.rng.random_range(0..10 * SEC);
            simulation.add_user(job, run_time, submit_at, None, false);
        }
        simulation
    }

    /// Returns a simulation with one shard whose cloud and state service are sized for thousands of machines.
    pub fn with_services_for_large_fleet(seed: u64, stock: [usize; 2]) -> Simulation {
        let mut simulation = Simulation::with_one_shard(seed, stock);
        for settings in &mut simulation.settings {
            settings.state_rps = 2000.0;
            settings.state_write_rps = 800.0;
            settings.current_state_write_rps = 800.0;
            settings.cloud_rps = 60.0;
        }
        simulation.state_service.request_limits =
            state_service::RequestLimits { value_bytes: 4096, changes_per_transaction: 8, writes_per_second: 1600 };
        simulation.cloud.reliable = true;
        simulation
    }

    /// Sets CPU and GPU quotas for the free and the guest team, and makes the cloud offer machines with GPUs.
    pub fn set_quotas_of_all_teams(&mut self) {
        self.cloud.offers_gpus = true;
        for (team, cpus, gpus) in [("free", 96.0, 6.0), ("guest", 12.0, 2.0)] {
            let quota = Quota { cpus: Some(Quantity::new(cpus)), gpus: Some(Quantity::new(gpus)) };
            for settings in &mut self.settings {
                let team = settings.teams.get_mut(&Name::new(team)).expect("the team is one of the settings' teams");
                team.cpus_max = quota.cpus.filter(|_| self.disabled != DisabledSafeguard::OtherTeamsCpuQuotas);
                team.gpus_max = quota.gpus.filter(|_| self.disabled != DisabledSafeguard::GpuQuotas);
            }
            self.quotas.insert(Name::new(team), quota);
        }
    }

    fn configure(&mut self, sharding: Sharding, properties: &str) {
        let one_shard = sharding == Sharding::OneShard;
        let settings = |node| settings::controller_settings(node, self.disabled, one_shard, properties);
        self.settings = (0..CONTROLLERS).map(settings).collect();
    }

    fn add_controllers(&mut self) {
        for node in 0..CONTROLLERS {
            let clock_rate = 1.0 + self.rng.random_range(-0.0002..0.0002);
            self.controllers.push(controllers::SimulatedController::new(node, clock_rate));
            let at = self.now + self.rng.random_range(0..300 * MS);
            self.schedule(at, ScheduledEvent::ControllerStart { node });
        }
    }
}
