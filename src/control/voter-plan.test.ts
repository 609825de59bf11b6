import { describe, expect, test } from 'vitest';
import { moment } from '../common/ids.js';
import { VoterPlan, type AnnouncedNode, type VoterView } from './voter-plan.js';

/** A voter that is idle for longer is replaced if there is a spare. */
const UNREACHABLE_MS = 2000;
/** A voter that is idle for longer may be removed without a replacement. */
const DEPARTED_MS = 10_000;
const NOTHING = { do: 'nothing' };
const THREE = ['a', 'b', 'c'];
const FIVE = ['a', 'b', 'c', 'd', 'e'];

interface Situation {
  readonly voters?: readonly (readonly string[])[];
  readonly voterCount?: number;
  readonly announced?: readonly AnnouncedNode[];
  readonly idleMs?: Readonly<Record<string, number>>;
  readonly leaving?: readonly string[];
  /** Zones of voters; all other voters are in a zone of their own each. */
  readonly zones?: Readonly<Record<string, string>>;
}

/** The view of leader `a`. */
function viewOf(situation: Situation): VoterView {
  const { voters = [THREE], announced = [], idleMs = {}, leaving = [], zones = {} } = situation;
  return {
    me: 'a',
    voters,
    voterCount: situation.voterCount,
    announced,
    idleMs: (voter) => idleMs[voter] ?? 0,
    isLeaving: (id) => leaving.includes(id),
    zoneOf: (voter) => zones[voter] ?? `zone-${voter}`,
  };
}

/** A healthy spare in a zone of its own, that was not started with the cluster. */
function spare(id: string, change: Partial<AnnouncedNode> = {}): AnnouncedNode {
  return { id, zone: `zone-${id}`, isFirst: false, isHealthy: true, at: moment(0), ...change };
}

function nextOf(situation: Situation): object {
  return new VoterPlan().next(viewOf(situation));
}

/** A joint configuration of the old voters and the next ones. */
function joint(old: readonly string[], next: readonly string[], voterCount?: number): object {
  return { do: 'voters', voters: [old, next], voterCount };
}

describe('a replacement', () => {
  test('takes the place of a voter in a planned stop', () => {
    expect(nextOf({ announced: [spare('n')], leaving: ['b'] })).toEqual(
      joint(THREE, ['a', 'n', 'c']),
    );
  });

  test('takes the place of the leader itself in a planned stop', () => {
    expect(nextOf({ announced: [spare('n')], leaving: ['a'] })).toEqual(
      joint(THREE, ['n', 'b', 'c']),
    );
  });

  test('takes the place of an unreachable voter, but not of one that was heard recently', () => {
    const announced = [spare('n')];
    expect(nextOf({ announced, idleMs: { c: UNREACHABLE_MS } })).toEqual(NOTHING);
    expect(nextOf({ announced, idleMs: { c: UNREACHABLE_MS + 1 } })).toEqual(
      joint(THREE, ['a', 'b', 'n']),
    );
  });

  test('never takes the place of the leader, although it does not hear from itself', () => {
    expect(nextOf({ announced: [spare('n')], idleMs: { a: 100_000 } })).toEqual(NOTHING);
  });

  test('takes the place of a voter in a planned stop before that of an unreachable one', () => {
    const situation = { announced: [spare('n')], leaving: ['c'], idleMs: { b: 5000 } };
    expect(nextOf(situation)).toEqual(joint(THREE, ['a', 'b', 'n']));
  });

  test('is a spare of the same zone if possible, and otherwise the first that announced itself', () => {
    const situation = { leaving: ['b'], zones: { b: 'north' } };
    const inZone = spare('o', { zone: 'north' });
    expect(nextOf({ ...situation, announced: [spare('n'), inZone] })).toEqual(
      joint(THREE, ['a', 'o', 'c']),
    );
    expect(nextOf({ ...situation, announced: [spare('n'), spare('o')] })).toEqual(
      joint(THREE, ['a', 'n', 'c']),
    );
  });

  test('is neither a node that needs a repair, nor one in a planned stop, nor a voter', () => {
    const situation = { leaving: ['b', 'x'] };
    for (const node of [spare('n', { isHealthy: false }), spare('x'), spare('c')])
      expect(nextOf({ ...situation, announced: [node] })).toEqual(NOTHING);
  });

  test('does not change the wanted number of voters', () => {
    expect(nextOf({ announced: [spare('n')], leaving: ['b'], voterCount: 5 })).toEqual(
      joint(THREE, ['a', 'n', 'c'], 5),
    );
  });
});

