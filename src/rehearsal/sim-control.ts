import { MemoryStore } from '../state/memory-store.js';
import type { PartitionName } from '../common/ids.js';
import type { Message } from '../common/messages.js';
import { ControlCore } from '../control/control-core.js';
import { CONTROL_DEFAULTS, type ControlEffect } from '../control/control-effect.js';
import type { Scheduler } from './scheduler.js';
import type { SimOutside } from './sim-outside.js';
import { SimNode } from './sim-node.js';
import { PLACER_DEFAULTS } from '../placement/placer-types.js';
import type { VoteSettings } from '../election/vote-settings.js';
import type { Network } from './network.js';
import { NodeTrace } from './node-trace.js';
import type { MutationKind } from './mutation.js';
import type { SeededRandom } from './seeded-random.js';

export type Returned = (status: number, body: string) => void;

/** A simulated core machine: the real core, on a simulated disk, network and outside. */
export class SimControl extends SimNode {
  readonly #network: Network;
  readonly #trace: NodeTrace;
  readonly #outside: SimOutside;
  readonly #seeded: SeededRandom;
  readonly #seeds: readonly string[];
  readonly #vote: VoteSettings;
  readonly #wrong: MutationKind | '';
  readonly #store = new MemoryStore();
  readonly #replies = new Map<number, Returned>();
  #core: ControlCore | undefined;
  #commandId = 0;
  /** While set, nothing reaches this disk. */
  isDiskStalled = false;
  diskMs = 3;
  #stalled: (() => void)[] = [];

  constructor(
    id: string,
    scheduler: Scheduler,
    seeded: SeededRandom,
    network: Network,
    outside: SimOutside,
    seeds: readonly string[],
    vote: VoteSettings,
    wrong: MutationKind | '',
  ) {
    super(id, scheduler, seeded.between(0, 1e6), 25);
    this.#vote = vote;
    this.#wrong = wrong;
    this.#seeded = seeded;
    this.#network = network;
    this.#trace = new NodeTrace(id, scheduler, network.trace);
    this.#outside = outside;
    this.#seeds = seeds;
  }

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

  protected died(): void {
    this.#core = undefined;
    this.freezeAtOrderMs = 0;
    this.#stalled = [];
    // Whoever asked here hears nothing any more: for them the outcome is unsure.
    for (const returned of this.#replies.values()) returned(0, '');
    this.#replies.clear();
  }

  wipe(): void {
    this.#store.erase();
  }

  /** A planned stop: says whether it handed over. */
  retire(): void {
    const now = () => this.now();
    function retire(core: ControlCore): void {
      core.retire(now());
    }
    this.perform(() => this.#do(retire));
  }

  rot(partition: PartitionName): void {
    this.#store.corrupt(partition);
  }

  unstall(): void {
    this.isDiskStalled = false;
    const stalled = this.#stalled;
    this.#stalled = [];
    for (const run of stalled) run();
  }

  protected tick(): void {
    this.#do((core) => this.#tickCore(core));
  }

  #tickCore(core: ControlCore): void {
    if (this.#wrong === 'acks-unasked') {
      const members = [];
      for (const id of this.#network.linkIds)
        members.push({ id, zone: '', address: id, epoch: 1e9, count: 0 });
      core.onMessage(this.now(), this.id, { kind: 'acked', members });
    }
    core.tick(this.now());
  }

  receive(from: string, message: Message): void {
    const now = () => this.now();
    this.#do((core: ControlCore) => {
      core.onMessage(now(), from, message);
    });
  }

