//! Index of the machines of a shard by their class, for the search for room for waiting tasks.
//!
//! The machines of a class differ only in their room, so that a job's restrictions are checked once for a class. For
//! each class the index keeps an upper bound of the room of its machines and the needs for which none of them was found
//! to have room. Most searches without a result therefore end before any machine is inspected, and a round of
//! preemption takes time that grows with the number of machines plus the number of waiting jobs, not with their
//! product.

use super::super::super::shard::{Job, Machine, Shard};
use super::super::PlacementContext;
use super::super::constraints::ZoneCounts;
use crate::model::{JobSpec, MachineId, Name, Priority, Resources};
use crowstall_reconciliation::MachineClass;
use std::cell::Cell;
use std::collections::HashMap;

/// Number of priorities.
const PRIORITY_COUNT: usize = Priority::BestEffort as usize + 1;

/// Room on a machine for a waiting task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RoomKind {
    /// Resources that are free or being freed.
    Free,
    /// These and the resources of all attempts that a job of the priority may have stopped.
    Preemptible(Priority),
}

/// Number of kinds of room.
const ROOM_KIND_COUNT: usize = PRIORITY_COUNT + 1;

impl RoomKind {
    /// Returns all kinds of room.
    fn all() -> impl Iterator<Item = RoomKind> {
        let priorities = [Priority::Production, Priority::High, Priority::Normal, Priority::BestEffort];
        std::iter::once(RoomKind::Free).chain(priorities.into_iter().map(RoomKind::Preemptible))
    }

    fn index(self) -> usize {
        match self {
            RoomKind::Free => 0,
            RoomKind::Preemptible(priority) => 1 + priority as usize,
        }
    }
}

/// Machine that accepts tasks, with the room for tasks to which this round has not assigned any.
pub(super) struct MachineRoom {
    /// Id of the machine.
    pub machine: MachineId,
    /// Index of the machine's class.
    class: usize,
    /// Room of each kind.
    rooms: [Resources; ROOM_KIND_COUNT],
}

/// Machines of one class.
struct ClassRooms {
    class: MachineClass,
    /// Indices of the machines, in ascending order.
    machines: Vec<usize>,
    /// Indices of the machines whose free room some waiting task may fit into, in ascending order.
    with_free_room: Vec<usize>,
    /// For each kind of room, what is known of all machines together.
    bounds: [RoomBound; ROOM_KIND_COUNT],
}

/// What is known of the room of all machines of a class.
#[derive(Default)]
struct RoomBound {
    /// For each resource an upper bound of the room of any machine.
    max: Resources,
    /// Needs for which no machine has room.
    unplaceable: Vec<Resources>,
}

impl RoomBound {
    /// Returns `false` if certainly no machine has room for the needs.
    fn may_fit(&self, needs: &Resources) -> bool {
        needs.fits_in(&self.max) && !self.unplaceable.iter().any(|less| less.fits_in(needs))
    }

    /// Records that no machine has room for the needs.
    fn record_unplaceable(&mut self, needs: Resources) {
        self.unplaceable.retain(|more| !needs.fits_in(more));
        self.unplaceable.push(needs);
    }

    /// Records that the room of a machine may have grown.
    fn record_growth(&mut self, room: &Resources) {
        self.max = max_of_each(&self.max, room);
        self.unplaceable.clear();
    }
}

/// Index of the machines that accept tasks.
pub(super) struct RoomIndex {
    machines: Vec<MachineRoom>,
    classes: Vec<ClassRooms>,
    /// Numbers of attempts by zone of the jobs with a zone constraint.
    zone_counts: ZoneCounts,
    /// Number of machines and attempts inspected so far.
    inspections: Cell<u64>,
}

