import { createHash } from 'node:crypto';
import type { Moment } from '../../common/ids.js';
import type { Message } from '../../common/messages.js';
import { Interner } from './interner.js';
import type { StateDigest } from './state-digest.js';

/** Nodes kept in memory at most; each holds some hundred kilobytes. */
const MOST_LIVE = 256;

/** One write to a node's disk. A slot holds the newest version written to it. */
export interface DiskWrite {
  readonly slot: string;
  readonly epoch: number;
  readonly count: number;
  readonly body: string;
}

export interface Sent {
  readonly to: string;
  readonly message: Message;
}

/** What one node may be given. */
export type Input<Command> =
  | { readonly kind: 'tick' }
  | { readonly kind: 'receive'; readonly from: string; readonly messages: readonly Message[] }
  | { readonly kind: 'stored'; readonly write: DiskWrite }
  | { readonly kind: 'command'; readonly command: Command };

/** What one input made the node do. */
export interface Output<Event> {
  readonly sends: readonly Sent[];
  readonly writes: readonly DiskWrite[];
  readonly events: readonly Event[];
}

/** The real code of one node, wired as its process wires it. */
export interface Subject<Command, Event, Facts> {
  /** Everything that decides what it does from here on. */
  readonly state: unknown;
  perform(now: Moment, input: Input<Command>): Output<Event>;
  /** What the invariants look at. */
  facts(): Facts;
}

/** Outputs as numbers: messages and writes are interned. */
export interface LocalStep<Event> {
  readonly local: number;
  readonly sends: readonly number[];
  readonly writes: readonly number[];
  readonly events: readonly Event[];
}

/** What is delivered at once, with its two ends: one message, or all that one step sent to one node. */
export interface Envelope {
  readonly from: number;
  readonly to: number;
  readonly messages: readonly Message[];
}

/** How a process is started: which node, on what disk, when. */
export interface Boot {
  readonly node: number;
  readonly disk: readonly DiskWrite[];
  readonly now: Moment;
  /** How many processes were started before it, on any node. */
  readonly incarnation: number;
}

interface Recorded<Command, Event, Facts> {
  readonly boot: Boot;
  /** The state before and the input that led here; nothing right after the start. */
  readonly origin:
    { readonly local: number; readonly now: Moment; readonly input: Input<Command> } | undefined;
  readonly facts: Facts;
  steps: Map<string, LocalStep<Event>> | undefined;
  /** The first state that was found equal to this one; unknown until somebody asks. */
  settled: number | undefined;
}

/** What the table needs of a model. */
export interface NodeFactory<Command, Event, Facts> {
  readonly nodes: readonly string[];
  /** Whether all that a step sends to one node arrives together, as on one connection. */
  readonly isBundled: boolean;
  start(boot: Boot): Subject<Command, Event, Facts>;
}

/**
 * All states that single nodes have been in. The real code runs once for each pair of state and input; wherever the same
 * pair comes again, in whatever state of the others, the result is looked up.
 */
export class LocalStates<Command, Event, Facts> {
  readonly #factory: NodeFactory<Command, Event, Facts>;
  readonly #digest: StateDigest;
  readonly #ids = new Map<string, number>();
  readonly #recorded: Recorded<Command, Event, Facts>[] = [];
  readonly #boots = new Map<string, number>();
  readonly envelopes = new Interner<Envelope>();
  readonly writes = new Interner<DiskWrite>();
  /** Nodes that are in memory as they are in some states, oldest first, so that a run of steps needs no rebuilding. */
  readonly #live = new Map<number, Subject<Command, Event, Facts>>();

  constructor(factory: NodeFactory<Command, Event, Facts>, digest: StateDigest) {
    this.#factory = factory;
    this.#digest = digest;
  }

  /** How many different states were met. */
  get size(): number {
    return this.#ids.size;
  }

  factsOf(local: number): Facts {
    return this.#recordOf(local).facts;
  }

  boot(boot: Boot): number {
    const key = JSON.stringify(boot);
    const known = this.#boots.get(key);
    if (known !== undefined) return known;
    const local = this.settle(this.#record(boot, undefined, this.#factory.start(boot)));
    this.#boots.set(key, local);
    return local;
  }

  /**
   * `key` names the input among all that this model has. The state after it is known by its inputs alone, until it is
   * settled: most states within a run that leaves no choice are never met by another way.
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

  /** The first state that was found equal to this one, by all that the node holds. */
  settle(local: number): number {
    const record = this.#recordOf(local);
    if (record.settled !== undefined) return record.settled;
    const subject = this.#rebuild(local);
    const text = `${record.boot.node} ${this.#digest.textOf(subject.state)}`;
    // The texts themselves would fill the memory.
    const hash = createHash('sha256').update(text).digest('base64');
    const settled = this.#ids.get(hash) ?? local;
    this.#ids.set(hash, settled);
    record.settled = settled;
    // A state is always gone on from by the inputs that led to it first, so that what is found does not depend on memory.
    if (settled !== local) this.#live.delete(local);
    return settled;
  }

  #envelopes(from: number, sends: readonly Sent[]): number[] {
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
    origin: Recorded<Command, Event, Facts>['origin'],
    subject: Subject<Command, Event, Facts>,
  ): number {
    const local = this.#recorded.length;
    const facts = subject.facts();
    this.#recorded.push({ boot, origin, facts, steps: undefined, settled: undefined });
    this.#keepLive(local, subject);
    return local;
  }

  #keepLive(local: number, subject: Subject<Command, Event, Facts>): void {
    this.#live.delete(local);
    this.#live.set(local, subject);
    for (const oldest of this.#live.keys()) {
      if (this.#live.size <= MOST_LIVE) break;
      this.#live.delete(oldest);
    }
  }

  /** The cores cannot be copied: a state is reached again by the inputs that led to it first. */
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

  #recordOf(local: number): Recorded<Command, Event, Facts> {
    const record = this.#recorded[local];
    if (!record) throw new RangeError(`no local state ${local}`);
    return record;
  }
}