  gone(from: string): void {
    const now = () => this.now();
    this.#do((core: ControlCore) => {
      core.onDisconnect(now(), from);
    });
  }

  /** While set, it freezes for so long right after the next check of its lease before an order. */
  freezeAtOrderMs = 0;

  #freezeAtOrder(): void {
    if (this.freezeAtOrderMs === 0 || this.isFrozen) return;
    this.freeze();
    this.scheduler.after(this.freezeAtOrderMs, () => this.wake());
    this.freezeAtOrderMs = 0;
  }

  /** An operator's command at this node's API. */
  command(verb: string, body: string, returned: Returned): void {
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
    this.perform(() => this.#do(command));
  }

  #atWake(input: (core: ControlCore) => void): void {
    this.perform(() => this.#do(input));
  }

  #do(input: (core: ControlCore) => void): void {
    const core = this.#core;
    if (!core) return;
    input(core);
    for (const effect of core.drain()) this.#carryOut(core, effect);
  }

  #carryOut(core: ControlCore, effect: ControlEffect): void {
    const now = () => this.now();
    const perform = (input: (core: ControlCore) => void) => this.#do(input);
    switch (effect.do) {
      case 'send':
        this.#network.send(this.id, effect.to, effect.message);
        break;
      case 'store':
        this.#keep(effect);
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
        const more = this.#wrong === 'slots-forgotten' ? 3 : 0;
        function take(inner: ControlCore): void {
          inner.onCatalog(now(), {
            ...outside.orders.catalog,
            limit: outside.orders.catalog.limit + more,
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
    const perform = (input: (core: ControlCore) => void) => this.#do(input);
    const delay = this.#network.delay();
    const later = (millis: number, run: () => void) => this.later(millis, run);
    const isCut = () => this.#network.isCut(this.id, runner);
    const more = this.#wrong === 'room-forgotten' ? 30 : 0;
    // The runner writes its report when the ask arrives; it then travels back.
    this.scheduler.after(delay, () => {
      const told = isCut() ? undefined : outside.report(runner);
      const report = told && more > 0 ? { ...told, room: told.room + more } : told;
      function take(core: ControlCore): void {
        core.onRunnerReport(now(), runner, askedAt, report);
      }
      later(report ? delay : 800, () => perform(take));
    });
  }

  /** The head of an order goes out, the runner says to go on, the lease is checked, and the order is written. */
  #order(core: ControlCore, effect: Extract<ControlEffect, { do: 'order' }>): void {
    const perform = (input: (core: ControlCore) => void) => this.#atWake(input);
    const now = () => this.now();
    const network = this.#network;
    const outside = this.#outside;
    const me = this.id;
    const scheduler = this.scheduler;
    const later = (millis: number, run: () => void) => this.later(millis, run);
    const { intent } = effect;
    this.#trace.order(intent);
    function told(outcome: 'taken' | 'turnedAway' | 'unsure' | 'unsent', inner: ControlCore): void {
      inner.onOrderOutcome(now(), intent.id, outcome);
    }
    const epoch = core.elector.epoch;
    const wrong = this.#wrong;
    let continuedAt = 0;
    const freezeHere = () => this.#freezeAtOrder();
    function write(inner: ControlCore): void {
      if (!inner.mayOrder(now()) || inner.leaseEnd() - now() <= 350) {
        told('unsent', inner);
        return;
      }
      // Between the check and the write the process may stand still for as long as it likes.
      freezeHere();
      perform(put);
    }
    function put(): void {
      // From here on it is in the socket: a freeze or a lost lease no longer holds it back.
      if (network.isCut(me, intent.runner)) {
        later(1000, () => perform((inner: ControlCore) => told('unsure', inner)));
        return;
      }
      scheduler.after(network.delay(), arrive);
    }
    function arrive(): void {
      const goneOnAt = wrong === 'orders-untimed' ? scheduler.now : continuedAt;
      const outcome = outside.orders.order({ holder: me, epoch, intent, continuedAt: goneOnAt });
      later(network.delay(), () => perform((inner: ControlCore) => told(outcome, inner)));
    }
    if (network.isCut(me, intent.runner) || !outside.isAnswering(intent.runner))
      later(1000, () => perform((inner: ControlCore) => told('unsent', inner)));
    else
      scheduler.after(network.delay(), () => {
        continuedAt = scheduler.now;
        scheduler.after(network.delay(), () => perform(write));
      });
  }

  #keep(effect: Extract<ControlEffect, { do: 'store' }>): void {
    const { partition, version, body } = effect;
    const store = this.#store;
    const now = () => this.now();
    function stored(core: ControlCore): void {
      core.onPersisted(now(), partition, version);
    }
    const perform = () => this.perform(() => this.#do(stored));
    const late =
      this.#wrong === 'yes-unsynced' ? (run: () => void) => this.later(3000, run) : undefined;
    this.#trace.write(partition, version, body);
    function keep(): void {
      store.persist(partition, version, body);
    }
    const write = this.later.bind(this, this.#seeded.between(0.5, this.diskMs), () => {
      if (late) late(keep);
      else keep();
      perform();
    });
    if (this.isDiskStalled) this.#stalled.push(write);
    else write();
  }
}