impl RoomIndex {
    /// Creates the index from the present state of the shard.
    pub fn new(shard: &Shard, zone_counts: ZoneCounts, context: &PlacementContext) -> RoomIndex {
        let mut index = RoomIndex { machines: Vec::new(), classes: Vec::new(), zone_counts, inspections: Cell::new(0) };
        let mut class_indices: HashMap<(&Name, &Name, bool), usize> = HashMap::new();
        index.count_inspections(shard.machines.len());
        for (id, machine) in shard.machines.iter().filter(|(_, machine)| machine.accepts_tasks(context.now)) {
            let Some(machine_type) = context.types.get(&machine.kind) else { continue };
            let class = *class_indices.entry((&machine.kind, &machine.zone, machine.spot)).or_insert_with(|| {
                index.classes.push(ClassRooms::new(machine));
                index.classes.len() - 1
            });
            let free = machine_type.capacity.minus(&machine.committed_resources());
            let rooms = index.rooms_of(shard, machine, free);
            if shard.queue.may_fit_into(&free) {
                index.classes[class].with_free_room.push(index.machines.len());
            }
            index.add(id.clone(), class, rooms);
        }
        index
    }

    fn add(&mut self, machine: MachineId, class: usize, rooms: [Resources; ROOM_KIND_COUNT]) {
        let class_rooms = &mut self.classes[class];
        class_rooms.machines.push(self.machines.len());
        for (bound, room) in class_rooms.bounds.iter_mut().zip(&rooms) {
            bound.max = max_of_each(&bound.max, room);
        }
        self.machines.push(MachineRoom { machine, class, rooms });
    }

    /// Returns the room of each kind on a machine whose free room is `free`.
    fn rooms_of(&self, shard: &Shard, machine: &Machine, free: Resources) -> [Resources; ROOM_KIND_COUNT] {
        let mut rooms = [free; ROOM_KIND_COUNT];
        self.count_inspections(machine.attempts.len());
        for attempt in machine.attempts.values().filter(|attempt| !attempt.is_over() && attempt.stop_grace_s.is_none())
        {
            let Some(job) = shard.jobs.get(&attempt.task.job) else { continue };
            for kind in RoomKind::all() {
                if matches!(kind, RoomKind::Preemptible(priority) if job.queue_priority() > priority) {
                    rooms[kind.index()] = rooms[kind.index()].plus(&attempt.needs);
                }
            }
        }
        rooms
    }

    /// Returns the machine at an index.
    pub fn machine(&self, index: usize) -> &MachineRoom {
        &self.machines[index]
    }

    /// Returns the free room of the machine at an index.
    pub fn free_room(&self, index: usize) -> &Resources {
        &self.machines[index].rooms[RoomKind::Free.index()]
    }

    /// Assigns free room of a machine to a task.
    pub fn assign(&mut self, index: usize, needs: &Resources) {
        for room in &mut self.machines[index].rooms {
            *room = room.minus(needs);
        }
    }

    /// Sets the free room of a machine after attempts on it were marked as to be stopped.
    pub fn record_preemption(&mut self, shard: &Shard, index: usize, free: Resources) {
        let Some(machine) = shard.machines.get(&self.machines[index].machine) else { return };
        let rooms = self.rooms_of(shard, machine, free);
        self.machines[index].rooms = rooms;
        let class = &mut self.classes[self.machines[index].class];
        for (bound, room) in class.bounds.iter_mut().zip(&rooms) {
            bound.record_growth(room);
        }
        if let Err(position) = class.with_free_room.binary_search(&index) {
            class.with_free_room.insert(position, index);
        }
    }

    /// Returns the index of the first machine, from the index `from` on, that has free room for a task of the job and
    /// may run it.
    pub fn first_with_free_room(
        &mut self,
        shard: &Shard,
        job: &Job,
        from: usize,
        context: &PlacementContext,
    ) -> Option<usize> {
        let mut first: Option<usize> = None;
        for class in self.allowed_classes(shard, job, RoomKind::Free) {
            let found = self.first_of_class_with_free_room(class, job, from, context);
            first = first.into_iter().chain(found).min();
        }
        first
    }

