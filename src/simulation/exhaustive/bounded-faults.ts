import { initialWorld } from './fault-free-run.js';
import type { Cluster } from './cluster.js';
import type { Model, Visit } from './explorer.js';
import { has, idsOf, queued, without } from './message-text.js';
import type { FaultKind, World } from './protocol.js';
import { stepAt, stepCode, stepOf, type Step } from './steps.js';

/** A state of the cluster together with the order in which its next steps are due. Sets of nodes are bit masks. */
export interface Schedule<Ghost> {
  readonly world: World<Ghost>;
  /** Messages in transit, oldest first. */
  readonly queue: string;
  /** The nodes that have checked their timers since the clocks last advanced. */
  readonly ticked: number;
  readonly frozen: number;
  /** The nodes whose connections are cut. */
  readonly cut: number;
  /** The nodes whose disks are stalled. */
  readonly stalled: number;
  /** Number of faults so far. */
  readonly departures: number;
}

/** Faults that last: the step that begins each, the step that ends it, and the field of the schedule that records it. */
const LASTING_FAULTS = [
  { begin: 'freeze', end: 'thaw', field: 'frozen' },
  { begin: 'cut', end: 'heal', field: 'cut' },
  { begin: 'stall', end: 'unstall', field: 'stalled' },
] as const;

type LastingFaultKind = (typeof LASTING_FAULTS)[number]['begin'];

/** The result of one step. */
interface Outcome<Ghost> {
  readonly schedule: Schedule<Ghost>;
  readonly violation: string | undefined;
  /** Whether the step had no effect: no node changed, and nothing was sent or answered. */
  readonly isIdle: boolean;
}

function isInMask(mask: number, node: number): boolean {
  return (mask & (1 << node)) !== 0;
}

/**
 * Long runs with a bounded number of faults. Without faults messages arrive in order, each node checks its timers once per
 * clock step, and disks finish writes immediately. Faults may be injected at any point: a message is lost, duplicated or
 * late, timers are late, or a node is frozen, cut off, restarted, wiped or has a stalled disk. The end of a lasting fault
 * does not count as a fault, but is possible only while no message is in transit.
 *
 * To keep the search small, a fault is injected only right before a step that it can affect: a freeze or a stall before a
 * step of the node, a cut before a message from or to the node, a crash before a step that could send to the node.
 * Injected any earlier, it would have the same effect. Where no choice is left, one step of the search runs on to the next
 * choice.
 */
export class BoundedFaults<Command, Event, Facts, Ghost> implements Model<Schedule<Ghost>> {
  readonly #cluster: Cluster<Command, Event, Facts, Ghost>;
  readonly #maxFaults: number;

  constructor(cluster: Cluster<Command, Event, Facts, Ghost>, maxFaults: number) {
    this.#cluster = cluster;
    this.#maxFaults = maxFaults;
  }

  get name(): string {
    return `${this.#cluster.protocol.name}, ${this.#maxFaults} faults`;
  }

