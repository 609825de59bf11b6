import type { Seeded } from '../rehearsal/seeded.js';
import { TROUBLE_FROM_MS } from './control-simulation.js';
import {
  EVENTS,
  ROLES,
  type Fault,
  type FaultKind,
  type Target,
  type TriggerEvent,
  type When,
} from './faults.js';
import { OPTION_DEFAULTS, type SimulationOptions } from './options.js';
import { hashText, RandomStreams } from './random-streams.js';

/** How often each kind is drawn. Putting an old disk back breaks every promise that a disk makes: never. */
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

/** Events with the node that is most worth striking right after them. */
const AIMS = [
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

/** Now and then a run is long, and its changes are many: more than the edits that are remembered. */
const LONG_SHARE = 1 / 60;
const LONG_TROUBLE_MS = 60_000;
const LONG_PACE_MS = 60;

const LEAST_FAULTS = 3;
const MOST_FAULTS = 14;
/** Most spans are short; some are as long as the longest that the contract knows. */
const SHORT_MS = 800;
const USUAL_MS = 5000;
const LONG_MS = 20_000;
const MOST_TRIGGER_DELAY_MS = 400;
/** Right on the heels of its event. */
const HEELS_MS = 12;
const MOST_RATE = 0.01;
const MOST_LINK_DELAY_MS = 600;
const MOST_CALL_DELAY_MS = 1500;
const MOST_OLD_MS = 10_000;
const AGENTS = 8;
const PLACES = 8;
const FATES = ['kept', 'lost', 'drawn', 'drawn'] as const;
const DIRECTIONS = ['both', 'both', 'in', 'out'] as const;
const STYLES = ['silent', 'silent', 'silent', 'reset', 'refuse'] as const;
const DISKS = ['slow', 'stalled', 'stalled', 'full'] as const;

/** What every fault of one machine says. */
interface Aimed {
  readonly when: When;
  readonly forMs: number;
  readonly target: Target;
}

type AimedKind = Extract<Fault, { target: Target }>['kind'];
type LinkKind = 'cut' | 'slowLinks' | 'slowCalls' | 'resets' | 'operatorCut';

/** Draws one schedule of faults from a seed. */
class ScheduleDraw {
  readonly #random: Seeded;
  readonly #options: SimulationOptions;

  constructor(options: SimulationOptions) {
    this.#options = options;
    this.#random = new RandomStreams(hashText(`schedule ${options.seed}`)).of('schedule');
  }

  draw(): Fault[] {
    const faults: Fault[] = [];
    const count = LEAST_FAULTS + this.#random.below(MOST_FAULTS - LEAST_FAULTS + 1);
    for (let index = 0; index < count; index += 1) {
      const at = Math.round(TROUBLE_FROM_MS + this.#random.next() * this.#options.troubleMs);
      faults.push(this.#fault(this.#kind(), at));
    }
    return faults.sort(byMoment);
  }

  #kind(): FaultKind {
    let total = 0;
    for (const [, weight] of WEIGHTS) total += weight;
    let left = this.#random.between(0, total);
    for (const [kind, weight] of WEIGHTS) {
      left -= weight;
      if (left < 0) return kind;
    }
    return 'freeze';
  }

  #fault(kind: FaultKind, at: number): Fault {
    const { when, target } = this.#aim(at);
    const forMs = this.#span();
    const aimed = { when, forMs, target };
    switch (kind) {
      case 'killAll':
      case 'powerLossAll':
        return this.#lossOfAll(kind, when, Math.min(forMs, USUAL_MS));
      case 'seedTurnover':
        return { kind, when };
      case 'answersLost':
        return { kind, when, forMs, share: pick(this.#random, [0.3, 0.7, 1]) };
      case 'agentKill':
      case 'agentFreeze':
      case 'agentCut':
        return { kind, when, forMs, agent: this.#random.below(AGENTS) };
      default:
        return this.#aimedFault(kind, aimed);
    }
  }

  #lossOfAll(kind: 'killAll' | 'powerLossAll', when: When, forMs: number): Fault {
    if (kind === 'killAll') return { kind, when, forMs };
    return { kind, when, forMs, unsynced: pick(this.#random, FATES) };
  }

  #aimedFault(kind: AimedKind, aimed: Aimed): Fault {
    const random = this.#random;
    switch (kind) {
      case 'powerLoss':
        return { kind, ...aimed, unsynced: pick(random, FATES) };
      case 'leave':
        return { kind, ...aimed, planned: random.isLikely(0.5) };
      case 'replace': {
        const oldReturns = random.isLikely(0.2);
        return { kind, ...aimed, planned: random.isLikely(0.5), oldReturns };
      }
      case 'wipe':
        return { kind, ...aimed, othersLosePower: random.isLikely(0.2) };
      case 'oldDisk':
        return { kind, ...aimed, ageMs: Math.round(random.between(100, MOST_OLD_MS)) };
      case 'disk':
        return { kind, ...aimed, trouble: pick(random, DISKS) };
      case 'clockRate':
        return { kind, ...aimed, rate: 1 + random.between(-MOST_RATE, MOST_RATE) };
      case 'cut':
      case 'slowLinks':
      case 'slowCalls':
      case 'resets':
      case 'operatorCut':
        return this.#linkFault(kind, aimed);
      default:
        return { kind, ...aimed };
    }
  }

  #linkFault(kind: LinkKind, aimed: Aimed): Fault {
    const random = this.#random;
    switch (kind) {
      case 'cut':
        return this.#cut(aimed);
      case 'operatorCut':
        return this.#operatorCut(aimed);
      case 'slowLinks':
        return { kind, ...aimed, delayMs: Math.round(random.between(10, MOST_LINK_DELAY_MS)) };
      case 'slowCalls':
        return { kind, ...aimed, delayMs: Math.round(random.between(10, MOST_CALL_DELAY_MS)) };
      case 'resets':
        return { kind, ...aimed, share: pick(random, [0.3, 0.6, 1]) };
    }
  }

  #cut(aimed: Aimed): Fault {
    const random = this.#random;
    // With five nodes a side of two is a minority still.
    const besides = this.#options.nodes === 5 && random.isLikely(0.4) ? 1 : 0;
    const shape = { direction: pick(random, DIRECTIONS), style: pick(random, STYLES) };
    return { kind: 'cut', ...aimed, ...shape, besides, withAgents: random.isLikely(0.3) };
  }

  /** Most often right as a call is on its way, so that its bytes are held up and arrive late. */
  #operatorCut(aimed: Aimed): Fault {
    const random = this.#random;
    const direction = pick(random, DIRECTIONS);
    if (random.isLikely(0.3)) return { kind: 'operatorCut', ...aimed, direction };
    const from = aimed.when.kind === 'at' ? aimed.when.at : aimed.when.from;
    const delay = Math.round(random.between(0, HEELS_MS) * 10) / 10;
    const when: When = { kind: 'after', event: 'orderSent', from, delay };
    const target: Target = { kind: 'role', role: 'called' };
    return { kind: 'operatorCut', when, target, forMs: aimed.forMs, direction };
  }

  #aim(at: number): { readonly when: When; readonly target: Target } {
    if (this.#random.isLikely(0.6)) return { when: this.#when(at), target: this.#target() };
    const [event, role] = pick(this.#random, AIMS);
    return { when: this.#after(event, at), target: { kind: 'role', role } };
  }

  #when(at: number): When {
    const random = this.#random;
    if (random.isLikely(0.6)) return { kind: 'at', at };
    return this.#after(pick(random, EVENTS), at);
  }

  #after(event: TriggerEvent, from: number): When {
    const most = this.#random.isLikely(0.5) ? HEELS_MS : MOST_TRIGGER_DELAY_MS;
    const delay = Math.round(this.#random.between(0, most) * 10) / 10;
    return { kind: 'after', event, from, delay };
  }

  #target(): Target {
    const random = this.#random;
    if (random.isLikely(0.5)) return { kind: 'place', place: random.below(PLACES) };
    return { kind: 'role', role: pick(random, ROLES) };
  }

  #span(): number {
    const draw = this.#random.next();
    const most = draw < 0.3 ? SHORT_MS : draw < 0.85 ? USUAL_MS : LONG_MS;
    return Math.round(this.#random.between(50, most));
  }
}

function pick<T>(random: Seeded, items: readonly T[]): T {
  const item = random.pick(items);
  if (item === undefined) throw new RangeError('nothing to draw from');
  return item;
}

function momentOf({ when }: Fault): number {
  return when.kind === 'at' ? when.at : when.from;
}

function byMoment(left: Fault, right: Fault): number {
  return momentOf(left) - momentOf(right);
}

/** The schedule of a seed: faults that are aimed as well as drawn, overlapping, of every kind. */
export function drawSchedule(options: SimulationOptions): Fault[] {
  return new ScheduleDraw(options).draw();
}

/** Other settings of a run that a seed decides, where they are not given. */
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