describe('an addition', () => {
  test('is any spare if the number of voters is even', () => {
    const voters = [['a', 'b', 'c', 'd']];
    expect(nextOf({ voters, announced: [spare('n')] })).toEqual(
      joint(['a', 'b', 'c', 'd'], ['a', 'b', 'c', 'd', 'n']),
    );
  });

  test('is any spare up to the wanted number, and none beyond it', () => {
    const announced = [spare('n')];
    expect(nextOf({ announced, voterCount: 5 })).toEqual(joint(THREE, [...THREE, 'n'], 5));
    expect(nextOf({ announced, voterCount: 3 })).toEqual(NOTHING);
    expect(nextOf({ announced })).toEqual(NOTHING);
  });

  test('is a node of the first start, even beyond the wanted number', () => {
    const first = spare('n', { isFirst: true });
    expect(nextOf({ announced: [spare('o'), first] })).toEqual(joint(THREE, [...THREE, 'n']));
    expect(nextOf({ announced: [{ ...first, isHealthy: false }] })).toEqual(NOTHING);
  });

  test('is a spare of the zone with the fewest voters', () => {
    const zones = { a: 'north', b: 'north', c: 'south' };
    const [north, south, west] = ['north', 'south', 'west'].map((zone) =>
      spare(`in-${zone}`, { zone, isFirst: true }),
    );
    if (!north || !south || !west) throw new Error('no spares');
    const added = (announced: readonly AnnouncedNode[]) =>
      JSON.stringify(nextOf({ zones, announced }));
    expect(added([north, south, west])).toContain('in-west');
    expect(added([west, south, north])).toContain('in-west');
    expect(added([north, south])).toContain('in-south');
    // Among equal zones the first spare that announced itself is added.
    const other = spare('in-east', { zone: 'east', isFirst: true });
    expect(added([west, other])).toContain('in-west');
    expect(added([other, west])).toContain('in-east');
  });
});

describe('a removal', () => {
  test('keeps only the live voters if they tolerate more failures by themselves', () => {
    const idleMs = { d: DEPARTED_MS + 1, e: DEPARTED_MS + 1 };
    expect(nextOf({ voters: [FIVE], idleMs })).toEqual(joint(FIVE, THREE, 5));
  });

  test('waits until all voters to be removed have been idle for long enough', () => {
    const idleMs = { d: DEPARTED_MS, e: DEPARTED_MS };
    expect(nextOf({ voters: [FIVE], idleMs })).toEqual(NOTHING);
    expect(nextOf({ voters: [FIVE], idleMs: { ...idleMs, d: DEPARTED_MS + 1 } })).toEqual(NOTHING);
  });

  test('does not happen if a remaining voter may have failed as well', () => {
    const departed = { d: DEPARTED_MS + 1, e: DEPARTED_MS + 1 };
    const removed = joint(FIVE, THREE, 5);
    expect(nextOf({ voters: [FIVE], idleMs: { ...departed, c: UNREACHABLE_MS } })).toEqual(removed);
    expect(nextOf({ voters: [FIVE], idleMs: { ...departed, c: UNREACHABLE_MS + 1 } })).toEqual(
      NOTHING,
    );
    // The leader itself never counts as idle.
    expect(nextOf({ voters: [FIVE], idleMs: { ...departed, a: 100_000 } })).toEqual(removed);
  });

  test('does not happen if the remaining voters would tolerate no more failures', () => {
    expect(nextOf({ idleMs: { c: DEPARTED_MS + 1 } })).toEqual(NOTHING);
    expect(nextOf({ voters: [FIVE], idleMs: { e: DEPARTED_MS + 1 } })).toEqual(NOTHING);
    expect(nextOf({})).toEqual(NOTHING);
  });

  test('keeps the larger of the wanted number and the former number of voters', () => {
    const idleMs = { d: DEPARTED_MS + 1, e: DEPARTED_MS + 1 };
    expect(nextOf({ voters: [FIVE], idleMs, voterCount: 7 })).toEqual(joint(FIVE, THREE, 7));
    expect(nextOf({ voters: [FIVE], idleMs, voterCount: 3 })).toEqual(joint(FIVE, THREE, 5));
  });
});

describe('a joint configuration', () => {
  const NEXT = ['a', 'n', 'c'];
  const situation = { voters: [THREE, NEXT], voterCount: 3 };

  test('ends after a rewrite of the partitions was requested', () => {
    const plan = new VoterPlan();
    expect(plan.next(viewOf(situation))).toEqual({ do: 'rewrite' });
    expect(plan.next(viewOf(situation))).toEqual({ do: 'voters', voters: [NEXT], voterCount: 3 });
  });

  test('begins with a rewrite under each leader, and for each change', () => {
    const plan = new VoterPlan();
    plan.next(viewOf(situation));
    plan.reset();
    expect(plan.next(viewOf(situation))).toEqual({ do: 'rewrite' });
    const other = viewOf({ voters: [THREE, ['a', 'b', 'n']] });
    expect(plan.next(other)).toEqual({ do: 'rewrite' });
    expect(plan.next(viewOf(situation))).toEqual({ do: 'rewrite' });
  });

  test('is continued, whichever other changes are due', () => {
    const plan = new VoterPlan();
    const busy = { ...situation, announced: [spare('o')], leaving: ['c'], idleMs: { b: 9000 } };
    expect(plan.next(viewOf(busy))).toEqual({ do: 'rewrite' });
  });
});

test('nothing is planned without any voters', () => {
  expect(nextOf({ voters: [], announced: [spare('n', { isFirst: true })] })).toEqual(NOTHING);
});
