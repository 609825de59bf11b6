import { prepared } from './calm-run.js';
import type { Cluster } from './cluster.js';
import type { Model, Visit } from './explorer.js';
import { has, idsOf, queued, without } from './message-text.js';
import type { FaultKind, World } from './protocol.js';
import { stepAt, stepCode, stepOf, type Step } from './steps.js';

/** A cluster in the calm order of things, as far as it has not departed from it. Sets of nodes are bit masks. */
export interface Schedule<Ghost> {
  readonly world: World<Ghost>;
  /** Messages on their way, oldest first. */
  readonly queue: string;
  /** Whose timers were looked at since the clocks advanced. */
  readonly ticked: number;
  readonly frozen: number;
  readonly cut: number;
  readonly stalled: number;
  readonly departures: number;
}

/** Lasting troubles by the step that begins them: the step that ends each, and where the schedule notes it. */
const TROUBLES = [
  { begin: 'freeze', end: 'thaw', field: 'frozen' },
  { begin: 'cut', end: 'heal', field: 'cut' },
  { begin: 'stall', end: 'unstall', field: 'stalled' },
] as const;

type TroubleKind = (typeof TROUBLES)[number]['begin'];

/** What becomes of a schedule by one step. */
interface Outcome<Ghost> {
  readonly schedule: Schedule<Ghost>;
  readonly violation: string | undefined;
  /** Whether any node changed or anything was sent or answered. */
  readonly isIdle: boolean;
}

function holds(mask: number, node: number): boolean {
  return (mask & (1 << node)) !== 0;
}

/**
 * Long runs with few faults: messages arrive in order, timers are looked at once a step of the clocks, disks finish at once, and from
 * this a bounded number of departures is made at any points: a message lost or delivered again or late, timers late, a
 * node frozen, cut off, its disk stalled, restarted or wiped. That troubles end again is no departure, but happens only
 * when nothing is on its way.
 *
 * A fault is made only where it meets something: a freeze and a stall right before a step of the node, a cut right before
 * a message of the node or to it, a crash before a step that could send to the node. At any earlier point since then
 * it would bring about the same. Where nothing can be chosen any more the run goes on in one step to the next choice.
 */
export class Departures<Command, Event, Facts, Ghost> implements Model<Schedule<Ghost>> {
  readonly #cluster: Cluster<Command, Event, Facts, Ghost>;
  readonly #most: number;

  constructor(cluster: Cluster<Command, Event, Facts, Ghost>, most: number) {
    this.#cluster = cluster;
    this.#most = most;
  }

  get name(): string {
    return `${this.#cluster.protocol.name}, ${this.#most} faults`;
  }

