import { moment, type Moment } from '../../common/ids.js';
import type { Message } from '../../common/messages.js';
import { withWrite } from './disk.js';
import { Interner } from './interner.js';
import {
  LocalStates,
  type DiskWrite,
  type Envelope,
  type Input,
  type LocalStep,
} from './local-states.js';
import { withAll } from './message-text.js';
import type { FaultKind, NodeState, Protocol, View, World } from './protocol.js';
import type { StateDigest } from './state-digest.js';
import type { Step } from './steps.js';

/** The cluster after a step, and what the step did. */
export interface StepResult<Ghost> {
  readonly world: World<Ghost>;
  /** Ids of the messages that the step sent. */
  readonly sent: readonly number[];
  /** Whether the step changed nothing: at most it sent messages that had been sent before. */
  readonly isSame: boolean;
  /** The broken invariant; undefined if all hold. */
  readonly violation: string | undefined;
}

interface NodeChange<Event> {
  readonly node: NodeState;
  readonly messages: string;
  readonly sent: readonly number[];
  readonly events: readonly Event[];
}

/** Several nodes with their disks and the network between them. Executes single steps; a model chooses which. */
export class Cluster<Command, Event, Facts, Ghost> {
  readonly #protocol: Protocol<Command, Event, Facts, Ghost>;
  readonly #locals: LocalStates<Command, Event, Facts>;
  readonly #disks = new Interner<readonly DiskWrite[]>();
  readonly #commands = new Interner<Command>();
  readonly #ghosts = new Interner<Ghost>();
  readonly #ghostIds = new WeakMap<object, number>();

  constructor(protocol: Protocol<Command, Event, Facts, Ghost>, digest: StateDigest) {
    this.#protocol = protocol;
    this.#locals = new LocalStates(protocol, digest);
  }

  /** The protocol that is checked. */
  get protocol(): Protocol<Command, Event, Facts, Ghost> {
    return this.#protocol;
  }

  /** Number of distinct states of single nodes reached so far. */
  get localStateCount(): number {
    return this.#locals.size;
  }

