//! Seeded random sweeps: every machine is queried until it is reconciled, no machine has two queries in flight, and the
//! number of queries in flight stays within its bound.

use crowstall_model::model::{MachineId, Name, Quantity, Resources};
use crowstall_model::time::{Span, Time};
use crowstall_reconciliation::{MachineClass, Recovery, Stage};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

const MAX_QUERIES: usize = 8;
const MAX_IN_FLIGHT: usize = 4 * MAX_QUERIES;

fn machine(number: usize) -> MachineId {
    MachineId::new(&format!("i-{number:06}"))
}

/// Recovery under test, and the simulated machines that answer its queries.
struct Run {
    seed: u64,
    rng: SmallRng,
    now: Time,
    recovery: Recovery,
    unreconciled: BTreeSet<MachineId>,
    in_flight: BTreeMap<MachineId, Time>,
}

impl Run {
    fn new(seed: u64) -> Run {
        let mut rng = SmallRng::seed_from_u64(seed);
        let now = Time(1_000_000);
        let mut recovery = Recovery::new(now, MAX_QUERIES, true);
        let unreconciled: BTreeSet<MachineId> = (0..200).map(machine).collect();
        for id in &unreconciled {
            let class = MachineClass { kind: Name::new("small"), zone: Name::new("east"), spot: rng.random() };
            let size = Resources { cpus: Quantity(rng.random_range(1..5)), ..Resources::default() };
            recovery.add_unreconciled_machine(id, class, size);
        }
        recovery.record_loaded(now, 0);
        Run { seed, rng, now, recovery, unreconciled, in_flight: BTreeMap::new() }
    }

    fn step(&mut self) {
        self.now += Span::millis(self.rng.random_range(1..40));
        self.send_queries();
        if self.rng.random_bool(0.02) {
            self.recovery.record_overload();
        }
        // A machine is reconciled without an answer to a query: it sends a heartbeat, or is gone.
        if self.rng.random_bool(0.05)
            && let Some(id) = self.unreconciled.pop_first()
        {
            self.in_flight.remove(&id);
            self.recovery.record_reconciled(&id, self.now);
        }
        let finished: Vec<MachineId> = self.in_flight.keys().filter(|_| self.rng.random_bool(0.2)).cloned().collect();
        for id in finished {
            self.finish_query(&id);
        }
    }

    fn send_queries(&mut self) {
        let seed = self.seed;
        for id in self.recovery.next_queries(self.now) {
            assert!(self.unreconciled.contains(&id), "seed {seed}: {id} is queried although it is reconciled");
            assert!(
                self.in_flight.insert(id, self.now).is_none(),
                "seed {seed}: a machine is queried while its previous query is in flight"
            );
        }
        let in_flight = self.in_flight.len();
        assert!(in_flight <= MAX_IN_FLIGHT, "seed {seed}: {in_flight} queries are in flight");
    }

    fn finish_query(&mut self, id: &MachineId) {
        match self.rng.random_range(0..4) {
            0 => self.recovery.record_repeated_query(id, self.now),
            1 => {
                self.in_flight.remove(id);
                self.recovery.record_unanswered_query(id, self.now);
            }
            _ => {
                self.in_flight.remove(id);
                self.unreconciled.remove(id);
                self.recovery.record_reconciled(id, self.now);
            }
        }
    }
}

#[test]
fn every_machine_is_queried_until_it_is_reconciled() {
    for seed in 0..20 {
        let mut run = Run::new(seed);
        for _ in 0..20_000 {
            run.step();
            if run.unreconciled.is_empty() {
                break;
            }
        }
        assert!(run.unreconciled.is_empty(), "seed {seed}: never reconciled: {:?}", run.unreconciled);
        assert_eq!(run.recovery.stage(), Stage::Serving);
        assert!(run.recovery.next_queries(run.now + Span::millis(60_000)).is_empty());
    }
}
