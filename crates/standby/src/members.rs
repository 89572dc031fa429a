//! One table of who lives and who holds which shard under which claim, as last read or heard.

use crate::right::Terms;
use crowstall_model::model::{Name, NodeLabel, Revision, ShardId};
use crowstall_model::time::{Span, Time};
use std::collections::BTreeMap;

/// A node that has been silent for so long is not waited for.
pub const SILENT: Span = Span::millis(1500);

/// What a node says of itself in a beat.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Word {
    /// Tells one life of its process from the next; 0 if it did not say.
    pub life: u64,
    pub entitled: bool,
    /// It can hold a shard.
    pub ready: bool,
    pub held: Vec<(ShardId, Revision)>,
    /// The newest claim it knows of each shard.
    pub known: Vec<(ShardId, Revision)>,
    /// For how long the state service has not answered it.
    pub state_quiet: Span,
    /// How long ago it heard each of the others.
    pub hears: Vec<(NodeLabel, Span)>,
    /// Which messages it understands; 0 if it did not say.
    pub speaks: u32,
}

/// What is known of another controller.
#[derive(Clone, Debug)]
pub struct Peer {
    pub seen: Time,
    /// Since when it has been ready without a break.
    pub ready_since: Option<Time>,
    pub word: Word,
}

impl Peer {
    /// It was heard of lately.
    pub fn is_heard(&self, now: Time) -> bool {
        now.since(self.seen) < SILENT
    }

    /// For how long the state service has not answered it by now, for all that is known.
    pub fn state_quiet(&self, now: Time) -> Span {
        self.word.state_quiet + now.since(self.seen)
    }
}

/// Who holds a shard.
#[derive(Clone, Debug, Default)]
pub struct Holding {
    pub holder: Option<NodeLabel>,
    /// Which life of the holder, and by which terms it may be replaced early, if it may.
    pub life: u64,
    pub terms: Option<Terms>,
    pub claim: Revision,
    /// When this node first saw that claim.
    pub claim_seen: Time,
    pub absent_since: Option<Time>,
    /// When this node released it to another.
    pub released: Option<Time>,
    /// Who held it before the present claim, in which life.
    replaced: Option<(NodeLabel, u64)>,
    /// When a holder that had been replaced showed soon after that it lives: it had been suspected wrongly.
    wrongly: Vec<Time>,
    /// The version of the holder's pulse in the state service, and when it last changed.
    pulse: Option<(Revision, Time)>,
}

/// For how long a wrong suspicion makes the next one harder.
const REMEMBERED: Span = Span::millis(60_000);
/// A holder that is heard so soon after it was replaced had not been lost.
const SOON: Span = Span::millis(3_000);

impl Holding {
    /// The shard is held by this claim, or by a newer one known before.
    fn seen(&mut self, claim: Revision, now: Time) -> bool {
        self.absent_since = None;
        let newer = claim > self.claim;
        if newer {
            self.claim = claim;
            self.claim_seen = now;
            self.replaced = self.holder.take().map(|holder| (holder, self.life));
        }
        newer
    }

    /// The holder before this one says that it lives.
    fn heard_from_former(&mut self, node: &NodeLabel, life: u64, now: Time) {
        let same = self.replaced.as_ref().is_some_and(|(label, before)| label == node && *before == life);
        if same && life != 0 {
            self.replaced = None;
            if now.since(self.claim_seen) < SOON {
                self.wrongly.retain(|at| now.since(*at) < REMEMBERED);
                self.wrongly.push(now);
            }
        }
    }

    /// How often a holder was suspected wrongly within the last minute.
    pub fn wrong_suspicions(&self, now: Time) -> u32 {
        self.wrongly.iter().filter(|at| now.since(**at) < REMEMBERED).count() as u32
    }
}

/// The table. Beats and what is read of the shards' keys feed it; everybody else reads it.
#[derive(Debug)]
pub struct Members {
    me: NodeLabel,
    peers: BTreeMap<NodeLabel, Peer>,
    zones: BTreeMap<NodeLabel, Name>,
    shards: Vec<Holding>,
}

impl Members {
    /// `zones` names every controller, this one included, with where it is.
    pub fn new(me: NodeLabel, zones: BTreeMap<NodeLabel, Name>, shards: usize) -> Members {
        Members { me, peers: BTreeMap::new(), zones, shards: vec![Holding::default(); shards] }
    }

    pub fn peer(&self, node: &NodeLabel) -> Option<&Peer> {
        self.peers.get(node)
    }

    pub fn peers(&self) -> impl Iterator<Item = (&NodeLabel, &Peer)> {
        self.peers.iter()
    }

    pub fn heard(&self, now: Time) -> impl Iterator<Item = (&NodeLabel, &Peer)> {
        self.peers.iter().filter(move |(_, peer)| peer.is_heard(now))
    }

    pub fn holding(&self, shard: ShardId) -> Option<&Holding> {
        self.shards.get(shard.0 as usize)
    }

    pub fn holder_of(&self, shard: ShardId) -> Option<&NodeLabel> {
        self.holding(shard)?.holder.as_ref()
    }

    /// The newest claims known.
    pub fn known(&self) -> Vec<(ShardId, Revision)> {
        let claims = self.shards.iter().enumerate().map(|(at, holding)| (ShardId(at as u32), holding.claim));
        claims.filter(|(_, claim)| claim.0 > 0).collect()
    }

