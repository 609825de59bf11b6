import { createHash } from 'node:crypto';
import type { Moment } from '../../common/ids.js';
import type { Message } from '../../common/messages.js';
import { Interner } from './interner.js';
import type { StateDigest } from './state-digest.js';

/** Maximum number of nodes kept in memory; each takes some hundred kilobytes. */
const MAX_LIVE_NODES = 256;

/** One write to a node's disk. A slot holds the newest version written to it. */
export interface DiskWrite {
  readonly slot: string;
  readonly epoch: number;
  readonly count: number;
  readonly body: string;
}

/** A message that a node sends. */
export interface OutgoingMessage {
  readonly to: string;
  readonly message: Message;
}

/** One input of a node. */
export type Input<Command> =
  | { readonly kind: 'tick' }
  | { readonly kind: 'receive'; readonly from: string; readonly messages: readonly Message[] }
  | { readonly kind: 'stored'; readonly write: DiskWrite }
  | { readonly kind: 'command'; readonly command: Command };

/** What a node does in response to one input. */
export interface Output<Event> {
  readonly sends: readonly OutgoingMessage[];
  readonly writes: readonly DiskWrite[];
  readonly events: readonly Event[];
}

/** The production code of one node, with its components connected as in its process. */
export interface Subject<Command, Event, Facts> {
  /** Everything that determines its further behavior. */
  readonly state: unknown;
  /** Handles one input at the time `now`. */
  perform(now: Moment, input: Input<Command>): Output<Event>;
  /** What the invariants need to know of its state. */
  facts(): Facts;
}

/** The result of one input; messages and writes are interned and given by their ids. */
export interface LocalStep<Event> {
  readonly local: number;
  readonly sends: readonly number[];
  readonly writes: readonly number[];
  readonly events: readonly Event[];
}

/** What is delivered together, with its sender and receiver: one message, or all that one step sent to one node. */
export interface Envelope {
  readonly from: number;
  readonly to: number;
  readonly messages: readonly Message[];
}

/** The start of a process: of which node, with which disk, and when. */
export interface Boot {
  readonly node: number;
  readonly disk: readonly DiskWrite[];
  readonly now: Moment;
  /** Number of processes started before it, on any node. */
  readonly incarnation: number;
}

interface StateRecord<Command, Event, Facts> {
  readonly boot: Boot;
  /** The preceding state, and the input that led here; undefined right after the start. */
  readonly origin:
    { readonly local: number; readonly now: Moment; readonly input: Input<Command> } | undefined;
  readonly facts: Facts;
  steps: Map<string, LocalStep<Event>> | undefined;
  /** The canonical representative: the first state found to be equal to this one; undefined until it is requested. */
  canonical: number | undefined;
}

/** What is needed to start nodes. */
export interface NodeFactory<Command, Event, Facts> {
  readonly nodes: readonly string[];
  /** Whether all messages of a step to one node arrive together, as on one connection. */
  readonly isBundled: boolean;
  /** Starts the process of a node. */
  start(boot: Boot): Subject<Command, Event, Facts>;
}

/**
 * All states reached by single nodes. The production code runs once for each pair of state and input; when the same pair
 * occurs again, whatever the states of the other nodes, the result is looked up.
 */
export class LocalStates<Command, Event, Facts> {
  readonly #factory: NodeFactory<Command, Event, Facts>;
  readonly #digest: StateDigest;
  readonly #ids = new Map<string, number>();
  readonly #records: StateRecord<Command, Event, Facts>[] = [];
  readonly #boots = new Map<string, number>();
  /** All messages sent so far. */
  readonly envelopes = new Interner<Envelope>();
  /** All disk writes so far. */
  readonly writes = new Interner<DiskWrite>();
  /** Nodes in memory, by the state that they are in, oldest first, so that a sequence of steps needs no rebuilding. */
  readonly #live = new Map<number, Subject<Command, Event, Facts>>();

  constructor(factory: NodeFactory<Command, Event, Facts>, digest: StateDigest) {
    this.#factory = factory;
    this.#digest = digest;
  }

  /** Number of distinct states. */
  get size(): number {
    return this.#ids.size;
  }

  /** The facts of a state; throws a RangeError if there is no state with this id. */
  factsOf(local: number): Facts {
    return this.#recordOf(local).facts;
  }