  initial(): Schedule<Ghost> {
    const world = prepared(this.#cluster);
    const { firstFrozen: frozen } = this.#cluster.protocol;
    return { world, queue: '', ticked: 0, frozen, cut: 0, stalled: 0, departures: 0 };
  }

  key({ world, queue, ticked, frozen, cut, stalled, departures }: Schedule<Ghost>): string {
    const masks = `${ticked},${frozen},${cut},${stalled},${departures}`;
    // Messages sent long ago come again by departures alone.
    const messages = departures < this.#most ? world.messages : '';
    return `${this.#cluster.key({ ...world, messages })};${queue};${masks}`;
  }

  describe(schedule: Schedule<Ghost>, code: number): string {
    const step = stepOf(code);
    if (step.kind !== 'calm') return this.#cluster.describe(step);
    const texts: string[] = [];
    this.#runCalmly(schedule, texts);
    return texts.join('\n');
  }

  expand(schedule: Schedule<Ghost>, visit: Visit<Schedule<Ghost>>): void {
    const usual = this.#usual(schedule);
    if (usual && !this.#hasChoice(schedule, usual)) {
      const { schedule: after, violation } = this.#runCalmly(schedule, []);
      visit(stepCode(stepAt('calm')), after, violation);
      return;
    }
    if (usual) this.#take(schedule, usual, 0, visit);
    if (this.#mayEndTroubles(schedule, usual)) this.#endTroubles(schedule, visit);
    // A client's wish is no fault, and may come at any point.
    for (const { node, item } of this.#cluster.commandsOf(schedule.world)) {
      if (holds(schedule.frozen, node)) continue;
      this.#take(schedule, stepAt('command', node, item), 0, visit);
    }
    if (schedule.departures < this.#most) this.#depart(schedule, usual, visit);
  }

  /** What happens next where nothing goes wrong. */
  #usual({ world, queue, ticked, frozen }: Schedule<Ghost>): Step | undefined {
    for (const id of idsOf(queue)) {
      const { to } = this.#cluster.envelope(id);
      if (!holds(frozen, to)) return stepAt('receive', to, id);
    }
    for (const node of world.nodes.keys()) {
      if (!holds(ticked, node) && !holds(frozen, node)) return stepAt('tick', node);
    }
    return world.clock < this.#cluster.protocol.faults.clockSteps ? stepAt('advance') : undefined;
  }

  #hasChoice(schedule: Schedule<Ghost>, usual: Step): boolean {
    if (schedule.departures < this.#most) return true;
    if (this.#mayEndTroubles(schedule, usual)) return true;
    return this.#cluster.commandsOf(schedule.world).length > 0;
  }

  #mayEndTroubles({ frozen, cut, stalled }: Schedule<Ghost>, usual: Step | undefined): boolean {
    if (frozen === 0 && cut === 0 && stalled === 0) return false;
    if (usual?.kind === 'receive') return false;
    if (this.#cluster.protocol.troublesEnd === 'at any pause') return true;
    return usual?.kind !== 'tick';
  }

  /** Up to the next choice, or past the next step of the clocks, where runs that became alike meet. */
  #runCalmly(begun: Schedule<Ghost>, texts: string[]): Outcome<Ghost> {
    let schedule = begun;
    for (;;) {
      const step = this.#usual(schedule);
      if (!step || this.#hasChoice(schedule, step)) break;
      texts.push(this.#cluster.describe(step));
      const outcome = this.#outcome(schedule, step, 0, true);
      schedule = outcome.schedule;
      if (outcome.violation !== undefined) return outcome;
      if (step.kind === 'advance') break;
    }
    const settled = { ...schedule, world: this.#cluster.settled(schedule.world) };
    return { schedule: settled, violation: undefined, isIdle: false };
  }

  #endTroubles(schedule: Schedule<Ghost>, visit: Visit<Schedule<Ghost>>): void {
    for (const { end, field } of TROUBLES) {
      for (const node of schedule.world.nodes.keys()) {
        if (!holds(schedule[field], node)) continue;
        const changed = { ...schedule, [field]: schedule[field] & ~(1 << node) };
        if (end === 'unstall') this.#take(changed, stepAt('sync', node), 0, visit);
        else visit(stepCode(stepAt(end, node)), changed, undefined);
      }
    }
  }

  #depart(schedule: Schedule<Ghost>, usual: Step | undefined, visit: Visit<Schedule<Ghost>>): void {
    const { world } = schedule;
    const outcome = usual && this.#outcome(schedule, usual, 0);
    // What would have brought about nothing can as well be lost.
    if (usual && !outcome?.isIdle) this.#omit(schedule, usual, visit);
    for (const node of world.nodes.keys()) {
      this.#beginTroubles(schedule, node, usual, visit);
      if (!usual || !outcome || this.#isCrashWorth(schedule, node, usual, outcome.schedule)) {
        this.#crash(schedule, 'restart', node, visit);
        this.#crash(schedule, 'wipe', node, visit);
      }
    }
    this.#deliverLate(schedule, usual, visit);
  }

  /** The message is lost, or the timers are late. */
  #omit(schedule: Schedule<Ghost>, usual: Step, visit: Visit<Schedule<Ghost>>): void {
    const { queue, ticked } = schedule;
    const { kind, node, item } = usual;
    const departures = schedule.departures + 1;
    if (kind === 'receive' && this.#mayFail(schedule, 'drop', node)) {
      const lost = { ...schedule, queue: without(queue, item), departures };
      visit(stepCode({ ...usual, kind: 'drop' }), lost, undefined);
    }
    if (kind === 'tick' && this.#mayFail(schedule, 'skip', node)) {
      const late = { ...schedule, ticked: ticked | (1 << node), departures };
      visit(stepCode({ ...usual, kind: 'skip' }), late, undefined);
    }
  }

  #mayFail({ world }: Schedule<Ghost>, kind: FaultKind, node: number): boolean {
    return this.#cluster.mayFail(world, kind, node);
  }

  #beginTroubles(
    schedule: Schedule<Ghost>,
    node: number,
    usual: Step | undefined,
    visit: Visit<Schedule<Ghost>>,
  ): void {
    const departures = schedule.departures + 1;
    for (const { begin, field } of TROUBLES) {
      if (holds(schedule[field], node)) continue;
      if (!this.#isTroubleWorth(schedule, begin, node, usual)) continue;
      if (!this.#mayFail(schedule, begin, node)) continue;
      const changed = { ...schedule, [field]: schedule[field] | (1 << node), departures };
      visit(stepCode(stepAt(begin, node)), changed, undefined);
    }
  }

  /** Whether the trouble makes a difference before the next step is over; else it may as well begin after it. */
  #isTroubleWorth(
    { world }: Schedule<Ghost>,
    kind: TroubleKind,
    node: number,
    usual: Step | undefined,
  ): boolean {
    if (usual?.kind !== 'receive' && usual?.kind !== 'tick') return false;
    if (usual.node === node) return true;
    if (kind === 'cut' && usual.kind === 'receive') {
      return this.#cluster.envelope(usual.item).from === node;
    }
    // What a command writes can be stalled as well.
    return (
      kind === 'stall' && this.#cluster.commandsOf(world).some((command) => command.node === node)
    );
  }

  /** Whether a crash before the next step differs from one after it: by the time, or by what is lost in the sockets. */
  #isCrashWorth(
    schedule: Schedule<Ghost>,
    node: number,
    usual: Step,
    after: Schedule<Ghost>,
  ): boolean {
    if (usual.kind === 'advance' || usual.node === node) return true;
    if (this.#cluster.commandsOf(schedule.world).length > 0) return true;
    for (const id of idsOf(after.queue)) {
      if (this.#cluster.envelope(id).to === node && !has(schedule.queue, id)) return true;
    }
    return false;
  }

  /** Late copies come right before a step of their receiver, or of the clocks. */
  #deliverLate(
    schedule: Schedule<Ghost>,
    usual: Step | undefined,
    visit: Visit<Schedule<Ghost>>,
  ): void {
    const isAlive = usual?.kind === 'receive' || usual?.kind === 'tick';
    for (const id of idsOf(schedule.world.messages)) {
      const { to } = this.#cluster.envelope(id);
      if (isAlive && usual.node !== to) continue;
      if (has(schedule.queue, id) || holds(schedule.frozen, to)) continue;
      if (!this.#mayFail(schedule, 'receive', to)) continue;
      this.#take(schedule, stepAt('receive', to, id), 1, visit);
    }
  }

  /** A crash ends a freeze, and what waited in the process's sockets is lost. */
  #crash(
    schedule: Schedule<Ghost>,
    kind: 'restart' | 'wipe',
    node: number,
    visit: Visit<Schedule<Ghost>>,
  ): void {
    const { faults } = this.#cluster.protocol;
    const { restarts, wipes } = schedule.world;
    const isAllowed = kind === 'restart' ? restarts < faults.restarts : wipes < faults.wipes;
    if (!isAllowed || !this.#mayFail(schedule, kind, node)) return;
    let { queue } = schedule;
    for (const id of idsOf(queue)) {
      if (this.#cluster.envelope(id).to === node) queue = without(queue, id);
    }
    const frozen = schedule.frozen & ~(1 << node);
    this.#take({ ...schedule, queue, frozen }, stepAt(kind, node), 1, visit);
  }

  #take(schedule: Schedule<Ghost>, step: Step, cost: number, visit: Visit<Schedule<Ghost>>): void {
    const outcome = this.#outcome(schedule, step, cost);
    // A departure that brings about nothing is none.
    if (outcome.isIdle && cost > 0) return;
    visit(stepCode(step), outcome.schedule, outcome.violation);
  }

  #outcome(schedule: Schedule<Ghost>, step: Step, cost: number, isPassing = false): Outcome<Ghost> {
    const { world, stalled } = schedule;
    const departures = schedule.departures + cost;
    const queue = step.kind === 'receive' ? without(schedule.queue, step.item) : schedule.queue;
    const ticked = step.kind === 'tick' ? schedule.ticked | (1 << step.node) : schedule.ticked;
    const isLost = step.kind === 'receive' && cost === 0 && this.#isCut(schedule, step.item);
    const taken = isLost
      ? undefined
      : this.#cluster.take(world, step, holds(stalled, step.node), isPassing);
    // Nothing came of it, but it is done with.
    if (!taken) {
      const done = { ...schedule, queue, ticked };
      return { schedule: done, violation: undefined, isIdle: true };
    }
    const sent = taken.sent.filter((message) => this.#isSentThrough(schedule, message));
    const next = {
      ...schedule,
      world: taken.world,
      queue: queued(queue, sent),
      ticked: step.kind === 'advance' ? 0 : ticked,
      departures,
    };
    return { schedule: next, violation: taken.violation, isIdle: false };
  }

  #isCut({ cut }: Schedule<Ghost>, message: number): boolean {
    const { from, to } = this.#cluster.envelope(message);
    return holds(cut, from) || holds(cut, to);
  }

  #isSentThrough(schedule: Schedule<Ghost>, message: number): boolean {
    return !this.#isCut(schedule, message);
  }
}
