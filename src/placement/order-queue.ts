import type { PlacementState } from './placement-state.js';
import type { StoreRateLimit } from './store-rate-limit.js';
import type { Moment } from '../common/ids.js';
import type { Intent } from './shapes.js';
import type { OrderOutcome } from './planner-settings.js';
import { type Order, type RunnerState, type ModelState, noDoc } from './planner-records.js';

/**
 * Orders to runners, from the decision to the outcome. Every order is an intent in a document first, and
 * is given once that is kept; each runner has one order under way at a time.
 */
export class OrderQueue {
  readonly #state: PlacementState;
  readonly #store: StoreRateLimit;
  #label = '';
  #number = 0;

  constructor(state: PlacementState, store: StoreRateLimit) {
    this.#state = state;
    this.#store = store;
  }

  /** A new term of leading: the ids of its intents begin with `label`. */
  begin(label: string): void {
    this.#label = label;
    this.#number = 0;
  }

  /** These intents are stored by a majority: they may be given. */
  kept(intentIds: Iterable<string>): void {
    for (const id of intentIds) {
      for (const op of this.#state.runnerOfOrder.get(id)?.queue ?? [])
        if (op.intent.id === id) op.isPersisted = true;
    }
  }

  /** Kept intents that are due; each is given once until its outcome is told. */
  orders(now: Moment): readonly Intent[] {
    const intents: Intent[] = [];
    for (const runner of this.#state.busy) {
      const op = this.#dueOp(now, runner);
      if (!op) continue;
      op.isSent = true;
      runner.given = op;
      intents.push(this.#orderOf(runner, op));
    }
    return intents;
  }

  #dueOp(now: Moment, runner: RunnerState): Order | undefined {
    const head = runner.queue[0];
    if (runner.given || !head || head.due > now) return undefined;
    if (!head.isAccepted) return this.#mayStart(now, runner, head) ? head : undefined;
    // The next order is taken only once the one before it has ended: it need not be asked for by itself.
    const next = runner.queue[1];
    return next && this.#mayStart(now, runner, next) ? next : runner.queue[0];
  }

  #mayStart(now: Moment, runner: RunnerState, op: Order): boolean {
    if (!op.isPersisted || !this.#state.isOpen(runner)) return false;
    if (op.intent.verb === 'load' && !this.#fits(runner, op)) {
      this.#abandon(now, runner);
      return false;
    }
    if (!op.isStore) return true;
    const freeAt = op.model.service.window.freeAt(now, this.#store.budget(op.model.service));
    if (freeAt > now) op.due = freeAt;
    return freeAt <= now;
  }

  /** Whether a load fits into what the runner surely holds at most, once all before it in its line has ended. */
  #fits(runner: RunnerState, op: Order): boolean {
    const engine = runner.engine;
    if (!engine) return false;
    let mb = op.intent.size;
    let adapters = op.intent.adapter === '' ? 0 : 1;
    for (const held of runner.holds.values()) {
      if (held.phase !== 'coming' || this.#isBegun(runner, held.model, '')) mb += held.model.sizeMb;
      for (const [name, adapter] of held.adapters) {
        if (adapter.phase === 'coming' && !this.#isBegun(runner, held.model, name)) continue;
        mb += held.model.adapterMb;
        adapters += 1;
      }
    }
    return mb <= engine.engine.capacityMb && adapters <= engine.engine.adapterSlots;
  }

  #isBegun(runner: RunnerState, model: ModelState, adapter: string): boolean {
    for (const op of runner.queue)
      if (op.model === model && op.intent.adapter === adapter && op.intent.verb === 'load')
        return op.isAccepted;
    return false;
  }

  /** With the count an order is done at most once and in its turn, however late it arrives. */
  #orderOf(runner: RunnerState, op: Order): Intent {
    return runner.count === undefined ? op.intent : { ...op.intent, count: runner.count };
  }

  /** What became of an order that was given; anything else is ignored. */
  ordered(now: Moment, intentId: string, outcome: OrderOutcome): void {
    const runner = this.#state.runnerOfOrder.get(intentId);
    const op = runner?.given;
    if (!runner || !op || op.intent.id !== intentId) return;
    runner.given = undefined;
    op.isSent = false;
    runner.idleSince = now;
    if (outcome === 'unsure' || outcome === 'unsent') {
      this.#failed(now, runner, op, outcome === 'unsure');
      return;
    }
    runner.failures = 0;
    runner.suspectUntil = -Infinity;
    op.failures = 0;
    if (outcome === 'refused') {
      this.#refused(now, runner, op);
      return;
    }
    if (outcome === 'busy') {
      this.#stillBusy(now, runner, op);
      return;
    }
    // Whatever stood before it in line has ended, for one order is done at a time.
    while (runner.queue[0] && runner.queue[0] !== op) this.#done(now, runner, runner.queue[0]);
    if (outcome === 'held') {
      // Whether a runner counts an order that it need not do is not told: a later report shows it.
      runner.loadedModels += 1;
      if (runner.count !== undefined && this.#state.countsLoadedModels) runner.count += 1;
      this.#done(now, runner, op);
      return;
    }
    // The same order again while it is being done is no new one: it is neither begun anew nor counted.
    if (op.isAccepted) {
      this.#stillBusy(now, runner, op);
      return;
    }
    if (runner.count !== undefined) runner.count += 1;
    if (runner.isUnloadingRuns) {
      runner.isUnloadingRuns = false;
      const { service } = op.model;
      service.unloadMs = Math.min(2000, service.unloadMs * 0.7 + (now - runner.unloadedAt) * 0.3);
    }
    runner.unloadedAt = -Infinity;
    this.#taken(now, runner, op);
  }

  #taken(now: Moment, runner: RunnerState, op: Order): void {
    if (op.isStore) op.model.service.window.add(now);
    op.isAccepted = true;
    op.takenAt = now;
    op.busyReplies = 0;
    // Nothing else is taken before an unload has ended, so it need not be confirmed.
    if (op.intent.verb === 'unload') {
      this.#unloading(now, runner, op);
      return;
    }
    op.expectedMs = this.#store.expectedMs(op);
    op.due = now + op.expectedMs;
    this.#state.isFleetStale = true;
  }

  /** Its room is another's from now on, but no order is taken before the model's runs have ended. */
  #unloading(now: Moment, runner: RunnerState, op: Order): void {
    const { model } = op;
    const running =
      op.intent.adapter === ''
        ? model.running
        : (model.adapters.get(op.intent.adapter)?.running ?? 0);
    runner.unloadedAt = now;
    runner.isUnloadingRuns = running > 0;
    this.#done(now, runner, op);
    const next = runner.queue[0];
    if (next) next.due = now + (runner.isUnloadingRuns ? model.service.unloadMs : 5);
  }

