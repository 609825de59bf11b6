import type { SeededRandom } from '../rehearsal/seeded-random.js';
import { TROUBLE_FROM_MS } from './control-simulation.js';
import {
  TRIGGER_EVENTS,
  TARGET_ROLES,
  type Fault,
  type FaultKind,
  type Target,
  type TriggerEvent,
  type When,
} from './faults.js';
import { OPTION_DEFAULTS, type SimulationOptions } from './options.js';
import { hashText, RandomStreams } from './random-streams.js';

/** The weight with which each kind is drawn. Restoring an old disk violates every guarantee of a disk: never drawn. */
export const WEIGHTS = [
  ['kill', 8],
  ['powerLoss', 8],
  ['freeze', 14],
  ['freezeAtOrder', 3],
  ['restart', 6],
  ['leave', 2],
  ['replace', 8],
  ['wipe', 8],
  ['oldDisk', 0],
  ['disk', 8],
  ['cut', 16],
  ['slowLinks', 4],
  ['resets', 4],
  ['clockRate', 2],
  ['runnerCut', 2],
  ['killAll', 2],
  ['powerLossAll', 2],
  ['seedTurnover', 3],
  ['answersLost', 4],
  ['operatorCut', 6],
  ['slowCalls', 2],
  ['agentKill', 2],
  ['agentFreeze', 2],
  ['agentCut', 2],
] as const satisfies readonly (readonly [FaultKind, number])[];

/** Events and the node in which a fault right after the event is most likely to expose an error. */
const EVENT_TARGETS = [
  ['orderSent', 'itself'],
  ['epoch', 'itself'],
  ['epoch', 'itself'],
  ['epoch', 'follower'],
  ['ack', 'itself'],
  ['ack', 'leader'],
  ['newLeader', 'itself'],
  ['leaderLost', 'follower'],
  ['repaired', 'itself'],
  ['repaired', 'leader'],
  ['jointVoters', 'leader'],
  ['jointVoters', 'newest'],
  ['newVoters', 'follower'],
  ['newVoters', 'leader'],
  ['freeze', 'follower'],
  ['cut', 'follower'],
  ['restart', 'leader'],
  ['restart', 'itself'],
] as const;

/** A small share of the runs is long, with more changes than the number of edits that the core remembers. */
const LONG_SHARE = 1 / 60;
const LONG_TROUBLE_MS = 60_000;
const LONG_PACE_MS = 60;

const MIN_FAULTS = 3;
const MAX_FAULTS = 14;
/** Most durations are short; some are as long as the longest that the contract covers. */
const SHORT_DURATION_MS = 800;
const MEDIUM_DURATION_MS = 5000;
const LONG_DURATION_MS = 20_000;
const MAX_TRIGGER_DELAY_MS = 400;
/** Maximum delay of a fault right after its event. */
const SHORT_TRIGGER_DELAY_MS = 12;
const MAX_RATE_OFFSET = 0.01;
const MAX_LINK_DELAY_MS = 600;
const MAX_CALL_DELAY_MS = 1500;
const MAX_DISK_AGE_MS = 10_000;
const AGENT_INDEX_RANGE = 8;
const PLACE_RANGE = 8;
const UNSYNCED_FATES = ['kept', 'lost', 'drawn', 'drawn'] as const;
const CUT_DIRECTIONS = ['both', 'both', 'in', 'out'] as const;
const CUT_STYLES = ['silent', 'silent', 'silent', 'reset', 'refuse'] as const;
const DISK_TROUBLES = ['slow', 'stalled', 'stalled', 'full'] as const;

/** The fields that every fault with a target node has. */
interface TargetedFields {
  readonly when: When;
  readonly forMs: number;
  readonly target: Target;
}

type TargetedKind = Extract<Fault, { target: Target }>['kind'];
type LinkKind = 'cut' | 'slowLinks' | 'slowCalls' | 'resets' | 'operatorCut';

/** Draws one schedule of faults from a seed. */
class ScheduleDraw {
  readonly #random: SeededRandom;
  readonly #options: SimulationOptions;