    /// A beat of another node.
    pub fn heard_from(&mut self, node: NodeLabel, word: Word, now: Time) {
        let since = match self.peers.get(&node) {
            Some(peer) if word.ready && peer.is_heard(now) => peer.ready_since.or(Some(now)),
            _ => word.ready.then_some(now),
        };
        for &(shard, claim) in &word.held {
            let Some(holding) = self.shards.get_mut(shard.0 as usize) else { continue };
            if holding.seen(claim, now) {
                // Its terms are read from its record, not heard.
                (holding.holder, holding.life, holding.terms) = (Some(node.clone()), word.life, None);
            }
        }
        for holding in &mut self.shards {
            holding.heard_from_former(&node, word.life, now);
        }
        self.peers.insert(node, Peer { seen: now, ready_since: since, word });
    }

    /// The shard's key as it was read. Nothing changes if a newer claim is known.
    pub fn read(
        &mut self,
        shard: ShardId,
        claim: Revision,
        holder: &NodeLabel,
        life: u64,
        terms: Option<Terms>,
        now: Time,
    ) {
        let Some(holding) = self.shards.get_mut(shard.0 as usize) else { return };
        if claim >= holding.claim {
            holding.seen(claim, now);
            (holding.holder, holding.life, holding.terms) = (Some(holder.clone()), life, terms);
        }
    }

    /// The shard's key was not there. Gives back since when, and whether anybody ever held it.
    pub fn absent(&mut self, shard: ShardId, now: Time) -> Option<(Time, bool)> {
        let holding = self.shards.get_mut(shard.0 as usize)?;
        holding.holder = None;
        let since = *holding.absent_since.get_or_insert(now);
        Some((since, holding.claim.0 > 0))
    }

    /// This node gave it up to another.
    pub fn released(&mut self, shard: ShardId, now: Time) {
        if let Some(holding) = self.shards.get_mut(shard.0 as usize) {
            (holding.holder, holding.released) = (None, Some(now));
        }
    }

    /// The holder's pulse in the state service as it was read.
    pub fn pulse(&mut self, shard: ShardId, version: Revision, now: Time) {
        if let Some(holding) = self.shards.get_mut(shard.0 as usize)
            && holding.pulse.is_none_or(|(known, _)| known < version)
        {
            holding.pulse = Some((version, now));
        }
    }

    /// The version of a shard's pulse as last seen.
    pub fn pulse_version(&self, shard: ShardId) -> Revision {
        self.holding(shard).and_then(|holding| holding.pulse).map_or(Revision(0), |(version, _)| version)
    }

    /// The shards that a node holds, as far as known.
    pub fn held_by<'a>(&'a self, node: &'a NodeLabel) -> impl Iterator<Item = (ShardId, &'a Holding)> {
        let all = self.shards.iter().enumerate().map(|(at, holding)| (ShardId(at as u32), holding));
        all.filter(move |(_, holding)| holding.holder.as_ref() == Some(node))
    }

    /// When a holder last showed that it lives: here, to anybody who is heard here, or in the state service.
    /// None if it was never heard here.
    pub fn alive(&self, node: &NodeLabel, now: Time) -> Option<Time> {
        let own = self.peers.get(node)?.seen;
        let others = self.heard(now).filter(|(other, _)| *other != node);
        let hearsay = others.filter_map(|(_, peer)| {
            let (_, ago) = peer.word.hears.iter().find(|(heard, _)| heard == node)?;
            Some(peer.seen - *ago)
        });
        let pulses = self.held_by(node).filter_map(|(_, holding)| holding.pulse.map(|(_, at)| at));
        hearsay.chain(pulses).chain([own]).max()
    }

    /// How long ago this node heard each of the others.
    pub fn hears(&self, now: Time) -> Vec<(NodeLabel, Span)> {
        self.peers.iter().map(|(node, peer)| (node.clone(), now.since(peer.seen))).collect()
    }

    /// Somebody is not heard here, or does not hear this node: then a holder shows in the state service that it lives.
    pub fn is_parted(&self, now: Time, within: Span) -> bool {
        let hears_me = |peer: &Peer| peer.word.hears.iter().any(|(node, ago)| *node == self.me && *ago < within);
        let mut others = self.zones.keys().filter(|node| **node != self.me);
        others.any(|node| self.peers.get(node).is_none_or(|peer| now.since(peer.seen) >= within || !hears_me(peer)))
    }

    /// This node's place among those that could replace a holder: nodes in other zones first, then in the order of
    /// their labels from the holder's on. Only those count that are there, ready, and reach the state service.
    pub fn rank(&self, holder: &NodeLabel, now: Time) -> u32 {
        let order: Vec<&NodeLabel> = self.zones.keys().collect();
        let place = |node: &NodeLabel| order.iter().position(|other| *other == node).unwrap_or(0);
        let from = place(holder);
        let key = |node: &NodeLabel| {
            let near = self.zones.get(node) == self.zones.get(holder);
            (near, (place(node) + order.len() - from) % order.len().max(1))
        };
        let mine = key(&self.me);
        let able = |peer: &Peer| peer.ready_since.is_some() && peer.is_heard(now) && peer.state_quiet(now) < SILENT;
        let before = self.peers.iter().filter(|(node, peer)| *node != holder && able(peer) && key(node) < mine);
        before.count() as u32
    }
}