  /** Something is under way there, or the count differs: expected after an order of ours, else its report has to tell. */
  #stillBusy(now: Moment, runner: RunnerState, op: Order): void {
    const head = runner.queue[0] ?? op;
    head.busyReplies += 1;
    if (head.isAccepted) {
      const isAdapter = head.intent.adapter !== '';
      head.due =
        now +
        (isAdapter
          ? Math.min(100, 10 + head.busyReplies * 5)
          : Math.min(250, 50 + head.busyReplies * 10));
      this.#state.isFleetStale = true;
      if (now - head.takenAt > head.expectedMs * 4 + 2000) this.#abandon(now, runner);
      return;
    }
    // An unload waits for the model's runs, and they may take seconds.
    head.due = now + Math.min(250, 30 + head.busyReplies * 15);
    if (now - runner.unloadedAt > this.#state.settings.unloadMs) this.#abandon(now, runner);
  }

  #failed(now: Moment, runner: RunnerState, op: Order, mayHaveRun: boolean): void {
    op.failures += 1;
    runner.failures += 1;
    runner.suspectUntil = now + Math.min(3000, 200 * runner.failures ** 2);
    const head = runner.queue[0] ?? op;
    head.due = now + Math.min(1000, 100 * 2 ** Math.min(4, op.failures - 1));
    this.#state.isFleetStale = true;
    this.#state.touchAll(runner);
    if (mayHaveRun) runner.hasUnansweredOrder = true;
    if (mayHaveRun && (!op.isAccepted || this.#state.countsLoadedModels)) {
      // It may come to pass at any time: nothing is ordered there before a report tells, and what is ordered then
      // carries the count of that report, so that the lost one is turned away should it arrive after it.
      if (op.isStore && !op.isAccepted) op.model.service.window.add(now);
      this.#abandon(now, runner);
      // Nor is it told as held what may be on its way out.
      if (op.intent.verb === 'unload')
        this.#mark(now, runner, 'unload', op.model, op.intent.adapter);
      return;
    }
    // A question that was lost is asked again, but not for ever.
    if (op.isAccepted && op.failures >= 3) this.#abandon(now, runner);
    // Whoever waits for it is better served elsewhere.
    else this.dropUnsent(runner);
  }

