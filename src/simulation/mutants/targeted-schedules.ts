import type { SeededRandom } from '../../rehearsal/seeded-random.js';
import type { Fault, Target, When } from '../faults.js';

/**
 * Fault schedules for mutants whose fault shows only in a narrow time window: the faults that open the window, with
 * times that vary by seed.
 */

const LEADER: Target = { kind: 'role', role: 'leader' };
const FOLLOWER: Target = { kind: 'role', role: 'follower' };
const FIRST_ROUND_MS = 7000;
const ROUND_MS = 9000;
const ROUNDS = 2;

function nodeAt(index: number): Target {
  return { kind: 'place', place: index };
}

function at(moment: number): When {
  return { kind: 'at', at: Math.round(moment) };
}

function freeze(target: Target, from: number, forMs: number): Fault {
  return { kind: 'freeze', target, when: at(from), forMs };
}

function kill(target: Target, from: number, forMs: number): Fault {
  return { kind: 'kill', target, when: at(from), forMs };
}

/** Partitions a node from all other control nodes; messages are dropped silently. */
function cut(target: Target, from: number, forMs: number): Fault {
  const shape = { direction: 'both', style: 'silent', besides: 0, withAgents: false } as const;
  return { kind: 'cut', target, when: at(from), forMs, ...shape };
}

function rounds(
  random: SeededRandom,
  round: (random: SeededRandom, from: number) => Fault[],
): Fault[] {
  const faults: Fault[] = [];
  for (let count = 0; count < ROUNDS; count += 1) {
    faults.push(...round(random, FIRST_ROUND_MS + count * ROUND_MS + random.between(0, 500)));
  }
  return faults;
}

function frozenLeaderRound(random: SeededRandom, from: number): Fault[] {
  return [freeze(LEADER, from, random.between(5000, 6500))];
}

/** A leader is frozen for so long that another one takes orders; then it processes the messages that waited for it. */
export function frozenLeaders(random: SeededRandom): Fault[] {
  return rounds(random, frozenLeaderRound);
}

function cutLeaderRound(random: SeededRandom, from: number): Fault[] {
  return [cut(LEADER, from, random.between(5000, 6500))];
}

/** A leader is partitioned from the other control nodes, but not from runners and operators. */
export function cutLeaders(random: SeededRandom): Fault[] {
  return rounds(random, cutLeaderRound);
}

function slowLeaderRound(random: SeededRandom, from: number): Fault[] {
  const delayMs = Math.round(random.between(1800, 2800));
  const slow = { kind: 'slowLinks', target: LEADER, when: at(from), forMs: 5000, delayMs } as const;
  // Another leader serves after 1.5 s; writes that the first one sent until then arrive up to two seconds later.
  return [slow, kill(LEADER, from + random.between(2400, 3000), 1500)];
}

/**
 * Messages of a leader take so long that another one serves when they arrive; that leader is killed before it writes
 * again.
 */
export function slowLeaders(random: SeededRandom): Fault[] {
  return rounds(random, slowLeaderRound);
}

function stalledVotesRound(random: SeededRandom, from: number): Fault[] {
  const faults: Fault[] = [];
  for (let node = 0; node < 3; node += 1) {
    faults.push({
      kind: 'disk',
      target: nodeAt(node),
      when: at(from),
      forMs: 4000,
      trouble: 'stalled',
    });
  }
  faults.push(kill(LEADER, from + 100, 1500));
  const when = at(from + random.between(2500, 3900));
  faults.push({ kind: 'powerLossAll', when, forMs: 1000, unsynced: 'lost' });
  return faults;
}

/**
 * All disks stall, a leader is elected meanwhile if votes are sent before they are synced, and all nodes lose power.
 */
export function stalledVotes(random: SeededRandom): Fault[] {
  return rounds(random, stalledVotesRound);
}

function repairWithLaggingVoterRound(random: SeededRandom, from: number): Fault[] {
  const lossAt = from + random.between(1500, 2500);
  const wipe = {
    kind: 'wipe',
    target: FOLLOWER,
    when: at(lossAt),
    forMs: 800,
    othersLosePower: false,
  } as const;
  return [cut(nodeAt(2), from, lossAt - from + 300), freeze(LEADER, lossAt + 5, 6500), wipe];
}

/** One voter lags; of the two that took orders meanwhile, one is frozen and the other loses its disk. */
export function repairWithLaggingVoter(random: SeededRandom): Fault[] {
  return rounds(random, repairWithLaggingVoterRound);
}

