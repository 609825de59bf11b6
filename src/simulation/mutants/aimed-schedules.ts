import type { Seeded } from '../../rehearsal/seeded.js';
import type { Fault, Target, When } from '../faults.js';

/**
 * Schedules of faults for mutants that show in a narrow window alone: the faults that open the window, with moments
 * that a seed varies.
 */

const LEADER: Target = { kind: 'role', role: 'leader' };
const FOLLOWER: Target = { kind: 'role', role: 'follower' };
const FIRST_ROUND_MS = 7000;
const ROUND_MS = 9000;
const ROUNDS = 2;

function place(index: number): Target {
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

/** Cut off from all other control nodes, silently. */
function cut(target: Target, from: number, forMs: number): Fault {
  const shape = { direction: 'both', style: 'silent', besides: 0, withAgents: false } as const;
  return { kind: 'cut', target, when: at(from), forMs, ...shape };
}

function rounds(random: Seeded, round: (random: Seeded, from: number) => Fault[]): Fault[] {
  const faults: Fault[] = [];
  for (let count = 0; count < ROUNDS; count += 1) {
    faults.push(...round(random, FIRST_ROUND_MS + count * ROUND_MS + random.between(0, 500)));
  }
  return faults;
}

function frozenLeaderRound(random: Seeded, from: number): Fault[] {
  return [freeze(LEADER, from, random.between(5000, 6500))];
}

/** A leader stands still for so long that another one takes orders, and then reads what waited for it. */
export function frozenLeaders(random: Seeded): Fault[] {
  return rounds(random, frozenLeaderRound);
}

function cutLeaderRound(random: Seeded, from: number): Fault[] {
  return [cut(LEADER, from, random.between(5000, 6500))];
}

/** A leader is cut off from the other control nodes, and not from runners and operators. */
export function cutLeaders(random: Seeded): Fault[] {
  return rounds(random, cutLeaderRound);
}

function slowLeaderRound(random: Seeded, from: number): Fault[] {
  const delayMs = Math.round(random.between(1800, 2800));
  const slow = { kind: 'slowLinks', target: LEADER, when: at(from), forMs: 5000, delayMs } as const;
  // Another one serves after 1.5 s; what the first one wrote until then arrives up to two seconds later.
  return [slow, kill(LEADER, from + random.between(2400, 3000), 1500)];
}

/** What a leader says takes so long that another one serves when it arrives; that one is lost before it writes again. */
export function slowLeaders(random: Seeded): Fault[] {
  return rounds(random, slowLeaderRound);
}

function stalledVotesRound(random: Seeded, from: number): Fault[] {
  const faults: Fault[] = [];
  for (let node = 0; node < 3; node += 1) {
    faults.push({
      kind: 'disk',
      target: place(node),
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

/** All disks stall, a leader is elected meanwhile if votes are spoken all the same, and all lose power. */
export function stalledVotes(random: Seeded): Fault[] {
  return rounds(random, stalledVotesRound);
}

function behindRepairRound(random: Seeded, from: number): Fault[] {
  const lossAt = from + random.between(1500, 2500);
  const wipe = {
    kind: 'wipe',
    target: FOLLOWER,
    when: at(lossAt),
    forMs: 800,
    othersLosePower: false,
  } as const;
  return [cut(place(2), from, lossAt - from + 300), freeze(LEADER, lossAt + 5, 6500), wipe];
}

/** One voter is behind; one of the two that took orders meanwhile stands still, and the other's disk is lost. */
export function repairBesideOneBehind(random: Seeded): Fault[] {
  return rounds(random, behindRepairRound);
}

/** A voter is silent and a spare is there; the one other voter is cut off as the spare is let in. */
export function swapBesideCut(random: Seeded): Fault[] {
  const from = FIRST_ROUND_MS + random.between(0, 500);
  const spare = {
    kind: 'replace',
    when: at(from - 500),
    forMs: 12_000,
    planned: true,
    oldReturns: false,
  } as const;
  const silent = place(2);
  return [
    { ...spare, target: silent },
    freeze(silent, from, 7000),
    cut(FOLLOWER, from + random.between(1400, 2100), 4000),
  ];
}

function unfilledRepairRound(random: Seeded, from: number): Fault[] {
  const lossAt = from + random.between(1000, 1400);
  const after: When = {
    kind: 'after',
    event: 'repaired',
    from: lossAt,
    delay: random.between(0, 10),
  };
  return [
    cut(place(2), from, lossAt - from + 50),
    { kind: 'wipe', target: place(1), when: at(lossAt), forMs: 600, othersLosePower: true },
    { kind: 'kill', target: place(0), when: after, forMs: 5000 },
  ];
}

/** One voter is behind, all lose power and another its disk; once that is repaired, the one that holds all is lost. */
export function repairThenLoss(random: Seeded): Fault[] {
  return rounds(random, unfilledRepairRound);
}

function restartedVotersRound(random: Seeded, from: number): Fault[] {
  const faults = [cut(LEADER, from, 6500)];
  for (let node = 0; node < 3; node += 1) {
    faults.push(kill(place(node), from + random.between(0, 100), 50));
  }
  return faults;
}

/** A leader is cut off, and all voters restart at once. */
export function restartedVoters(random: Seeded): Fault[] {
  return rounds(random, restartedVotersRound);
}

function laggardRound(random: Seeded, from: number): Fault[] {
  const lossAt = from + random.between(2000, 3500);
  return [
    cut(place(0), from, lossAt - from),
    kill(LEADER, lossAt, 6000),
    { kind: 'powerLossAll', when: at(lossAt + 10), forMs: 500, unsynced: 'kept' },
  ];
}

/** A voter that is behind is the first to be elected: the leader is down, and all others restart. */
export function laggardElected(random: Seeded): Fault[] {
  return rounds(random, laggardRound);
}

function tornElectionRound(random: Seeded, from: number): Fault[] {
  const faults: Fault[] = [{ kind: 'killAll', when: at(from), forMs: 100 }];
  for (let node = 0; node < 3; node += 1) {
    const target = place(node);
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

/** All restart at once, and what they say to each other takes its time. */
export function tornElections(random: Seeded): Fault[] {
  return rounds(random, tornElectionRound);
}

const SHORT_ROUND_MS = 4200;
const SHORT_ROUNDS = 4;

function shortRounds(
  random: Seeded,
  round: (random: Seeded, from: number, node: Target) => Fault[],
): Fault[] {
  const faults: Fault[] = [];
  for (let count = 0; count < SHORT_ROUNDS; count += 1) {
    const from = FIRST_ROUND_MS + count * SHORT_ROUND_MS + random.between(0, 300);
    // The first place is most often the leader, which holds the others up when it is lost.
    faults.push(...round(random, from, place(1 + (count % 2))));
  }
  return faults;
}

function heldCallsRound(random: Seeded, from: number, target: Target): Fault[] {
  const cutAt = from + random.between(850, 950);
  const callers = {
    kind: 'operatorCut',
    when: at(cutAt),
    forMs: 3500,
    direction: 'both',
  } as const;
  return [freeze(target, from, 2600), { ...callers, target }];
}

/** A node stands still with calls in its buffers, and their callers' closes don't reach it. */
export function heldCalls(random: Seeded): Fault[] {
  return shortRounds(random, heldCallsRound);
}
