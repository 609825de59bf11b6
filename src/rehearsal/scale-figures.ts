import { array, boolean, number, string, type, type Infer } from 'superstruct';
import { difference, TallyShape, total, type Count, type TallyFigures } from './tally.js';

const CountShape = type({ messages: number(), bytes: number() });
/** Schema of `Cost`. */
export const CostShape = type({ cpuMs: number(), rssMb: number(), countingMs: number() });
/** Schema of `ControlFigures`. */
export const ControlFiguresShape = type({
  cpuMs: number(),
  rssMb: number(),
  countingMs: number(),
  tally: TallyShape,
  isLeading: boolean(),
  configEpoch: number(),
  configCount: number(),
  fleetEpoch: number(),
  fleetCount: number(),
  orders: number(),
  lists: number(),
  listMs: number(),
  writes: number(),
  writtenBytes: number(),
});
/** Schema of `EdgesFigures`. */
export const EdgesFiguresShape = type({
  cpuMs: number(),
  rssMb: number(),
  countingMs: number(),
  tally: TallyShape,
  repeats: CountShape,
  links: array(type({ id: string(), parent: string(), sent: CountShape, received: CountShape })),
});
/** What a control node has counted since its start. */
export type ControlFigures = Infer<typeof ControlFiguresShape>;
/** What a process of agents has counted since its start. */
export type EdgesFigures = Infer<typeof EdgesFiguresShape>;
/** Processor time, memory, and the time spent on counting, of a process. */
export type Cost = Infer<typeof CostShape>;

/** What one process of a role did per second of a phase, or per change in addition to its activity at rest. */
export interface RoleFigures {
  readonly sent: Count;
  readonly received: Count;
  readonly cpuMs: number;
  readonly rssMb: number;
}
/** Mean messages of an agent at one depth of the tree of agents. */
export interface DepthFigures {
  /** Number of hops from a control node. */
  readonly depth: number;
  readonly links: number;
  readonly sent: Count;
  readonly received: Count;
}
/** All figures of one phase. */
export interface PhaseFigures {
  readonly phase: string;
  readonly seconds: number;
  /** Number of changes or loads that the figures are divided by; 0 if they are per second. */
  readonly changes: number;
  readonly roles: Readonly<Record<string, RoleFigures>>;
  /** Mean figures of agents by their depth in the tree. */
  readonly depths: readonly DepthFigures[];
  /** Messages that all nodes sent to others. */
  readonly all: Count;
  /** Those of them that were updates to an agent that already had the version. */
  readonly repeats: Count;
  /** Messages by kind, of the leader, and the mean of followers and of agents. */
  readonly kinds: Readonly<Record<string, TallyFigures>>;
  /** Time until each change was in force at the last proxy, ms. */
  readonly inForceMs: readonly number[];
  /** Number of updates of the fleet that the leader published. */
  readonly fleetNews: number;
  readonly orders: number;
  readonly writes: number;
  readonly writtenBytes: number;
  readonly lists: number;
  readonly listMs: number;
}

/** The counts of all processes at one time. */
export interface Snapshot {
  /** By the machine's shared clock, ms. */
  readonly at: number;
  readonly controlNodes: readonly ControlFigures[];
  readonly edges: readonly EdgesFigures[];
  readonly watchedAgent: EdgesFigures | undefined;
  readonly watchedProxy: Cost | undefined;
}

/** Counts of a process, or the mean over the processes of a role. */
interface RoleCounts {
  readonly cpuMs: number;
  readonly countingMs: number;
  readonly rssMb: number;
  readonly tally: TallyFigures;
}

const NO_COUNT: Count = { messages: 0, bytes: 0 };
const NO_TALLY: TallyFigures = { sent: {}, received: {} };

/** Scales counts: per second if there are no changes, otherwise per change after subtracting the activity at rest. */
class Scaler {
  readonly #seconds: number;
  readonly #changes: number;

  constructor(seconds: number, changes: number) {
    this.#seconds = seconds;
    this.#changes = changes;
  }