/**
 * A voter is silent and a spare node is available; the other follower is partitioned while the spare becomes a voter.
 */
export function voterReplacementDuringCut(random: SeededRandom): Fault[] {
  const from = FIRST_ROUND_MS + random.between(0, 500);
  const spare = {
    kind: 'replace',
    when: at(from - 500),
    forMs: 12_000,
    planned: true,
    oldReturns: false,
  } as const;
  const silent = nodeAt(2);
  return [
    { ...spare, target: silent },
    freeze(silent, from, 7000),
    cut(FOLLOWER, from + random.between(1400, 2100), 4000),
  ];
}

function repairThenLossRound(random: SeededRandom, from: number): Fault[] {
  const lossAt = from + random.between(1000, 1400);
  const after: When = {
    kind: 'after',
    event: 'repaired',
    from: lossAt,
    delay: random.between(0, 10),
  };
  return [
    cut(nodeAt(2), from, lossAt - from + 50),
    { kind: 'wipe', target: nodeAt(1), when: at(lossAt), forMs: 600, othersLosePower: true },
    { kind: 'kill', target: nodeAt(0), when: after, forMs: 5000 },
  ];
}

/**
 * One voter lags, all lose power and another voter loses its disk; once that one is repaired, the only voter with all
 * writes is killed.
 */
export function repairThenLoss(random: SeededRandom): Fault[] {
  return rounds(random, repairThenLossRound);
}

function restartedVotersRound(random: SeededRandom, from: number): Fault[] {
  const faults = [cut(LEADER, from, 6500)];
  for (let node = 0; node < 3; node += 1) {
    faults.push(kill(nodeAt(node), from + random.between(0, 100), 50));
  }
  return faults;
}

/** A leader is partitioned, and all voters restart at once. */
export function restartedVoters(random: SeededRandom): Fault[] {
  return rounds(random, restartedVotersRound);
}

function laggingVoterRound(random: SeededRandom, from: number): Fault[] {
  const lossAt = from + random.between(2000, 3500);
  return [
    cut(nodeAt(0), from, lossAt - from),
    kill(LEADER, lossAt, 6000),
    { kind: 'powerLossAll', when: at(lossAt + 10), forMs: 500, unsynced: 'kept' },
  ];
}

/** A lagging voter is the first to be elected: the leader is down, and all others restart. */
export function laggingVoterElected(random: SeededRandom): Fault[] {
  return rounds(random, laggingVoterRound);
}

function delayedElectionRound(random: SeededRandom, from: number): Fault[] {
  const faults: Fault[] = [{ kind: 'killAll', when: at(from), forMs: 100 }];
  for (let node = 0; node < 3; node += 1) {
    const target = nodeAt(node);
    faults.push({
      kind: 'slowLinks',
      target,
      when: at(from),
      forMs: 4000,
      delayMs: Math.round(random.between(10, 400)),
    });
  }
  faults.push(kill(LEADER, from + 4500, 2000));
  return faults;
}

/** All nodes restart at once, and their messages to each other are delayed. */
export function delayedElections(random: SeededRandom): Fault[] {
  return rounds(random, delayedElectionRound);
}

const SHORT_ROUND_MS = 4200;
const SHORT_ROUNDS = 4;

function shortRounds(
  random: SeededRandom,
  round: (random: SeededRandom, from: number, node: Target) => Fault[],
): Fault[] {
  const faults: Fault[] = [];
  for (let count = 0; count < SHORT_ROUNDS; count += 1) {
    const from = FIRST_ROUND_MS + count * SHORT_ROUND_MS + random.between(0, 300);
    // The first node is most often the leader, whose loss would delay the others.
    faults.push(...round(random, from, nodeAt(1 + (count % 2))));
  }
  return faults;
}

function delayedCallsRound(random: SeededRandom, from: number, target: Target): Fault[] {
  const cutAt = from + random.between(850, 950);
  const callers = {
    kind: 'operatorCut',
    when: at(cutAt),
    forMs: 3500,
    direction: 'both',
  } as const;
  return [freeze(target, from, 2600), { ...callers, target }];
}

/** A node is frozen with calls in its buffers, and their callers' closes don't reach it. */
export function delayedCalls(random: SeededRandom): Fault[] {
  return shortRounds(random, delayedCallsRound);
}
