import { MemoryStore } from '../state/memory-store.js';
import type { PartitionName } from '../common/ids.js';
import type { Message } from '../common/messages.js';
import { ControlCore } from '../control/control-core.js';
import { CONTROL_DEFAULTS, type ControlEffect } from '../control/control-effect.js';
import type { Scheduler } from './scheduler.js';
import type { SimEnvironment } from './sim-environment.js';
import { SimNode } from './sim-node.js';
import { PLACER_DEFAULTS } from '../placement/placer-types.js';
import type { VoteSettings } from '../election/vote-settings.js';
import type { Network } from './network.js';
import { NodeTrace } from './node-trace.js';
import type { MutationKind } from './mutation.js';
import type { SeededRandom } from './seeded-random.js';

/** Receives the response to an operator's command; status 0 if the node died first. */
export type ReplyHandler = (status: number, body: string) => void;

/** A simulated control node: the production `ControlCore` on a simulated disk, network and environment. */
export class SimControl extends SimNode {
  readonly #network: Network;
  readonly #trace: NodeTrace;
  readonly #outside: SimEnvironment;
  readonly #seeded: SeededRandom;
  readonly #seeds: readonly string[];
  readonly #vote: VoteSettings;
  readonly #mutation: MutationKind | '';
  readonly #store = new MemoryStore();
  readonly #replies = new Map<number, ReplyHandler>();
  #core: ControlCore | undefined;
  #commandId = 0;
  /** While set, writes to the disk do not complete. */
  isDiskStalled = false;
  /** Upper bound of the random duration of a write, ms. */
  maxDiskDelayMs = 3;
  #stalledWrites: (() => void)[] = [];

  constructor(
    id: string,
    scheduler: Scheduler,
    seeded: SeededRandom,
    network: Network,
    outside: SimEnvironment,
    seeds: readonly string[],
    vote: VoteSettings,
    mutation: MutationKind | '',
  ) {
    super(id, scheduler, seeded.between(0, 1e6), 25);
    this.#vote = vote;
    this.#mutation = mutation;
    this.#seeded = seeded;
    this.#network = network;
    this.#trace = new NodeTrace(id, scheduler, network.trace);
    this.#outside = outside;
    this.#seeds = seeds;
  }

  /** The node's core; undefined while the process is down. */
  get core(): ControlCore | undefined {
    return this.#core;
  }

