//! Cuts that part the workers from the holder of their shard while the controllers still reach one
//! another: reports go by way of another node. And a holder that reaches nobody at all but the
//! state service, which would otherwise keep its claim alive for nothing.

use super::*;
use crate::protocol::workers::{self, ANSWER_WAIT, NEXT_NODE, Report};

/// How long a worker's reports are passed on before it is sent to the holder again, at first.
const FIRST_DETOUR: Span = Span::millis(10_000);
const LONGEST_DETOUR: Span = Span::millis(80_000);
/// After how long without any report and any other node a shard is let go: this many reports.
const ALONE_REPORTS: f64 = 3.0;

/// A worker whose reports are passed on to the holder.
pub(super) struct Detour {
    /// The holder's claim.
    claim: Revision,
    /// Since when, and for how long, before it is sent there again.
    since: Time,
    pause: Span,
    last: Time,
}

/// Nothing is claimed for a while: this node has let go of a shard since it reached nobody.
pub(super) struct Reluctance {
    until: Time,
    pause: Span,
}

impl Controller {
    /// Answers a report of a machine whose shard another node holds.
    ///
    /// A worker leaves a node only when that does not answer it. So one that shows a token of a claim
    /// that everybody has had time to find has been with the holder and does not reach it any more,
    /// and would lose its lease on the way to and fro; its reports are passed on instead. Right after
    /// a takeover it may have the token from a direct question, and is sent to the holder once. That
    /// takes no change of hands, goes for one machine as for all, and ends by itself: now and then
    /// the worker is sent to the holder again, each time later.
    pub(super) fn send_elsewhere(&mut self, ask: Asker, shard: ShardId, report: Box<Report>) {
        if matches!(ask, Asker::Peer { .. }) {
            return self.reply(ask, Reply::busy("not held here"));
        }
        let now = self.now;
        let (claim, known) = match self.members.holding(shard) {
            Some(holding) => (holding.claim, now.since(holding.claim_seen)),
            None => (Revision(0), Span::ZERO),
        };
        let was_there = claim.0 > 0 && report.token.0 >= claim.0;
        let holder = self.holder_of(shard).filter(|node| **node != self.cfg.label);
        let there = workers::elsewhere(holder.map(|node| node.as_str()));
        if !was_there || holder.is_none() {
            return self.reply(ask, there);
        }
        if self.live_holder(shard).is_none() {
            // Reached neither by the worker nor from here. Perhaps another node does better.
            return self.reply(ask, workers::elsewhere(None));
        }
        // A worker that is sent to the holder in vain must be back before its lease ends.
        let trip = self.round_trip();
        let lease = self.cfg.lease;
        let before = self.detours.get_mut(&report.machine).filter(|detour| detour.claim == claim);
        let send_there = match before {
            Some(detour) => {
                detour.last = now;
                let due = now.since(detour.since) >= detour.pause && trip < lease;
                if due {
                    detour.since = now;
                    detour.pause = detour.pause.times(2.0).min(LONGEST_DETOUR);
                }
                due
            }
            None => {
                log::debug!("machine {} does not reach the holder of shard {shard}", report.machine);
                let detour = Detour { claim, since: now, pause: FIRST_DETOUR, last: now };
                self.detours.insert(report.machine.clone(), detour);
                known < lease
            }
        };
        if send_there {
            return self.reply(ask, there);
        }
        self.pass_on(ask, shard, PeerAsk::Report(report));
    }

    /// How long a worker that is sent to the holder in vain takes to come back, at the most.
    fn round_trip(&self) -> Span {
        ANSWER_WAIT + NEXT_NODE + self.cfg.report.times(1.5)
    }

    pub(super) fn detours_tick(&mut self) {
        // One that has not come back found the holder. If it ever comes again, that is a new cut, and
        // it must not be sent there first: it would lose its lease on the way.
        let (now, back) = (self.now, self.round_trip().times(2.0));
        self.detours.retain(|_, detour| now.since(detour.last) < back);
        self.let_go_alone();
    }

    /// Lets go of shards whose workers don't report here while no other node is heard either.
    /// Whoever is on the workers' side of such a cut can serve them; a node on its own can't, though
    /// it could renew its claim for ever. It claims nothing again until it hears somebody, or for a
    /// pause that doubles, so that a shard without any worker does not go round.
    fn let_go_alone(&mut self) {
        let now = self.now;
        let patience = self.cfg.report.times(ALONE_REPORTS).max(self.cfg.lease.times(0.5));
        if self.cfg.peers.is_empty() || self.members.heard(now).next().is_some() {
            return;
        }
        let deaf = |shard: &&Shard| {
            let heard = shard.machines.values().map(|machine| machine.seen).max();
            shard.is_active() && heard.is_some_and(|heard| now.since(heard) >= patience) && !self.claiming(shard.id)
        };
        let alone: Vec<ShardId> = self.shards.values().filter(deaf).map(|shard| shard.id).collect();
        if alone.is_empty() || !self.entitled() {
            return;
        }
        let (first, most) = (self.cfg.lease.times(2.0), self.cfg.lease.times(8.0));
        let pause = self.reluctance.as_ref().map_or(first, |before| before.pause.times(2.0).min(most));
        self.reluctance = Some(Reluctance { until: now + pause, pause });
        for shard in alone {
            self.release(shard, None);
        }
    }

    pub(super) fn reluctant(&self) -> bool {
        self.reluctance.as_ref().is_some_and(|reluctance| self.now < reluctance.until)
    }
}
