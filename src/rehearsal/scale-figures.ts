import { array, boolean, number, string, type, type Infer } from 'superstruct';
import { difference, TallyShape, total, type Count, type TallyFigures } from './tally.js';

const CountShape = type({ messages: number(), bytes: number() });
export const CostShape = type({ cpuMs: number(), rssMb: number(), countingMs: number() });
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
export const EdgesFiguresShape = type({
  cpuMs: number(),
  rssMb: number(),
  countingMs: number(),
  tally: TallyShape,
  repeats: CountShape,
  links: array(type({ id: string(), parent: string(), sent: CountShape, received: CountShape })),
});
export type ControlFigures = Infer<typeof ControlFiguresShape>;
export type EdgesFigures = Infer<typeof EdgesFiguresShape>;
export type Cost = Infer<typeof CostShape>;

/** What one process of a role did in a second of a phase, or for one change beyond what it does at rest. */
export interface RoleFigures {
  readonly sent: Count;
  readonly received: Count;
  readonly cpuMs: number;
  readonly rssMb: number;
}
export interface DepthFigures {
  readonly depth: number;
  readonly links: number;
  readonly sent: Count;
  readonly received: Count;
}
export interface PhaseFigures {
  readonly phase: string;
  readonly seconds: number;
  /** How many changes or loads the figures are divided by; 0 where they are by the second. */
  readonly changes: number;
  readonly roles: Readonly<Record<string, RoleFigures>>;
  /** Links by their steps from a control node, in the mean. */
  readonly depths: readonly DepthFigures[];
  /** All that all nodes sent to others. */
  readonly all: Count;
  /** Of it news that came where they were held already. */
  readonly repeats: Count;
  /** By kind, of the leader, a follower and a link in the mean. */
  readonly kinds: Readonly<Record<string, TallyFigures>>;
  readonly inForceMs: readonly number[];
  readonly fleetNews: number;
  readonly orders: number;
  readonly writes: number;
  readonly writtenBytes: number;
  readonly lists: number;
  readonly listMs: number;
}

export interface Snapshot {
  readonly at: number;
  readonly controlNodes: readonly ControlFigures[];
  readonly edges: readonly EdgesFigures[];
  readonly watchedAgent: EdgesFigures | undefined;
  readonly watchedProxy: Cost | undefined;
}

interface Side {
  readonly cpuMs: number;
  readonly countingMs: number;
  readonly rssMb: number;
  readonly tally: TallyFigures;
}

const NOTHING: Count = { messages: 0, bytes: 0 };
const NO_TALLY: TallyFigures = { sent: {}, received: {} };

/** By the second where there are no changes; else what is beyond rest, by the change. */
class Scale {
  readonly #seconds: number;
  readonly #changes: number;

  constructor(seconds: number, changes: number) {
    this.#seconds = seconds;
    this.#changes = changes;
  }