  protected boot(): void {
    this.#store.crash();
    const settings = {
      ...CONTROL_DEFAULTS,
      incarnation: this.incarnation,
      me: this.id,
      zone: this.id,
      seeds: this.#seeds,
    };
    this.#core = new ControlCore(settings, this.#store.list(), this.now(), this.#vote, {
      ...PLACER_DEFAULTS,
      minResidencyMs: 2000,
      demandWindowMs: 5000,
    });
  }

  protected onKilled(): void {
    this.#core = undefined;
    this.freezeAtOrderMs = 0;
    this.#stalledWrites = [];
    // Pending commands get no response: their outcome is unknown to the operator.
    for (const returned of this.#replies.values()) returned(0, '');
    this.#replies.clear();
  }

  /** Erases the disk. */
  eraseDisk(): void {
    this.#store.erase();
  }

  /** Begins a planned stop, in which a leader hands over its leadership. */
  retire(): void {
    const now = () => this.now();
    function retire(core: ControlCore): void {
      core.retire(now());
    }
    this.perform(() => this.#handle(retire));
  }

  /** Corrupts a partition's file on the disk. */
  corruptDisk(partition: PartitionName): void {
    this.#store.corrupt(partition);
  }

  /** Ends a stall of the disk: the writes held back begin now. */
  resumeDisk(): void {
    this.isDiskStalled = false;
    const writes = this.#stalledWrites;
    this.#stalledWrites = [];
    for (const run of writes) run();
  }

  protected tick(): void {
    this.#handle((core) => this.#tickCore(core));
  }

  #tickCore(core: ControlCore): void {
    if (this.#mutation === 'acks-unasked') {
      const members = [];
      for (const id of this.#network.agentIds)
        members.push({ id, zone: '', address: id, epoch: 1e9, count: 0 });
      core.onMessage(this.now(), this.id, { kind: 'acked', members });
    }
    core.tick(this.now());
  }

  receive(from: string, message: Message): void {
    const now = () => this.now();
    this.#handle((core: ControlCore) => {
      core.onMessage(now(), from, message);
    });
  }

  onDisconnect(from: string): void {
    const now = () => this.now();
    this.#handle((core: ControlCore) => {
      core.onDisconnect(now(), from);
    });
  }

  /** If not 0, the process freezes for this long, in ms, after the next check of its lease before an order. */
  freezeAtOrderMs = 0;

  #freezeBeforeOrder(): void {
    if (this.freezeAtOrderMs === 0 || this.isFrozen) return;
    this.freeze();
    this.scheduler.after(this.freezeAtOrderMs, () => this.resume());
    this.freezeAtOrderMs = 0;
  }

  /** Submits an operator's command to this node's API. */
  command(verb: string, body: string, returned: ReplyHandler): void {
    if (!this.isUp) {
      returned(0, '');
      return;
    }
    this.#commandId += 1;
    const id = this.#commandId;
    this.#replies.set(id, returned);
    const now = () => this.now();
    function command(core: ControlCore): void {
      core.onCommand(now(), id, verb, body);
    }
    this.perform(() => this.#handle(command));
  }

  #handleWhenRunning(input: (core: ControlCore) => void): void {
    this.perform(() => this.#handle(input));
  }

  #handle(input: (core: ControlCore) => void): void {
    const core = this.#core;
    if (!core) return;
    input(core);
    for (const effect of core.drain()) this.#executeEffect(core, effect);
  }

  #executeEffect(core: ControlCore, effect: ControlEffect): void {
    const now = () => this.now();
    const perform = (input: (core: ControlCore) => void) => this.#handle(input);
    switch (effect.do) {
      case 'send':
        this.#network.send(this.id, effect.to, effect.message);
        break;
      case 'store':
        this.#persist(effect);
        break;
      case 'reply': {
        const returned = this.#replies.get(effect.id);
        this.#replies.delete(effect.id);
        this.#trace.answer(effect.status, effect.body);
        returned?.(effect.status, effect.body);
        break;
      }
      case 'askMachines': {
        this.#trace.record('machines', []);
        const machines = this.#outside.platform.machines();
        function take(inner: ControlCore): void {
          if (machines) inner.onMachines(now(), machines);
        }
        if (machines) this.later(this.#network.delay(), () => perform(take));
        break;
      }
      case 'askCatalog': {
        this.#trace.record('catalog', []);
        const outside = this.#outside;
        const extra = this.#mutation === 'slots-forgotten' ? 3 : 0;
        function take(inner: ControlCore): void {
          inner.onCatalog(now(), {
            ...outside.orders.catalog,
            limit: outside.orders.catalog.limit + extra,
          });
        }
        this.later(this.#network.delay(), () => perform(take));
        break;
      }
      case 'askReport':
        this.#askReport(effect.runner);
        break;
      case 'order':
        this.#order(core, effect);
        break;
      case 'log':
        break;
    }
  }

  #askReport(runner: string): void {
    this.#trace.record('report', [runner]);
    const askedAt = this.now();
    const outside = this.#outside;
    const now = () => this.now();
    const perform = (input: (core: ControlCore) => void) => this.#handle(input);
    const delay = this.#network.delay();
    const later = (millis: number, run: () => void) => this.later(millis, run);
    const isCut = () => this.#network.isCut(this.id, runner);
    const extra = this.#mutation === 'room-forgotten' ? 30 : 0;
    // The runner takes its report when the request arrives; the report then travels back.
    this.scheduler.after(delay, () => {
      const actual = isCut() ? undefined : outside.report(runner);
      const report = actual && extra > 0 ? { ...actual, room: actual.room + extra } : actual;
      function take(core: ControlCore): void {
        core.onRunnerReport(now(), runner, askedAt, report);
      }
      later(report ? delay : 800, () => perform(take));
    });
  }

  /** Sends the header of an order, awaits the runner's `100 Continue`, checks the lease, and sends the order. */
  #order(core: ControlCore, effect: Extract<ControlEffect, { do: 'order' }>): void {
    const perform = (input: (core: ControlCore) => void) => this.#handleWhenRunning(input);
    const now = () => this.now();
    const network = this.#network;
    const outside = this.#outside;
    const me = this.id;
    const scheduler = this.scheduler;
    const later = (millis: number, run: () => void) => this.later(millis, run);
    const { intent } = effect;
    this.#trace.order(intent);
    function reportOutcome(
      outcome: 'taken' | 'turnedAway' | 'unsure' | 'unsent',
      inner: ControlCore,
    ): void {
      inner.onOrderOutcome(now(), intent.id, outcome);
    }
    const epoch = core.elector.epoch;
    const mutation = this.#mutation;
    let continuedAt = 0;
    const freezeBeforeWrite = () => this.#freezeBeforeOrder();
    function write(inner: ControlCore): void {
      if (!inner.mayOrder(now()) || inner.leaseEnd() - now() <= 350) {
        reportOutcome('unsent', inner);
        return;
      }
      // The process may freeze for any length of time between the check and the write.
      freezeBeforeWrite();
      perform(put);
    }
    function put(): void {
      // The order is in the socket from now on: a freeze or a lost lease no longer stops it.
      if (network.isCut(me, intent.runner)) {
        later(1000, () => perform((inner: ControlCore) => reportOutcome('unsure', inner)));
        return;
      }
      scheduler.after(network.delay(), arrive);
    }
    function arrive(): void {
      const acceptedFrom = mutation === 'orders-untimed' ? scheduler.now : continuedAt;
      const outcome = outside.orders.order({
        holder: me,
        epoch,
        intent,
        continuedAt: acceptedFrom,
      });
      later(network.delay(), () => perform((inner: ControlCore) => reportOutcome(outcome, inner)));
    }
    if (network.isCut(me, intent.runner) || !outside.isAnswering(intent.runner))
      later(1000, () => perform((inner: ControlCore) => reportOutcome('unsent', inner)));
    else
      scheduler.after(network.delay(), () => {
        continuedAt = scheduler.now;
        scheduler.after(network.delay(), () => perform(write));
      });
  }

  #persist(effect: Extract<ControlEffect, { do: 'store' }>): void {
    const { partition, version, body } = effect;
    const store = this.#store;
    const now = () => this.now();
    function stored(core: ControlCore): void {
      core.onPersisted(now(), partition, version);
    }
    const perform = () => this.perform(() => this.#handle(stored));
    const delayWrite =
      this.#mutation === 'yes-unsynced' ? (run: () => void) => this.later(3000, run) : undefined;
    this.#trace.write(partition, version, body);
    function persist(): void {
      store.persist(partition, version, body);
    }
    const write = this.later.bind(this, this.#seeded.between(0.5, this.maxDiskDelayMs), () => {
      if (delayWrite) delayWrite(persist);
      else persist();
      perform();
    });
    if (this.isDiskStalled) this.#stalledWrites.push(write);
    else write();
  }
}