  constructor(options: SimulationOptions) {
    this.#options = options;
    this.#random = new RandomStreams(hashText(`schedule ${options.seed}`)).of('schedule');
  }

  draw(): Fault[] {
    const faults: Fault[] = [];
    const count = MIN_FAULTS + this.#random.below(MAX_FAULTS - MIN_FAULTS + 1);
    for (let index = 0; index < count; index += 1) {
      const at = Math.round(TROUBLE_FROM_MS + this.#random.next() * this.#options.troubleMs);
      faults.push(this.#fault(this.#kind(), at));
    }
    return faults.sort(byMoment);
  }

  #kind(): FaultKind {
    let total = 0;
    for (const [, weight] of WEIGHTS) total += weight;
    let remaining = this.#random.between(0, total);
    for (const [kind, weight] of WEIGHTS) {
      remaining -= weight;
      if (remaining < 0) return kind;
    }
    return 'freeze';
  }

  #fault(kind: FaultKind, at: number): Fault {
    const { when, target } = this.#whenAndTarget(at);
    const forMs = this.#duration();
    const targeted = { when, forMs, target };
    switch (kind) {
      case 'killAll':
      case 'powerLossAll':
        return this.#lossOfAll(kind, when, Math.min(forMs, MEDIUM_DURATION_MS));
      case 'seedTurnover':
        return { kind, when };
      case 'answersLost':
        return { kind, when, forMs, share: pick(this.#random, [0.3, 0.7, 1]) };
      case 'agentKill':
      case 'agentFreeze':
      case 'agentCut':
        return { kind, when, forMs, agent: this.#random.below(AGENT_INDEX_RANGE) };
      default:
        return this.#targetedFault(kind, targeted);
    }
  }

  #lossOfAll(kind: 'killAll' | 'powerLossAll', when: When, forMs: number): Fault {
    if (kind === 'killAll') return { kind, when, forMs };
    return { kind, when, forMs, unsynced: pick(this.#random, UNSYNCED_FATES) };
  }

  #targetedFault(kind: TargetedKind, targeted: TargetedFields): Fault {
    const random = this.#random;
    switch (kind) {
      case 'powerLoss':
        return { kind, ...targeted, unsynced: pick(random, UNSYNCED_FATES) };
      case 'leave':
        return { kind, ...targeted, planned: random.isLikely(0.5) };
      case 'replace': {
        const oldReturns = random.isLikely(0.2);
        return { kind, ...targeted, planned: random.isLikely(0.5), oldReturns };
      }
      case 'wipe':
        return { kind, ...targeted, othersLosePower: random.isLikely(0.2) };
      case 'oldDisk':
        return { kind, ...targeted, ageMs: Math.round(random.between(100, MAX_DISK_AGE_MS)) };
      case 'disk':
        return { kind, ...targeted, trouble: pick(random, DISK_TROUBLES) };
      case 'clockRate':
        return { kind, ...targeted, rate: 1 + random.between(-MAX_RATE_OFFSET, MAX_RATE_OFFSET) };
      case 'cut':
      case 'slowLinks':
      case 'slowCalls':
      case 'resets':
      case 'operatorCut':
        return this.#linkFault(kind, targeted);
      default:
        return { kind, ...targeted };
    }
  }

  #linkFault(kind: LinkKind, targeted: TargetedFields): Fault {
    const random = this.#random;
    switch (kind) {
      case 'cut':
        return this.#cut(targeted);
      case 'operatorCut':
        return this.#operatorCut(targeted);
      case 'slowLinks':
        return { kind, ...targeted, delayMs: Math.round(random.between(10, MAX_LINK_DELAY_MS)) };
      case 'slowCalls':
        return { kind, ...targeted, delayMs: Math.round(random.between(10, MAX_CALL_DELAY_MS)) };
      case 'resets':
        return { kind, ...targeted, share: pick(random, [0.3, 0.6, 1]) };
    }
  }

  #cut(targeted: TargetedFields): Fault {
    const random = this.#random;
    // With five nodes, a side of two is still a minority.
    const besides = this.#options.nodes === 5 && random.isLikely(0.4) ? 1 : 0;
    const shape = { direction: pick(random, CUT_DIRECTIONS), style: pick(random, CUT_STYLES) };
    return { kind: 'cut', ...targeted, ...shape, besides, withAgents: random.isLikely(0.3) };
  }

  /** Most often cuts the link while a call is in transit, so that its bytes are held up and arrive late. */
  #operatorCut(targeted: TargetedFields): Fault {
    const random = this.#random;
    const direction = pick(random, CUT_DIRECTIONS);
    if (random.isLikely(0.3)) return { kind: 'operatorCut', ...targeted, direction };
    const from = targeted.when.kind === 'at' ? targeted.when.at : targeted.when.from;
    const delay = Math.round(random.between(0, SHORT_TRIGGER_DELAY_MS) * 10) / 10;
    const when: When = { kind: 'after', event: 'orderSent', from, delay };
    const target: Target = { kind: 'role', role: 'called' };
    return { kind: 'operatorCut', when, target, forMs: targeted.forMs, direction };
  }