  /** The id of the state of a node right after its start. */
  boot(boot: Boot): number {
    const key = JSON.stringify(boot);
    const known = this.#boots.get(key);
    if (known !== undefined) return known;
    const local = this.canonicalize(this.#record(boot, undefined, this.#factory.start(boot)));
    this.#boots.set(key, local);
    return local;
  }

  /**
   * Gives a node one input; `key` identifies the input among all inputs of the model. The new state is identified only by
   * the inputs that led to it, until `canonicalize` compares it with others: most states within a sequence of steps
   * without a choice are reached in no other way.
   */
  step(local: number, now: Moment, key: string, input: Input<Command>): LocalStep<Event> {
    const before = this.#recordOf(local);
    const timedKey = `${now} ${key}`;
    const known = before.steps?.get(timedKey);
    if (known) return known;
    const subject = this.#rebuild(local);
    this.#live.delete(local);
    const output = subject.perform(now, structuredClone(input));
    const after = this.#record(before.boot, { local, now, input }, subject);
    const step: LocalStep<Event> = {
      local: after,
      sends: this.#envelopes(before.boot.node, output.sends),
      writes: output.writes.map(this.writes.idOf, this.writes),
      events: output.events,
    };
    before.steps ??= new Map();
    before.steps.set(timedKey, step);
    return step;
  }

  /** The canonical representative of a state: the first one found to be equal in everything that the node holds. */
  canonicalize(local: number): number {
    const record = this.#recordOf(local);
    if (record.canonical !== undefined) return record.canonical;
    const subject = this.#rebuild(local);
    const text = `${record.boot.node} ${this.#digest.textOf(subject.state)}`;
    // The texts themselves would take too much memory.
    const hash = createHash('sha256').update(text).digest('base64');
    const canonical = this.#ids.get(hash) ?? local;
    this.#ids.set(hash, canonical);
    record.canonical = canonical;
    // Later steps always continue from the inputs that first led to the state, so that the results do not depend on which
    // nodes are still in memory.
    if (canonical !== local) this.#live.delete(local);
    return canonical;
  }

  #envelopes(from: number, sends: readonly OutgoingMessage[]): number[] {
    const ids: number[] = [];
    const bundles = new Map<number, Message[]>();
    for (const { to, message } of sends) {
      const receiver = this.#factory.nodes.indexOf(to);
      if (receiver < 0) continue;
      const bundle = bundles.get(receiver);
      if (bundle && this.#factory.isBundled) bundle.push(message);
      else if (this.#factory.isBundled) bundles.set(receiver, [message]);
      else ids.push(this.envelopes.idOf({ from, to: receiver, messages: [message] }));
    }
    for (const [to, messages] of bundles) ids.push(this.envelopes.idOf({ from, to, messages }));
    return [...new Set(ids)];
  }

  #record(
    boot: Boot,
    origin: StateRecord<Command, Event, Facts>['origin'],
    subject: Subject<Command, Event, Facts>,
  ): number {
    const local = this.#records.length;
    const facts = subject.facts();
    this.#records.push({ boot, origin, facts, steps: undefined, canonical: undefined });
    this.#keepLive(local, subject);
    return local;
  }

  #keepLive(local: number, subject: Subject<Command, Event, Facts>): void {
    this.#live.delete(local);
    this.#live.set(local, subject);
    for (const oldest of this.#live.keys()) {
      if (this.#live.size <= MAX_LIVE_NODES) break;
      this.#live.delete(oldest);
    }
  }

  /** Cores cannot be copied: a state is restored by repeating the inputs that first led to it. */
  #rebuild(local: number): Subject<Command, Event, Facts> {
    const live = this.#live.get(local);
    if (live) return live;
    const inputs: { readonly now: Moment; readonly input: Input<Command> }[] = [];
    let record = this.#recordOf(local);
    while (record.origin) {
      inputs.push(record.origin);
      record = this.#recordOf(record.origin.local);
    }
    const subject = this.#factory.start(record.boot);
    for (const { now, input } of inputs.reverse()) subject.perform(now, structuredClone(input));
    return subject;
  }

  #recordOf(local: number): StateRecord<Command, Event, Facts> {
    const record = this.#records[local];
    if (!record) throw new RangeError(`no local state ${local}`);
    return record;
  }
}