  /** Scales one number, rounded to three decimals. */
  value(raw: number, perSecondAtRest: number): number {
    const share =
      this.#changes === 0
        ? raw / this.#seconds
        : (raw - perSecondAtRest * this.#seconds) / this.#changes;
    return Math.round(share * 1000) / 1000;
  }

  /** Scales messages and bytes. */
  count(raw: Count, rest: Count | undefined): Count {
    return {
      messages: this.value(raw.messages, rest?.messages ?? 0),
      bytes: this.value(raw.bytes, rest?.bytes ?? 0),
    };
  }

  /** Scales the counts of each message kind. */
  counts(
    raw: Readonly<Record<string, Count>>,
    rest: Readonly<Record<string, Count>> | undefined,
  ): Record<string, Count> {
    const scaled: Record<string, Count> = {};
    for (const [kind, count] of Object.entries(raw)) scaled[kind] = this.count(count, rest?.[kind]);
    return scaled;
  }

  /** Scales what was sent and received. */
  tally(raw: TallyFigures, rest: TallyFigures | undefined): TallyFigures {
    return {
      sent: this.counts(raw.sent, rest?.sent),
      received: this.counts(raw.received, rest?.received),
    };
  }
}

/** Returns the difference between two readings as the mean over the members of a role. */
function meanCounts(
  before: readonly RoleCounts[],
  after: readonly RoleCounts[],
  members: number,
): RoleCounts {
  let [cpuMs, countingMs, rssMb] = [0, 0, 0];
  const tallies: TallyFigures[] = [];
  for (const [index, counts] of after.entries()) {
    const was = before[index];
    cpuMs += counts.cpuMs - (was?.cpuMs ?? 0);
    countingMs += counts.countingMs - (was?.countingMs ?? 0);
    rssMb += counts.rssMb;
    tallies.push(difference(counts.tally, was?.tally ?? NO_TALLY));
  }
  return {
    cpuMs: cpuMs / members,
    countingMs: countingMs / members,
    rssMb: rssMb / members,
    tally: meanTally(tallies, members),
  };
}

function meanTally(tallies: readonly TallyFigures[], members: number): TallyFigures {
  const mean: { sent: Record<string, Count>; received: Record<string, Count> } = {
    sent: {},
    received: {},
  };
  for (const tally of tallies) {
    for (const direction of ['sent', 'received'] as const) {
      for (const [kind, { messages, bytes }] of Object.entries(tally[direction])) {
        const sum = mean[direction][kind] ?? NO_COUNT;
        mean[direction][kind] = {
          messages: sum.messages + messages / members,
          bytes: sum.bytes + bytes / members,
        };
      }
    }
  }
  return mean;
}

function roleOf(counts: RoleCounts, rest: RoleFigures | undefined, scaler: Scaler): RoleFigures {
  return {
    sent: scaler.count(total(counts.tally.sent), rest?.sent),
    received: scaler.count(total(counts.tally.received), rest?.received),
    // The time spent on counting is not part of the role's cost.
    cpuMs: scaler.value(counts.cpuMs - counts.countingMs, rest?.cpuMs ?? 0),
    rssMb: Math.round(counts.rssMb * 10) / 10,
  };
}

/** Returns an agent's number of hops from a control node, given the parent of each agent. */
export function depthOf(id: string, parents: ReadonlyMap<string, string>): number {
  let depth = 1;
  // Agents learn their parents one by one, so that for a moment two may be each other's parent; the limit ends such a cycle.
  for (let at = parents.get(id) ?? ''; at !== '' && depth < 20; at = parents.get(at) ?? '')
    depth += 1;
  return depth;
}

function depthsOf(
  before: Snapshot,
  after: Snapshot,
  rest: PhaseFigures | undefined,
  scaler: Scaler,
): DepthFigures[] {
  const parents = new Map<string, string>();
  const was = new Map<string, { readonly sent: Count; readonly received: Count }>();
  const links = [];
  for (const part of before.edges) for (const link of part.links) was.set(link.id, link);
  for (const part of [...after.edges, ...(after.watchedAgent ? [after.watchedAgent] : [])])
    for (const link of part.links) parents.set(link.id, link.parent);
  for (const part of after.edges) links.push(...part.links);
  const sums = new Map<number, { links: number; sent: Count; received: Count }>();
  for (const link of links) {
    const depth = depthOf(link.id, parents);
    const sum = sums.get(depth) ?? { links: 0, sent: { ...NO_COUNT }, received: { ...NO_COUNT } };
    sums.set(depth, sum);
    const previous = was.get(link.id);
    sum.links += 1;
    for (const direction of ['sent', 'received'] as const) {
      sum[direction].messages += link[direction].messages - (previous?.[direction].messages ?? 0);
      sum[direction].bytes += link[direction].bytes - (previous?.[direction].bytes ?? 0);
    }
  }
  const depths: DepthFigures[] = [];
  for (const [depth, sum] of [...sums].sort(byDepth)) {
    const known = rest?.depths.find((figures) => figures.depth === depth);
    depths.push({
      depth,
      links: sum.links,
      sent: scaler.count(shareOf(sum.sent, sum.links), known?.sent),
      received: scaler.count(shareOf(sum.received, sum.links), known?.received),
    });
  }
  return depths;
}

function shareOf(count: Count, members: number): Count {
  return { messages: count.messages / members, bytes: count.bytes / members };
}
function byDepth(a: readonly [number, unknown], b: readonly [number, unknown]): number {
  return a[0] - b[0];
}
function isLeading(controlNode: ControlFigures): boolean {
  return controlNode.isLeading;
}

/** Returns what happened between two snapshots, by role. */
export function figuresOf(
  phase: string,
  before: Snapshot,
  after: Snapshot,
  rest: PhaseFigures | undefined,
  changes: number,
  inForceMs: readonly number[],
): PhaseFigures {
  const seconds = (after.at - before.at) / 1000;
  const scaler = new Scaler(seconds, changes);
  const at = Math.max(0, after.controlNodes.findIndex(isLeading));
  function isLeader(_controlNode: ControlFigures, index: number): boolean {
    return index === at;
  }
  function isFollower(_controlNode: ControlFigures, index: number): boolean {
    return index !== at;
  }
  let links = 0;
  const [repeats, all] = [{ ...NO_COUNT }, { ...NO_COUNT }];
  for (const [index, part] of after.edges.entries()) {
    links += part.links.length;
    repeats.messages += part.repeats.messages - (before.edges[index]?.repeats.messages ?? 0);
    repeats.bytes += part.repeats.bytes - (before.edges[index]?.repeats.bytes ?? 0);
  }
  const countsByRole: Record<string, RoleCounts> = {
    leader: meanCounts(
      before.controlNodes.filter(isLeader),
      after.controlNodes.filter(isLeader),
      1,
    ),
    follower: meanCounts(
      before.controlNodes.filter(isFollower),
      after.controlNodes.filter(isFollower),
      Math.max(1, after.controlNodes.length - 1),
    ),
    link: meanCounts(before.edges, after.edges, Math.max(1, links)),
  };
  if (before.watchedAgent && after.watchedAgent)
    countsByRole['watched link'] = meanCounts([before.watchedAgent], [after.watchedAgent], 1);
  if (before.watchedProxy && after.watchedProxy)
    countsByRole['watched flow'] = meanCounts(
      [{ ...before.watchedProxy, tally: NO_TALLY }],
      [{ ...after.watchedProxy, tally: NO_TALLY }],
      1,
    );
  const roles: Record<string, RoleFigures> = {};
  const kinds: Record<string, TallyFigures> = {};
  for (const [role, counts] of Object.entries(countsByRole)) {
    roles[role] = roleOf(counts, rest?.roles[role], scaler);
    if (role !== 'watched flow') kinds[role] = scaler.tally(counts.tally, rest?.kinds[role]);
  }
  const members: [string, number][] = [
    ['leader', 1],
    ['follower', after.controlNodes.length - 1],
    ['link', links],
  ];
  for (const [role, count] of members) {
    const sent = total(countsByRole[role]?.tally.sent ?? {});
    all.messages += sent.messages * count;
    all.bytes += sent.bytes * count;
  }
  const [was, is] = [before.controlNodes[at], after.controlNodes[at]];
  function increase(
    key: 'fleetCount' | 'orders' | 'writes' | 'writtenBytes' | 'lists' | 'listMs',
  ): number {
    return (is?.[key] ?? 0) - (was?.[key] ?? 0);
  }
  return {
    phase,
    seconds: Math.round(seconds * 1000) / 1000,
    changes,
    roles,
    depths: depthsOf(before, after, rest, scaler),
    all: scaler.count(all, rest?.all),
    repeats: scaler.count(repeats, rest?.repeats),
    kinds,
    inForceMs: inForceMs.map(Math.round),
    fleetNews: increase('fleetCount'),
    orders: increase('orders'),
    writes: increase('writes'),
    writtenBytes: increase('writtenBytes'),
    lists: increase('lists'),
    listMs: Math.round(increase('listMs')),
  };
}