    /// Returns the first machine of a class, from the index `from` on, that has free room for a task of the job and is
    /// not avoided by it.
    fn first_of_class_with_free_room(
        &mut self,
        class: usize,
        job: &Job,
        from: usize,
        context: &PlacementContext,
    ) -> Option<usize> {
        let needs = job.spec.needs;
        let members = &self.classes[class].with_free_room;
        let start = members.partition_point(|index| *index < from);
        let (mut inspected, mut any_has_room) = (0, false);
        for index in &members[start..] {
            inspected += 1;
            if needs.fits_in(self.free_room(*index)) {
                any_has_room = true;
                if !job.avoids(&self.machines[*index].machine, context.now) {
                    self.count_inspections(inspected);
                    return Some(*index);
                }
            }
        }
        self.count_inspections(inspected);
        if start == 0 && !any_has_room {
            self.classes[class].bounds[RoomKind::Free.index()].record_unplaceable(needs);
        }
        None
    }

    /// Returns the indices of all machines that would have room for a task of the job, and may run it, if attempts of
    /// lower priority were stopped.
    pub fn preemptible_machines(&mut self, shard: &Shard, job: &Job, context: &PlacementContext) -> Vec<usize> {
        let kind = RoomKind::Preemptible(job.spec.priority);
        let mut found = Vec::new();
        for class in self.allowed_classes(shard, job, kind) {
            found.extend(self.preemptible_of_class(class, &job.spec.needs, kind));
        }
        found.retain(|index| !job.avoids(&self.machines[*index].machine, context.now));
        found.sort_unstable();
        found
    }

    /// Returns the classes whose machines the job may run on, without those that certainly have no room.
    fn allowed_classes(&self, shard: &Shard, job: &Job, kind: RoomKind) -> Vec<usize> {
        let is_allowed = |class: &ClassRooms| {
            class.bounds[kind.index()].may_fit(&job.spec.needs)
                && class.allows(&job.spec)
                && self.zone_counts.allow(shard, job, &class.class.zone)
        };
        (0..self.classes.len()).filter(|class| is_allowed(&self.classes[*class])).collect()
    }

    /// Returns the machines of a class that would have room for the needs if attempts were stopped.
    fn preemptible_of_class(&mut self, class: usize, needs: &Resources, kind: RoomKind) -> Vec<usize> {
        let members = &self.classes[class].machines;
        self.count_inspections(members.len());
        let rooms = || members.iter().map(|index| (*index, &self.machines[*index].rooms[kind.index()]));
        let found: Vec<usize> = rooms().filter(|(_, room)| needs.fits_in(room)).map(|(index, _)| index).collect();
        if found.is_empty() {
            let max = rooms().fold(Resources::default(), |max, (_, room)| max_of_each(&max, room));
            let bound = &mut self.classes[class].bounds[kind.index()];
            bound.max = max;
            bound.record_unplaceable(*needs);
        }
        found
    }

    /// Adds to the number of machines and attempts inspected.
    pub fn count_inspections(&self, count: usize) {
        self.inspections.set(self.inspections.get() + count as u64);
    }

    /// Returns the number of machines and attempts inspected so far.
    pub fn inspections(&self) -> u64 {
        self.inspections.get()
    }
}

impl ClassRooms {
    fn new(machine: &Machine) -> ClassRooms {
        let class = MachineClass { kind: machine.kind.clone(), zone: machine.zone.clone(), spot: machine.spot };
        ClassRooms { class, machines: Vec::new(), with_free_room: Vec::new(), bounds: Default::default() }
    }

    fn allows(&self, spec: &JobSpec) -> bool {
        spec.allows(&self.class.kind, &self.class.zone, self.class.spot)
    }
}

fn max_of_each(one: &Resources, other: &Resources) -> Resources {
    Resources { cpus: one.cpus.max(other.cpus), gpus: one.gpus.max(other.gpus), memory: one.memory.max(other.memory) }
}