  value(raw: number, perSecondAtRest: number): number {
    const share =
      this.#changes === 0
        ? raw / this.#seconds
        : (raw - perSecondAtRest * this.#seconds) / this.#changes;
    return Math.round(share * 1000) / 1000;
  }

  count(raw: Count, rest: Count | undefined): Count {
    return {
      messages: this.value(raw.messages, rest?.messages ?? 0),
      bytes: this.value(raw.bytes, rest?.bytes ?? 0),
    };
  }

  counts(
    raw: Readonly<Record<string, Count>>,
    rest: Readonly<Record<string, Count>> | undefined,
  ): Record<string, Count> {
    const scaled: Record<string, Count> = {};
    for (const [kind, count] of Object.entries(raw)) scaled[kind] = this.count(count, rest?.[kind]);
    return scaled;
  }

  tally(raw: TallyFigures, rest: TallyFigures | undefined): TallyFigures {
    return {
      sent: this.counts(raw.sent, rest?.sent),
      received: this.counts(raw.received, rest?.received),
    };
  }
}

/** Several processes of a role as one in the mean. */
function sideOf(before: readonly Side[], after: readonly Side[], members: number): Side {
  let [cpuMs, countingMs, rssMb] = [0, 0, 0];
  const tallies: TallyFigures[] = [];
  for (const [index, side] of after.entries()) {
    const was = before[index];
    cpuMs += side.cpuMs - (was?.cpuMs ?? 0);
    countingMs += side.countingMs - (was?.countingMs ?? 0);
    rssMb += side.rssMb;
    tallies.push(difference(side.tally, was?.tally ?? NO_TALLY));
  }
  return {
    cpuMs: cpuMs / members,
    countingMs: countingMs / members,
    rssMb: rssMb / members,
    tally: meanOf(tallies, members),
  };
}

function meanOf(tallies: readonly TallyFigures[], members: number): TallyFigures {
  const mean: { sent: Record<string, Count>; received: Record<string, Count> } = {
    sent: {},
    received: {},
  };
  for (const tally of tallies) {
    for (const way of ['sent', 'received'] as const) {
      for (const [kind, { messages, bytes }] of Object.entries(tally[way])) {
        const known = mean[way][kind] ?? NOTHING;
        mean[way][kind] = {
          messages: known.messages + messages / members,
          bytes: known.bytes + bytes / members,
        };
      }
    }
  }
  return mean;
}

function roleOf(side: Side, rest: RoleFigures | undefined, scale: Scale): RoleFigures {
  return {
    sent: scale.count(total(side.tally.sent), rest?.sent),
    received: scale.count(total(side.tally.received), rest?.received),
    // What the counting itself took is none of the role's.
    cpuMs: scale.value(side.cpuMs - side.countingMs, rest?.cpuMs ?? 0),
    rssMb: Math.round(side.rssMb * 10) / 10,
  };
}

export function depthOf(id: string, parents: ReadonlyMap<string, string>): number {
  let depth = 1;
  // Parents are told one by one, so that for a moment two may name each other.
  for (let at = parents.get(id) ?? ''; at !== '' && depth < 20; at = parents.get(at) ?? '')
    depth += 1;
  return depth;
}

function depthsOf(
  before: Snapshot,
  after: Snapshot,
  rest: PhaseFigures | undefined,
  scale: Scale,
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
    const sum = sums.get(depth) ?? { links: 0, sent: { ...NOTHING }, received: { ...NOTHING } };
    sums.set(depth, sum);
    const old = was.get(link.id);
    sum.links += 1;
    for (const way of ['sent', 'received'] as const) {
      sum[way].messages += link[way].messages - (old?.[way].messages ?? 0);
      sum[way].bytes += link[way].bytes - (old?.[way].bytes ?? 0);
    }
  }
  const depths: DepthFigures[] = [];
  for (const [depth, sum] of [...sums].sort(byDepth)) {
    const known = rest?.depths.find((figures) => figures.depth === depth);
    depths.push({
      depth,
      links: sum.links,
      sent: scale.count(shareOf(sum.sent, sum.links), known?.sent),
      received: scale.count(shareOf(sum.received, sum.links), known?.received),
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

/** What happened between two snapshots, by role. */
export function figuresOf(
  phase: string,
  before: Snapshot,
  after: Snapshot,
  rest: PhaseFigures | undefined,
  changes: number,
  inForceMs: readonly number[],
): PhaseFigures {
  const seconds = (after.at - before.at) / 1000;
  const scale = new Scale(seconds, changes);
  const at = Math.max(0, after.controlNodes.findIndex(isLeading));
  function isLeader(_mind: ControlFigures, index: number): boolean {
    return index === at;
  }
  function isFollower(_mind: ControlFigures, index: number): boolean {
    return index !== at;
  }
  let links = 0;
  const [repeats, all] = [{ ...NOTHING }, { ...NOTHING }];
  for (const [index, part] of after.edges.entries()) {
    links += part.links.length;
    repeats.messages += part.repeats.messages - (before.edges[index]?.repeats.messages ?? 0);
    repeats.bytes += part.repeats.bytes - (before.edges[index]?.repeats.bytes ?? 0);
  }
  const sides: Record<string, Side> = {
    leader: sideOf(before.controlNodes.filter(isLeader), after.controlNodes.filter(isLeader), 1),
    follower: sideOf(
      before.controlNodes.filter(isFollower),
      after.controlNodes.filter(isFollower),
      Math.max(1, after.controlNodes.length - 1),
    ),
    link: sideOf(before.edges, after.edges, Math.max(1, links)),
  };
  if (before.watchedAgent && after.watchedAgent)
    sides['watched link'] = sideOf([before.watchedAgent], [after.watchedAgent], 1);
  if (before.watchedProxy && after.watchedProxy)
    sides['watched flow'] = sideOf(
      [{ ...before.watchedProxy, tally: NO_TALLY }],
      [{ ...after.watchedProxy, tally: NO_TALLY }],
      1,
    );
  const roles: Record<string, RoleFigures> = {};
  const kinds: Record<string, TallyFigures> = {};
  for (const [role, side] of Object.entries(sides)) {
    roles[role] = roleOf(side, rest?.roles[role], scale);
    if (role !== 'watched flow') kinds[role] = scale.tally(side.tally, rest?.kinds[role]);
  }
  const members: [string, number][] = [
    ['leader', 1],
    ['follower', after.controlNodes.length - 1],
    ['link', links],
  ];
  for (const [role, count] of members) {
    const sent = total(sides[role]?.tally.sent ?? {});
    all.messages += sent.messages * count;
    all.bytes += sent.bytes * count;
  }
  const [was, is] = [before.controlNodes[at], after.controlNodes[at]];
  function grown(
    key: 'fleetCount' | 'orders' | 'writes' | 'writtenBytes' | 'lists' | 'listMs',
  ): number {
    return (is?.[key] ?? 0) - (was?.[key] ?? 0);
  }
  return {
    phase,
    seconds: Math.round(seconds * 1000) / 1000,
    changes,
    roles,
    depths: depthsOf(before, after, rest, scale),
    all: scale.count(all, rest?.all),
    repeats: scale.count(repeats, rest?.repeats),
    kinds,
    inForceMs: inForceMs.map(Math.round),
    fleetNews: grown('fleetCount'),
    orders: grown('orders'),
    writes: grown('writes'),
    writtenBytes: grown('writtenBytes'),
    lists: grown('lists'),
    listMs: Math.round(grown('listMs')),
  };
}
