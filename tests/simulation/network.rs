//! Simulated network: endpoints, partitions, slow links and packet delays.

use super::*;

/// Value of [`NetworkPartition::delay_packets`] with which packets are lost.
pub const LOSE_PACKETS: bool = false;

/// Value of [`NetworkPartition::delay_packets`] with which packets are delivered after the partition has healed.
pub const DELAY_PACKETS: bool = true;

/// Probability that a packet is delayed by 100 to 600 ms, as by a retransmission.
const RETRANSMISSION_PROBABILITY: f64 = 0.003;

/// Endpoint of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Endpoint {
    /// Controller, by index.
    Controller(usize),
    /// State service.
    StateService,
    /// API of the cloud.
    Cloud,
    /// Worker machine, by number.
    Machine(u32),
    /// All worker machines, including those that are rented later.
    AllMachines,
    /// All users.
    Users,
}

impl Endpoint {
    /// Returns `true` if `endpoint` is `self`, or a machine while `self` stands for all machines.
    fn includes(self, endpoint: Endpoint) -> bool {
        self == endpoint || self == Endpoint::AllMachines && matches!(endpoint, Endpoint::Machine(_))
    }
}

/// Temporary loss of connectivity between two endpoints, in both directions.
#[derive(Clone, Copy, Debug)]
pub struct NetworkPartition {
    pub one_end: Endpoint,
    /// Other side of the partition. `None`: all endpoints.
    pub other_end: Option<Endpoint>,
    /// Time at which the partition heals.
    pub until: u64,
    /// `true` if packets are delivered after the partition has healed, `false` if they are lost.
    pub delay_packets: bool,
}

impl NetworkPartition {
    /// Returns `true` if the partition separates two endpoints.
    pub(super) fn separates(&self, from: Endpoint, to: Endpoint) -> bool {
        let directed = |from: Endpoint, to: Endpoint| {
            self.one_end.includes(from) && self.other_end.is_none_or(|other_end| other_end.includes(to))
        };
        directed(from, to) || directed(to, from)
    }
}

/// Temporary loss of connectivity from one endpoint to another, in one direction. Delayed packets are delivered in the
/// order in which they were sent once the partition has healed, even if the process of either end has been replaced.
#[derive(Clone, Copy, Debug)]
pub struct OneWayPartition {
    pub from: Endpoint,
    pub to: Endpoint,
    /// Time at which the partition heals.
    pub until: u64,
    /// `true` if packets are delivered after the partition has healed, `false` if they are lost.
    pub delay_packets: bool,
    /// Number of packets that were sent in the direction of the partition so far.
    pub packets: u64,
}

/// Fault that delays packets from and to an endpoint.
pub struct SlowLink {
    /// Endpoint whose packets are delayed.
    pub endpoint: Endpoint,
    /// Duration of the fault and maximum delay of a packet.
    pub delay: TemporaryFault<MaxDelay>,
}

/// Returns the endpoints of all controllers except one.
pub fn other_controllers(node: usize) -> impl Iterator<Item = Endpoint> + Clone {
    (0..CONTROLLERS).filter(move |other| *other != node).map(Endpoint::Controller)
}

impl Simulation {
    /// Returns the time at which a packet that is sent now arrives, or `None` if it is lost.
    pub fn packet_arrival(&mut self, from: Endpoint, to: Endpoint) -> Option<u64> {
        let mut arrival = self.now + self.rng.random_range(300..2500);
        if self.rng.random_bool(RETRANSMISSION_PROBABILITY) {
            arrival += self.rng.random_range(100 * MS..600 * MS);
        }
        for link in self.slow_links.iter().filter(|link| link.endpoint == from || link.endpoint == to) {
            if let Some(max_delay) = link.delay.active(self.now) {
                arrival += self.rng.random_range(0..max_delay);
            }
        }
        for partition in &self.partitions {
            if partition.until > self.now && partition.separates(from, to) {
                if !partition.delay_packets {
                    return None;
                }
                arrival = arrival.max(partition.until + self.rng.random_range(0..20 * MS));
            }
        }
        for partition in &mut self.one_way_partitions {
            if partition.until > self.now && partition.from.includes(from) && partition.to.includes(to) {
                partition.packets += 1;
                if !partition.delay_packets {
                    return None;
                }
                arrival = arrival.max(partition.until + partition.packets);
            }
        }
        Some(arrival)
    }

    /// Interrupts the network from one endpoint to another, in this direction alone.
    pub fn partition_one_way(&mut self, from: Endpoint, to: Endpoint, until: u64, delay_packets: bool) {
        self.one_way_partitions.push(OneWayPartition { from, to, until, delay_packets, packets: 0 });
    }

    /// Separates one endpoint from each of the others.
    pub fn partition(
        &mut self,
        endpoint: Endpoint,
        others: impl IntoIterator<Item = Endpoint>,
        until: u64,
        delay_packets: bool,
    ) {
        self.partitions.extend(others.into_iter().map(|other| NetworkPartition {
            one_end: endpoint,
            other_end: Some(other),
            until,
            delay_packets,
        }));
    }

    /// Separates an endpoint from all others.
    pub fn isolate(&mut self, endpoint: Endpoint, until: u64, delay_packets: bool) {
        self.partitions.push(NetworkPartition { one_end: endpoint, other_end: None, until, delay_packets });
    }

    /// Separates an endpoint from all controllers except one.
    pub fn isolate_from_other_controllers(&mut self, endpoint: Endpoint, node: usize, until: u64, delay_packets: bool) {
        self.partition(endpoint, other_controllers(node), until, delay_packets);
    }

    /// Separates all controllers from each other.
    pub fn partition_controllers(&mut self, until: u64, delay_packets: bool) {
        for (one, other) in [(0, 1), (0, 2), (1, 2)] {
            self.partition(Endpoint::Controller(one), [Endpoint::Controller(other)], until, delay_packets);
        }
    }
}