  #refused(now: Moment, runner: RunnerState, op: Order): void {
    const adapter = op.model.adapters.get(op.intent.adapter);
    // It may be no such thing at all, or not at that runner: its report tells, and nothing is tried again at once.
    if (adapter) adapter.badUntil = now + 1000;
    else if (op.intent.adapter === '') op.model.badUntil = now + 1000;
    this.#abandon(now, runner);
  }

  /** Gives up what is in line there, and asks what the runner holds. */
  #abandon(now: Moment, runner: RunnerState): void {
    for (const op of [...runner.queue]) this.#undo(now, runner, op);
    this.#state.suspect(now, runner);
  }

  /** Takes back what was decided and never sent. */
  dropUnsent(runner: RunnerState): void {
    for (let index = runner.queue.length - 1; index >= 0; index -= 1) {
      const op = runner.queue[index];
      if (!op || op.isAccepted || op.isSent) break;
      this.#undo(runner.idleSince, runner, op);
    }
  }

  #undo(now: number, runner: RunnerState, op: Order): void {
    const held = runner.holds.get(op.model.name);
    this.#state.removeOp(runner, op);
    if (!held) return;
    const { verb, adapter: name } = op.intent;
    if (name !== '') {
      const adapter = held.adapters.get(name);
      if (verb === 'load' && adapter?.phase === 'coming') held.adapters.delete(name);
      else if (adapter && verb === 'unload') {
        adapter.phase = 'ready';
        adapter.since = now;
      }
    } else if (verb === 'load') {
      if (held.phase === 'coming') this.#state.unhold(runner, held);
    } else {
      held.phase = 'ready';
      held.since = now;
    }
    this.#state.touch(runner, op.model);
  }

  /** The order is done: the runner holds the unit, or holds it no more. */
  #done(now: Moment, runner: RunnerState, op: Order): void {
    const { verb, adapter: name } = op.intent;
    const held = runner.holds.get(op.model.name);
    if (verb === 'load') this.#learn(now, op);
    this.#state.removeOp(runner, op);
    if (verb === 'unload') {
      if (held && name === '') this.#state.unhold(runner, held);
      else held?.adapters.delete(name);
    } else if (held && name === '') {
      held.phase = 'ready';
      held.since = now;
      runner.disk.add(op.model.name);
      op.model.unservedSince = undefined;
    } else held?.adapters.set(name, { phase: 'ready', since: now, suspectedUntil: -Infinity });
    this.#state.touch(runner, op.model);
  }

  /** How long loads take, from what was taken to what is held. */
  #learn(now: Moment, op: Order): void {
    if (!op.isAccepted || op.expectedMs <= 0) return;
    const service = op.model.service;
    const took = now - op.takenAt;
    const ratio = op.busyReplies === 0 ? firstAnswerRatio(op) : Math.min(3, took / op.expectedMs);
    if (op.intent.adapter !== '')
      service.adapterMs = Math.min(500, Math.max(5, service.adapterMs * (0.8 + 0.2 * ratio)));
    else if (op.isStore)
      service.storeFactor = Math.min(4, Math.max(0.2, service.storeFactor * (0.7 + 0.3 * ratio)));
    else service.diskFactor = Math.min(4, Math.max(0.1, service.diskFactor * (0.7 + 0.3 * ratio)));
  }

  /** Decides on an order: writes its intent into the document, and counts on what it will bring. */
  intend(
    now: Moment,
    runner: RunnerState,
    verb: Intent['verb'],
    model: ModelState,
    adapter: string,
  ): void {
    this.#number += 1;
    const size = adapter === '' ? model.sizeMb : model.adapterMb;
    const intent: Intent = {
      id: `${this.#label}.${this.#number}`,
      runner: runner.id,
      boot: '',
      verb,
      model: model.name,
      adapter,
      size,
    };
    const isStore = verb === 'load' && adapter === '' && !runner.disk.has(model.name);
    const op: Order = {
      intent,
      key: model.key,
      model,
      isStore,
      isPersisted: false,
      isSent: false,
      isAccepted: false,
      due: now,
      takenAt: 0,
      expectedMs: 0,
      busyReplies: 0,
      failures: 0,
    };
    if (isStore) model.service.storeOps += 1;
    op.expectedMs = verb === 'load' ? this.#store.expectedMs(op) : 0;
    runner.queue.push(op);
    this.#state.busy.add(runner);
    this.#state.runnerOfOrder.set(intent.id, runner);
    const doc = this.#state.docs.get(model.key) ?? noDoc(model.key);
    this.#state.put({ ...doc, intents: [...doc.intents, intent] });
    this.#mark(now, runner, verb, model, adapter);
  }

  #mark(
    now: Moment,
    runner: RunnerState,
    verb: Intent['verb'],
    model: ModelState,
    adapter: string,
  ): void {
    let held = runner.holds.get(model.name);
    if (verb === 'load' && adapter === '') {
      held = { model, phase: 'coming', since: now, adapters: new Map(), suspectedUntil: -Infinity };
      runner.holds.set(model.name, held);
      model.holders.set(runner, held);
    } else if (held && adapter === '') held.phase = 'unloading';
    else
      held?.adapters.set(adapter, {
        phase: verb === 'load' ? 'coming' : 'unloading',
        since: now,
        suspectedUntil: -Infinity,
      });
    this.#state.touch(runner, model);
  }
}

/**
 * By how much the guess goes down where a load was done at the first question: it may have been done long before. Loads
 * from the store take what the configuration says; how fast a runner's disk is has to be found out.
 */
function firstAnswerRatio(op: Order): number {
  return op.isStore || op.intent.adapter !== '' ? 0.98 : 0.8;
}