  /** Starts all nodes from the protocol's first disks. */
  boot(): World<Ghost> {
    const { firstDisks, firstGhost, nodes } = this.#protocol;
    const states: NodeState[] = [];
    for (const node of nodes.keys()) {
      const disk = firstDisks[node] ?? [];
      const local = this.#locals.boot({ node, disk, now: this.#momentOf(0), incarnation: 0 });
      states.push({ local, disk: this.#disks.idOf(disk), pending: [] });
    }
    return { clock: 0, nodes: states, messages: '', restarts: 0, wipes: 0, ghost: firstGhost };
  }

  /** A text that is equal for equal states of the cluster. */
  key(world: World<Ghost>): string {
    let text = `${world.clock},${world.restarts},${world.wipes},${this.#ghostId(world.ghost)}`;
    for (const node of world.nodes) text += `;${node.local},${node.disk},${node.pending.join()}`;
    return `${text};${world.messages}`;
  }

  /** The message with this id. */
  envelope(message: number): Envelope {
    return this.#locals.envelopes.valueOf(message);
  }

  /** The id of a command; equal commands have the same one. */
  commandId(command: Command): number {
    return this.#commands.idOf(command);
  }

  /** The commands that clients may send in this state: the node that receives each, and its id. */
  commandsOf(world: World<Ghost>): readonly { readonly node: number; readonly item: number }[] {
    const found: { readonly node: number; readonly item: number }[] = [];
    for (const { node, command } of this.#protocol.commands(this.#view(world))) {
      found.push({ node, item: this.commandId(command) });
    }
    return found;
  }

  /** Whether the protocol allows a fault of this kind at the node in this state. */
  allowsFault(world: World<Ghost>, kind: FaultKind, node: number): boolean {
    return this.#protocol.allowsFault(this.#view(world), kind, node);
  }

  /** Describes a step for a counterexample. */
  describe({ kind, node, item }: Step): string {
    const name = this.#protocol.nodes[node] ?? '';
    switch (kind) {
      case 'advance':
        return 'the clocks advance by one step';
      case 'tick':
        return `${name} checks its timers`;
      case 'sync':
        return `the disk of ${name} finishes all writes`;
      case 'restart':
        return `${name} crashes and restarts with what was synced`;
      case 'wipe':
        return `${name} crashes and restarts with an empty disk`;
      case 'command':
        return `${name} receives the command ${JSON.stringify(this.#commands.valueOf(item))}`;
      case 'drop':
        return `lost: ${this.#messageText(item)}`;
      case 'receive':
        return this.#messageText(item);
      case 'skip':
        return `the timers of ${name} are late`;
      default:
        return `${kind} ${name}`;
    }
  }

  #messageText(item: number): string {
    const { from, to, messages } = this.envelope(item);
    const { nodes } = this.#protocol;
    const texts = messages.map(messageText);
    return `${nodes[from]} -> ${nodes[to]}: ${texts.join(' + ')}`;
  }

  /**
   * Executes one step of a node, or advances the clocks; returns undefined if nothing changes. `isStalled` says whether the
   * node's disk leaves its writes unfinished. Within a sequence of steps without a choice (`isIntermediate`) the new state
   * is not compared with known ones, which `canonicalize` does at its end.
   */
  take(
    world: World<Ghost>,
    step: Step,
    isStalled: boolean,
    isIntermediate = false,
  ): StepResult<Ghost> | undefined {
    const before = world.nodes[step.node];
    if (!before) return undefined;
    if (step.kind === 'advance') {
      const next = { ...world, clock: world.clock + 1 };
      return { ...this.#check(world, next, step, [], []), isSame: false };
    }
    const found = this.#change(world, before, step, isStalled);
    const changed = isIntermediate ? found : { ...found, node: this.#canonicalNode(found.node) };
    const isSame =
      changed.node.local === before.local &&
      changed.messages === world.messages &&
      changed.events.length === 0 &&
      changed.node.pending === before.pending;
    if (isSame && changed.sent.length === 0) return undefined;
    const next = {
      ...world,
      nodes: world.nodes.with(step.node, changed.node),
      messages: changed.messages,
      restarts: world.restarts + (step.kind === 'restart' ? 1 : 0),
      wipes: world.wipes + (step.kind === 'wipe' ? 1 : 0),
    };
    return { ...this.#check(world, next, step, changed.sent, changed.events), isSame };
  }

  /** The same state with each node's state replaced by its canonical representative. */
  canonicalize(world: World<Ghost>): World<Ghost> {
    return { ...world, nodes: world.nodes.map(this.#canonicalNode, this) };
  }

  #canonicalNode(node: NodeState): NodeState {
    const local = this.#locals.canonicalize(node.local);
    return local === node.local ? node : { ...node, local };
  }

  #change(world: World<Ghost>, node: NodeState, step: Step, isStalled: boolean): NodeChange<Event> {
    const now = this.#momentOf(world.clock);
    switch (step.kind) {
      case 'sync':
        return this.#sync(now, { node, messages: world.messages, sent: [], events: [] });
      case 'restart':
        return this.#restart(world, step.node, node.disk);
      case 'wipe':
        return this.#restart(world, step.node, this.#disks.idOf([]));
      default: {
        const input = this.#inputOf(step);
        const key = `${step.kind} ${step.item}`;
        const local = this.#locals.step(node.local, now, key, input);
        const changed = this.#after(node, world.messages, local);
        return isStalled ? changed : this.#sync(now, changed);
      }
    }
  }

  #inputOf(step: Step): Input<Command> {
    if (step.kind === 'tick') return { kind: 'tick' };
    if (step.kind === 'command') {
      return { kind: 'command', command: this.#commands.valueOf(step.item) };
    }
    const { from, messages } = this.envelope(step.item);
    return { kind: 'receive', from: this.#protocol.nodes[from] ?? '', messages };
  }

  #restart(world: World<Ghost>, node: number, disk: number): NodeChange<Event> {
    const now = this.#momentOf(world.clock);
    const incarnation = world.restarts + world.wipes + 1;
    const local = this.#locals.boot({ node, disk: this.#disks.valueOf(disk), now, incarnation });
    const state = { local, disk, pending: [] };
    return { node: state, messages: world.messages, sent: [], events: [] };
  }

  /** Finishes all pending writes in order, including those that the node starts in response. */
  #sync(now: Moment, changed: NodeChange<Event>): NodeChange<Event> {
    let result = changed;
    while (result.node.pending.length > 0) {
      const [first = 0, ...pending] = result.node.pending;
      const write = this.#locals.writes.valueOf(first);
      const disk = this.#disks.idOf(withWrite(this.#disks.valueOf(result.node.disk), write));
      const key = `stored ${first}`;
      const step = this.#locals.step(result.node.local, now, key, { kind: 'stored', write });
      const next = this.#after({ ...result.node, disk, pending }, result.messages, step);
      result = {
        ...next,
        sent: [...result.sent, ...next.sent],
        events: [...result.events, ...next.events],
      };
    }
    return result;
  }

  #after(node: NodeState, messages: string, step: LocalStep<Event>): NodeChange<Event> {
    const pending = step.writes.length === 0 ? node.pending : [...node.pending, ...step.writes];
    return {
      node: { local: step.local, disk: node.disk, pending },
      messages: withAll(messages, step.sends.filter(this.#mayArriveLate, this)),
      sent: step.sends,
      events: step.events,
    };
  }

  #mayArriveLate(message: number): boolean {
    return this.envelope(message).messages.some(this.#protocol.mayArriveLate);
  }

  #check(
    world: World<Ghost>,
    next: World<Ghost>,
    step: Step,
    sent: readonly number[],
    events: readonly Event[],
  ): Omit<StepResult<Ghost>, 'isSame'> {
    const isAdvance = step.kind === 'advance';
    const details = {
      node: isAdvance ? undefined : step.node,
      isAdvance,
      isRestart: step.kind === 'restart' || step.kind === 'wipe',
      command: step.kind === 'command' ? this.#commands.valueOf(step.item) : undefined,
      sent: sent.map(this.envelope, this),
      events,
    };
    const check = this.#protocol.checkInvariants(this.#view(world), this.#view(next), details);
    return { world: { ...next, ghost: check.ghost }, sent, violation: check.violation };
  }

  #view(world: World<Ghost>): View<Facts, Ghost> {
    const facts: Facts[] = [];
    const disks: (readonly DiskWrite[])[] = [];
    for (const node of world.nodes) {
      facts.push(this.#locals.factsOf(node.local));
      disks.push(this.#disks.valueOf(node.disk));
    }
    return { clock: world.clock, ghost: world.ghost, facts, disks };
  }

  #momentOf(clock: number): Moment {
    return moment(clock * this.#protocol.clockStepMs);
  }

  #ghostId(ghost: Ghost): number {
    if (typeof ghost !== 'object' || ghost === null) return this.#ghosts.idOf(ghost);
    const known = this.#ghostIds.get(ghost);
    if (known !== undefined) return known;
    const id = this.#ghosts.idOf(ghost);
    this.#ghostIds.set(ghost, id);
    return id;
  }
}

function messageText(message: Message): string {
  return JSON.stringify(message, omitReports);
}

/** Omits the connection scores: they are part of every election message and would make it unreadable. */
function omitReports(key: string, value: unknown): unknown {
  return key === 'reports' ? undefined : value;
}
