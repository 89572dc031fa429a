//! What is seen of machines' boots, by type and zone: the catalog's times hold on most days, but there
//! are nights when machines come up late, at once, or never.

use super::*;

/// For how long a boot tells something about the next one.
const MEMORY: Span = Span::millis(120_000);
/// From how many boots on anything is concluded.
const ENOUGH: usize = 3;
/// With fewer boots in time than that, a zone's machines are late or never come.
const HARDLY_ANY: f64 = 0.15;

/// The newest boots, by type and zone: when each was known to be in time, or not.
#[derive(Default)]
pub(super) struct Boots {
    seen: HashMap<(Name, Name), VecDeque<(Time, bool)>>,
}

impl Boots {
    pub fn note(&mut self, kind: &Name, zone: &Name, in_time: bool, now: Time) {
        let seen = self.seen.entry((kind.clone(), zone.clone())).or_default();
        seen.push_back((now, in_time));
        while seen.front().is_some_and(|(at, _)| now.since(*at) > MEMORY) {
            seen.pop_front();
        }
    }

    /// The part of the newest boots that were in time; nothing if too few were seen.
    fn in_time(&self, kind: &Name, zone: &Name, now: Time) -> Option<f64> {
        let seen = self.seen.get(&(kind.clone(), zone.clone()))?;
        let recent = seen.iter().filter(|(at, _)| now.since(*at) <= MEMORY);
        let (count, good) =
            recent.fold((0, 0), |(count, good), (_, in_time)| (count + 1, good + usize::from(*in_time)));
        (count >= ENOUGH).then(|| good as f64 / count as f64)
    }

    /// Most machines of the type are not up in time there: others are to be preferred.
    pub fn is_bad(&self, kind: &Name, zone: &Name, now: Time) -> bool {
        self.in_time(kind, zone, now).is_some_and(|part| part < 0.5)
    }

    /// Hardly any machine of the type is up in time in any zone: they come late, and what would
    /// replace them would come late too.
    pub fn all_late(&self, kind: &MachineType, now: Time) -> bool {
        kind.zones.iter().all(|zone| self.in_time(&kind.name, zone, now).is_some_and(|part| part < HARDLY_ANY))
    }
}

/// After how long a machine that is not up is overdue.
pub(super) fn due(kind: &MachineType) -> Span {
    kind.boot.times(1.8) + Span::millis(5000)
}

/// How long an overdue machine is waited for, in the hope that it only comes late, where all do.
fn patience(kind: &MachineType, all_late: bool) -> Span {
    match all_late {
        true => kind.boot.times(6.0) + Span::millis(30_000),
        false => kind.boot.times(2.5) + Span::millis(10_000),
    }
}

impl Controller {
    /// Finds machines that are overdue, and gives up those that were waited for long enough.
    pub(super) fn judge_boots(&mut self, id: ShardId) {
        let now = self.now;
        let Some(shard) = self.shards.get_mut(&id) else { return };
        for (name, machine) in &mut shard.booting {
            let Some(kind) = self.cloud.types.get(&machine.kind) else { continue };
            let age = now.since(machine.since);
            if age > due(kind) && !machine.overdue {
                log::debug!("machine {name} ({}, {}) is overdue", machine.kind, machine.zone);
                machine.overdue = true;
                self.cloud.boots.note(&machine.kind, &machine.zone, false, now);
            }
            // Nobody is waited for less than until overdue, so the others need no look at the history.
            machine.deleting |= machine.overdue && age > patience(kind, self.cloud.boots.all_late(kind, now));
        }
    }

    /// Whether a machine that is not up yet counts as room: one that is overdue may never come and is
    /// replaced elsewhere; but not where everything is late, or the fleet would run away.
    pub(super) fn is_awaited(&self, machine: &super::shard::Booting) -> bool {
        let Some(kind) = self.cloud.types.get(&machine.kind) else { return false };
        let in_hope = || {
            self.now.since(machine.since) < kind.boot.times(5.0) + Span::millis(10_000)
                && self.cloud.boots.all_late(kind, self.now)
        };
        !machine.deleting && (!machine.overdue || in_hope())
    }
}