  #whenAndTarget(at: number): { readonly when: When; readonly target: Target } {
    if (this.#random.isLikely(0.6)) return { when: this.#when(at), target: this.#target() };
    const [event, role] = pick(this.#random, EVENT_TARGETS);
    return { when: this.#after(event, at), target: { kind: 'role', role } };
  }

  #when(at: number): When {
    const random = this.#random;
    if (random.isLikely(0.6)) return { kind: 'at', at };
    return this.#after(pick(random, TRIGGER_EVENTS), at);
  }

  #after(event: TriggerEvent, from: number): When {
    const maxDelayMs = this.#random.isLikely(0.5) ? SHORT_TRIGGER_DELAY_MS : MAX_TRIGGER_DELAY_MS;
    const delay = Math.round(this.#random.between(0, maxDelayMs) * 10) / 10;
    return { kind: 'after', event, from, delay };
  }

  #target(): Target {
    const random = this.#random;
    if (random.isLikely(0.5)) return { kind: 'place', place: random.below(PLACE_RANGE) };
    return { kind: 'role', role: pick(random, TARGET_ROLES) };
  }

  #duration(): number {
    const draw = this.#random.next();
    const maxMs =
      draw < 0.3 ? SHORT_DURATION_MS : draw < 0.85 ? MEDIUM_DURATION_MS : LONG_DURATION_MS;
    return Math.round(this.#random.between(50, maxMs));
  }
}

function pick<T>(random: SeededRandom, items: readonly T[]): T {
  const item = random.pick(items);
  if (item === undefined) throw new RangeError('no items to draw from');
  return item;
}

function momentOf({ when }: Fault): number {
  return when.kind === 'at' ? when.at : when.from;
}

function byMoment(left: Fault, right: Fault): number {
  return momentOf(left) - momentOf(right);
}

/** The schedule of a seed: overlapping faults of every kind, at drawn times or triggered by events. */
export function drawSchedule(options: SimulationOptions): Fault[] {
  return new ScheduleDraw(options).draw();
}

/** Draws the options of a run from its seed. */
export function drawOptions(seed: number, nodes: 3 | 5): SimulationOptions {
  const random = new RandomStreams(seed).of('options');
  const isLong = random.isLikely(LONG_SHARE);
  return {
    seed,
    nodes,
    spares: OPTION_DEFAULTS.spares,
    agents: 2 + random.below(3),
    operators: OPTION_DEFAULTS.operators,
    troubleMs: isLong ? LONG_TROUBLE_MS : pick(random, [10_000, 20_000, 30_000]),
    lossLimit: random.isLikely(0.7) ? 'tolerated' : 'any',
    isFenced: random.isLikely(0.3),
    paceMs: isLong ? LONG_PACE_MS : pick(random, [300, 600, 1200]),
  };
}