  initial(): Schedule<Ghost> {
    const world = initialWorld(this.#cluster);
    const { firstFrozen: frozen } = this.#cluster.protocol;
    return { world, queue: '', ticked: 0, frozen, cut: 0, stalled: 0, departures: 0 };
  }

  key({ world, queue, ticked, frozen, cut, stalled, departures }: Schedule<Ghost>): string {
    const masks = `${ticked},${frozen},${cut},${stalled},${departures}`;
    // Only a further fault can deliver earlier messages again.
    const messages = departures < this.#maxFaults ? world.messages : '';
    return `${this.#cluster.key({ ...world, messages })};${queue};${masks}`;
  }

  describe(schedule: Schedule<Ghost>, code: number): string {
    const step = stepOf(code);
    if (step.kind !== 'fault-free') return this.#cluster.describe(step);
    const texts: string[] = [];
    this.#runToNextChoice(schedule, texts);
    return texts.join('\n');
  }

  expand(schedule: Schedule<Ghost>, visit: Visit<Schedule<Ghost>>): void {
    const nextStep = this.#nextFaultFreeStep(schedule);
    if (nextStep && !this.#hasChoice(schedule, nextStep)) {
      const { schedule: after, violation } = this.#runToNextChoice(schedule, []);
      visit(stepCode(stepAt('fault-free')), after, violation);
      return;
    }
    if (nextStep) this.#take(schedule, nextStep, 0, visit);
    if (this.#mayEndLastingFaults(schedule, nextStep)) this.#endLastingFaults(schedule, visit);
    // A client's command is not a fault, and is possible at any point.
    for (const { node, item } of this.#cluster.commandsOf(schedule.world)) {
      if (isInMask(schedule.frozen, node)) continue;
      this.#take(schedule, stepAt('command', node, item), 0, visit);
    }
    if (schedule.departures < this.#maxFaults) this.#injectFaults(schedule, nextStep, visit);
  }

  /** The next step without a fault; undefined at the end of the run. */
  #nextFaultFreeStep({ world, queue, ticked, frozen }: Schedule<Ghost>): Step | undefined {
    for (const id of idsOf(queue)) {
      const { to } = this.#cluster.envelope(id);
      if (!isInMask(frozen, to)) return stepAt('receive', to, id);
    }
    for (const node of world.nodes.keys()) {
      if (!isInMask(ticked, node) && !isInMask(frozen, node)) return stepAt('tick', node);
    }
    return world.clock < this.#cluster.protocol.faults.clockSteps ? stepAt('advance') : undefined;
  }

  #hasChoice(schedule: Schedule<Ghost>, nextStep: Step): boolean {
    if (schedule.departures < this.#maxFaults) return true;
    if (this.#mayEndLastingFaults(schedule, nextStep)) return true;
    return this.#cluster.commandsOf(schedule.world).length > 0;
  }

  #mayEndLastingFaults(
    { frozen, cut, stalled }: Schedule<Ghost>,
    nextStep: Step | undefined,
  ): boolean {
    if (frozen === 0 && cut === 0 && stalled === 0) return false;
    if (nextStep?.kind === 'receive') return false;
    if (this.#cluster.protocol.lastingFaultsEnd === 'when no message is in transit') return true;
    return nextStep?.kind !== 'tick';
  }

  /** Runs up to the next choice, or past the next clock step, where runs that reach equal states are merged. */
  #runToNextChoice(start: Schedule<Ghost>, texts: string[]): Outcome<Ghost> {
    let schedule = start;
    for (;;) {
      const step = this.#nextFaultFreeStep(schedule);
      if (!step || this.#hasChoice(schedule, step)) break;
      texts.push(this.#cluster.describe(step));
      const outcome = this.#outcome(schedule, step, 0, true);
      schedule = outcome.schedule;
      if (outcome.violation !== undefined) return outcome;
      if (step.kind === 'advance') break;
    }
    const canonical = { ...schedule, world: this.#cluster.canonicalize(schedule.world) };
    return { schedule: canonical, violation: undefined, isIdle: false };
  }

  #endLastingFaults(schedule: Schedule<Ghost>, visit: Visit<Schedule<Ghost>>): void {
    for (const { end, field } of LASTING_FAULTS) {
      for (const node of schedule.world.nodes.keys()) {
        if (!isInMask(schedule[field], node)) continue;
        const changed = { ...schedule, [field]: schedule[field] & ~(1 << node) };
        if (end === 'unstall') this.#take(changed, stepAt('sync', node), 0, visit);
        else visit(stepCode(stepAt(end, node)), changed, undefined);
      }
    }
  }

  #injectFaults(
    schedule: Schedule<Ghost>,
    nextStep: Step | undefined,
    visit: Visit<Schedule<Ghost>>,
  ): void {
    const { world } = schedule;
    const outcome = nextStep && this.#outcome(schedule, nextStep, 0);
    // Omitting a step without effect would make no difference.
    if (nextStep && !outcome?.isIdle) this.#dropOrSkip(schedule, nextStep, visit);
    for (const node of world.nodes.keys()) {
      this.#beginLastingFaults(schedule, node, nextStep, visit);
      if (
        !nextStep ||
        !outcome ||
        this.#hasCrashEffect(schedule, node, nextStep, outcome.schedule)
      ) {
        this.#crash(schedule, 'restart', node, visit);
        this.#crash(schedule, 'wipe', node, visit);
      }
    }
    this.#deliverLate(schedule, nextStep, visit);
  }

  /** Loses the next message, or delays the timers of the next node. */
  #dropOrSkip(schedule: Schedule<Ghost>, nextStep: Step, visit: Visit<Schedule<Ghost>>): void {
    const { queue, ticked } = schedule;
    const { kind, node, item } = nextStep;
    const departures = schedule.departures + 1;
    if (kind === 'receive' && this.#allowsFault(schedule, 'drop', node)) {
      const lost = { ...schedule, queue: without(queue, item), departures };
      visit(stepCode({ ...nextStep, kind: 'drop' }), lost, undefined);
    }
    if (kind === 'tick' && this.#allowsFault(schedule, 'skip', node)) {
      const late = { ...schedule, ticked: ticked | (1 << node), departures };
      visit(stepCode({ ...nextStep, kind: 'skip' }), late, undefined);
    }
  }

  #allowsFault({ world }: Schedule<Ghost>, kind: FaultKind, node: number): boolean {
    return this.#cluster.allowsFault(world, kind, node);
  }

  #beginLastingFaults(
    schedule: Schedule<Ghost>,
    node: number,
    nextStep: Step | undefined,
    visit: Visit<Schedule<Ghost>>,
  ): void {
    const departures = schedule.departures + 1;
    for (const { begin, field } of LASTING_FAULTS) {
      if (isInMask(schedule[field], node)) continue;
      if (!this.#hasFaultEffect(schedule, begin, node, nextStep)) continue;
      if (!this.#allowsFault(schedule, begin, node)) continue;
      const changed = { ...schedule, [field]: schedule[field] | (1 << node), departures };
      visit(stepCode(stepAt(begin, node)), changed, undefined);
    }
  }

  /** Whether the fault can affect the next step; otherwise beginning it after that step is equivalent. */
  #hasFaultEffect(
    { world }: Schedule<Ghost>,
    kind: LastingFaultKind,
    node: number,
    nextStep: Step | undefined,
  ): boolean {
    if (nextStep?.kind !== 'receive' && nextStep?.kind !== 'tick') return false;
    if (nextStep.node === node) return true;
    if (kind === 'cut' && nextStep.kind === 'receive') {
      return this.#cluster.envelope(nextStep.item).from === node;
    }
    // A stall can also affect what a command writes.
    return (
      kind === 'stall' && this.#cluster.commandsOf(world).some((command) => command.node === node)
    );
  }

  /** Whether a crash before the next step differs from one after it, in its time or in the unread messages that it loses. */
  #hasCrashEffect(
    schedule: Schedule<Ghost>,
    node: number,
    nextStep: Step,
    after: Schedule<Ghost>,
  ): boolean {
    if (nextStep.kind === 'advance' || nextStep.node === node) return true;
    if (this.#cluster.commandsOf(schedule.world).length > 0) return true;
    for (const id of idsOf(after.queue)) {
      if (this.#cluster.envelope(id).to === node && !has(schedule.queue, id)) return true;
    }
    return false;
  }

  /** Delivers copies of earlier messages, only right before a step of their receiver or of the clocks. */
  #deliverLate(
    schedule: Schedule<Ghost>,
    nextStep: Step | undefined,
    visit: Visit<Schedule<Ghost>>,
  ): void {
    const isNodeStep = nextStep?.kind === 'receive' || nextStep?.kind === 'tick';
    for (const id of idsOf(schedule.world.messages)) {
      const { to } = this.#cluster.envelope(id);
      if (isNodeStep && nextStep.node !== to) continue;
      if (has(schedule.queue, id) || isInMask(schedule.frozen, to)) continue;
      if (!this.#allowsFault(schedule, 'receive', to)) continue;
      this.#take(schedule, stepAt('receive', to, id), 1, visit);
    }
  }

  /** A crash ends a freeze, and loses the messages that the process had not read from its sockets. */
  #crash(
    schedule: Schedule<Ghost>,
    kind: 'restart' | 'wipe',
    node: number,
    visit: Visit<Schedule<Ghost>>,
  ): void {
    const { faults } = this.#cluster.protocol;
    const { restarts, wipes } = schedule.world;
    const isAllowed = kind === 'restart' ? restarts < faults.restarts : wipes < faults.wipes;
    if (!isAllowed || !this.#allowsFault(schedule, kind, node)) return;
    let { queue } = schedule;
    for (const id of idsOf(queue)) {
      if (this.#cluster.envelope(id).to === node) queue = without(queue, id);
    }
    const frozen = schedule.frozen & ~(1 << node);
    this.#take({ ...schedule, queue, frozen }, stepAt(kind, node), 1, visit);
  }

  #take(
    schedule: Schedule<Ghost>,
    step: Step,
    faultCount: number,
    visit: Visit<Schedule<Ghost>>,
  ): void {
    const outcome = this.#outcome(schedule, step, faultCount);
    // A fault without effect leads to no new state.
    if (outcome.isIdle && faultCount > 0) return;
    visit(stepCode(step), outcome.schedule, outcome.violation);
  }

  #outcome(
    schedule: Schedule<Ghost>,
    step: Step,
    faultCount: number,
    isIntermediate = false,
  ): Outcome<Ghost> {
    const { world, stalled } = schedule;
    const departures = schedule.departures + faultCount;
    const queue = step.kind === 'receive' ? without(schedule.queue, step.item) : schedule.queue;
    const ticked = step.kind === 'tick' ? schedule.ticked | (1 << step.node) : schedule.ticked;
    const isLost = step.kind === 'receive' && faultCount === 0 && this.#isCut(schedule, step.item);
    const result = isLost
      ? undefined
      : this.#cluster.take(world, step, isInMask(stalled, step.node), isIntermediate);
    // The step had no effect, but is done: its message is consumed, or its timers are checked.
    if (!result) {
      const done = { ...schedule, queue, ticked };
      return { schedule: done, violation: undefined, isIdle: true };
    }
    const sent = result.sent.filter((message) => this.#isDeliverable(schedule, message));
    const next = {
      ...schedule,
      world: result.world,
      queue: queued(queue, sent),
      ticked: step.kind === 'advance' ? 0 : ticked,
      departures,
    };
    return { schedule: next, violation: result.violation, isIdle: false };
  }

  #isCut({ cut }: Schedule<Ghost>, message: number): boolean {
    const { from, to } = this.#cluster.envelope(message);
    return isInMask(cut, from) || isInMask(cut, to);
  }

  #isDeliverable(schedule: Schedule<Ghost>, message: number): boolean {
    return !this.#isCut(schedule, message);
  }
}
