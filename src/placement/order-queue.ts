import type { PlacementState } from './placement-state.js';
import type { StoreRateLimit } from './store-rate-limit.js';
import type { Moment } from '../common/ids.js';
import type { Intent } from './shapes.js';
import type { OrderOutcome } from './planner-settings.js';
import { type Order, type RunnerState, type ModelState, emptyDoc } from './planner-records.js';

/**
 * The orders to runners, from the decision to the outcome. Every order is written as an intent into a document first,
 * and sent once the document is stored by a majority; each runner executes one order at a time.
 */
export class OrderQueue {
  readonly #state: PlacementState;
  readonly #storeRateLimit: StoreRateLimit;
  #idPrefix = '';
  #intentCount = 0;

  constructor(state: PlacementState, store: StoreRateLimit) {
    this.#state = state;
    this.#storeRateLimit = store;
  }

  /** Starts a term as leader; the ids of its intents begin with `label`. */
  startTerm(label: string): void {
    this.#idPrefix = label;
    this.#intentCount = 0;
  }

  /** These intents are stored by a majority: their orders may be sent. */
  markPersisted(intentIds: Iterable<string>): void {
    for (const id of intentIds) {
      for (const order of this.#state.runnerByIntent.get(id)?.queue ?? [])
        if (order.intent.id === id) order.isPersisted = true;
    }
  }

  /** Stored intents that are due, marked as sent; each is returned again only after its outcome was reported. */
  takeDueOrders(now: Moment): readonly Intent[] {
    const intents: Intent[] = [];
    for (const runner of this.#state.runnersWithOrders) {
      const order = this.#dueOrder(now, runner);
      if (!order) continue;
      order.isSent = true;
      runner.sentOrder = order;
      intents.push(this.#withOrderCount(runner, order));
    }
    return intents;
  }

  #dueOrder(now: Moment, runner: RunnerState): Order | undefined {
    const first = runner.queue[0];
    if (runner.sentOrder || !first || first.dueAt > now) return undefined;
    if (!first.isAccepted) return this.#mayStart(now, runner, first) ? first : undefined;
    // A runner accepts the next order only after the previous one ended: sending it needs no separate completion query.
    const next = runner.queue[1];
    return next && this.#mayStart(now, runner, next) ? next : runner.queue[0];
  }

  #mayStart(now: Moment, runner: RunnerState, order: Order): boolean {
    if (!order.isPersisted || !this.#state.isInService(runner)) return false;
    if (order.intent.verb === 'load' && !this.#fits(runner, order)) {
      this.#abandonOrders(now, runner);
      return false;
    }
    if (!order.isStoreLoad) return true;
    const freeAt = order.model.service.storeLoadWindow.freeAt(
      now,
      this.#storeRateLimit.windowBudget(order.model.service),
    );
    if (freeAt > now) order.dueAt = freeAt;
    return freeAt <= now;
  }

  /** Whether a load fits beside everything the runner may hold once all earlier orders in its queue have ended. */
  #fits(runner: RunnerState, order: Order): boolean {
    const engine = runner.serviceState;
    if (!engine) return false;
    let usedMb = order.intent.size;
    let usedAdapterSlots = order.intent.adapter === '' ? 0 : 1;
    for (const loadedModel of runner.holds.values()) {
      if (loadedModel.phase !== 'coming' || this.#isLoadAccepted(runner, loadedModel.model, ''))
        usedMb += loadedModel.model.sizeMb;
      for (const [name, adapter] of loadedModel.adapters) {
        if (adapter.phase === 'coming' && !this.#isLoadAccepted(runner, loadedModel.model, name))
          continue;
        usedMb += loadedModel.model.adapterMb;
        usedAdapterSlots += 1;
      }
    }
    return usedMb <= engine.engine.capacityMb && usedAdapterSlots <= engine.engine.adapterSlots;
  }

  #isLoadAccepted(runner: RunnerState, model: ModelState, adapter: string): boolean {
    for (const order of runner.queue)
      if (order.model === model && order.intent.adapter === adapter && order.intent.verb === 'load')
        return order.isAccepted;
    return false;
  }

  /** Adds the runner's order count: the order executes at most once and in sequence, however late it arrives. */
  #withOrderCount(runner: RunnerState, order: Order): Intent {
    return runner.orderCount === undefined
      ? order.intent
      : { ...order.intent, count: runner.orderCount };
  }

  /** The outcome of a sent order; outcomes of any other intent are ignored. */
  onOrderOutcome(now: Moment, intentId: string, outcome: OrderOutcome): void {
    const runner = this.#state.runnerByIntent.get(intentId);
    const order = runner?.sentOrder;
    if (!runner || !order || order.intent.id !== intentId) return;
    runner.sentOrder = undefined;
    order.isSent = false;
    runner.idleSince = now;
    if (outcome === 'unsure' || outcome === 'unsent') {
      this.#onFailed(now, runner, order, outcome === 'unsure');
      return;
    }
    runner.failures = 0;
    runner.suspectUntil = -Infinity;
    order.failures = 0;
    if (outcome === 'refused') {
      this.#onRefused(now, runner, order);
      return;
    }
    if (outcome === 'busy') {
      this.#onBusy(now, runner, order);
      return;
    }
    // Orders before it in the queue have ended, since a runner executes one order at a time.
    while (runner.queue[0] && runner.queue[0] !== order)
      this.#completeOrder(now, runner, runner.queue[0]);
    if (outcome === 'held') {
      // The reply does not say whether the runner counts an order without effect: a later report shows it.
      runner.noopOrderCount += 1;
      if (runner.orderCount !== undefined && this.#state.countsNoopOrders) runner.orderCount += 1;
      this.#completeOrder(now, runner, order);
      return;
    }
    // Repeating an order while it runs neither restarts nor counts it.
    if (order.isAccepted) {
      this.#onBusy(now, runner, order);
      return;
    }
    if (runner.orderCount !== undefined) runner.orderCount += 1;
    if (runner.isUnloadDraining) {
      runner.isUnloadDraining = false;
      const { service } = order.model;
      service.drainMs = Math.min(2000, service.drainMs * 0.7 + (now - runner.unloadedAt) * 0.3);
    }
    runner.unloadedAt = -Infinity;
    this.#onAccepted(now, runner, order);
  }

  #onAccepted(now: Moment, runner: RunnerState, order: Order): void {
    if (order.isStoreLoad) order.model.service.storeLoadWindow.add(now);
    order.isAccepted = true;
    order.acceptedAt = now;
    order.busyReplies = 0;
    // The runner accepts no other order before an unload has ended, so its end need not be confirmed.
    if (order.intent.verb === 'unload') {
      this.#onUnloadAccepted(now, runner, order);
      return;
    }
    order.expectedMs = this.#storeRateLimit.expectedMs(order);
    order.dueAt = now + order.expectedMs;
    this.#state.isFleetStale = true;
  }

  /**
   * Its memory counts as free from now on, but the runner accepts no order until the model's running requests have
   * ended.
   */
  #onUnloadAccepted(now: Moment, runner: RunnerState, order: Order): void {
    const { model } = order;
    const running =
      order.intent.adapter === ''
        ? model.running
        : (model.adapters.get(order.intent.adapter)?.running ?? 0);
    runner.unloadedAt = now;
    runner.isUnloadDraining = running > 0;
    this.#completeOrder(now, runner, order);
    const next = runner.queue[0];
    if (next) next.dueAt = now + (runner.isUnloadDraining ? model.service.drainMs : 5);
  }

  /**
   * The runner is executing an order, or its order count differs. Expected after an order sent from here; otherwise,
   * the runner's report is needed.
   */
  #onBusy(now: Moment, runner: RunnerState, order: Order): void {
    const first = runner.queue[0] ?? order;
    first.busyReplies += 1;
    if (first.isAccepted) {
      const isAdapter = first.intent.adapter !== '';
      first.dueAt =
        now +
        (isAdapter
          ? Math.min(100, 10 + first.busyReplies * 5)
          : Math.min(250, 50 + first.busyReplies * 10));
      this.#state.isFleetStale = true;
      if (now - first.acceptedAt > first.expectedMs * 4 + 2000) this.#abandonOrders(now, runner);
      return;
    }
    // An unload waits for the model's running requests, which may take seconds.
    first.dueAt = now + Math.min(250, 30 + first.busyReplies * 15);
    if (now - runner.unloadedAt > this.#state.settings.unloadMs) this.#abandonOrders(now, runner);
  }

  #onFailed(now: Moment, runner: RunnerState, order: Order, mayHaveArrived: boolean): void {
    order.failures += 1;
    runner.failures += 1;
    runner.suspectUntil = now + Math.min(3000, 200 * runner.failures ** 2);
    const first = runner.queue[0] ?? order;
    first.dueAt = now + Math.min(1000, 100 * 2 ** Math.min(4, order.failures - 1));
    this.#state.isFleetStale = true;
    this.#state.onRunnerAvailabilityChanged(runner);
    if (mayHaveArrived) runner.hasUnansweredOrder = true;
    if (mayHaveArrived && (!order.isAccepted || this.#state.countsNoopOrders)) {
      // The order may still be executed at any time: nothing is ordered there before a report has come. Later orders
      // carry that report's order count, so that the lost one is rejected if it arrives after them.
      if (order.isStoreLoad && !order.isAccepted) order.model.service.storeLoadWindow.add(now);
      this.#abandonOrders(now, runner);
      // A model that may be unloading must not be published as loaded.
      if (order.intent.verb === 'unload')
        this.#markPhase(now, runner, 'unload', order.model, order.intent.adapter);
      return;
    }
    // A lost completion query is repeated, up to a limit.
    if (order.isAccepted && order.failures >= 3) this.#abandonOrders(now, runner);
    // Waiting requests are better served by another runner.
    else this.dropUnsentOrders(runner);
  }

  #onRefused(now: Moment, runner: RunnerState, order: Order): void {
    const adapter = order.model.adapters.get(order.intent.adapter);
    // It may not exist at all, or not at this runner: the report shows which, and nothing is retried at once.
    if (adapter) adapter.rejectedUntil = now + 1000;
    else if (order.intent.adapter === '') order.model.rejectedUntil = now + 1000;
    this.#abandonOrders(now, runner);
  }

  /** Abandons all queued orders of a runner, and requests its report. */
  #abandonOrders(now: Moment, runner: RunnerState): void {
    for (const order of [...runner.queue]) this.#revertOrder(now, runner, order);
    this.#state.requireReport(now, runner);
  }

  /** Reverts the orders at the end of the queue that were never sent. */
  dropUnsentOrders(runner: RunnerState): void {
    for (let index = runner.queue.length - 1; index >= 0; index -= 1) {
      const order = runner.queue[index];
      if (!order || order.isAccepted || order.isSent) break;
      this.#revertOrder(runner.idleSince, runner, order);
    }
  }

  #revertOrder(now: number, runner: RunnerState, order: Order): void {
    const loadedModel = runner.holds.get(order.model.name);
    this.#state.removeOrder(runner, order);
    if (!loadedModel) return;
    const { verb, adapter: name } = order.intent;
    if (name !== '') {
      const adapter = loadedModel.adapters.get(name);
      if (verb === 'load' && adapter?.phase === 'coming') loadedModel.adapters.delete(name);
      else if (adapter && verb === 'unload') {
        adapter.phase = 'ready';
        adapter.since = now;
      }
    } else if (verb === 'load') {
      if (loadedModel.phase === 'coming') this.#state.removeHold(runner, loadedModel);
    } else {
      loadedModel.phase = 'ready';
      loadedModel.since = now;
    }
    this.#state.onHoldChanged(runner, order.model);
  }

  /** The order completed: the runner now holds the model or adapter, or no longer does. */
  #completeOrder(now: Moment, runner: RunnerState, order: Order): void {
    const { verb, adapter: name } = order.intent;
    const loadedModel = runner.holds.get(order.model.name);
    if (verb === 'load') this.#updateLoadTimes(now, order);
    this.#state.removeOrder(runner, order);
    if (verb === 'unload') {
      if (loadedModel && name === '') this.#state.removeHold(runner, loadedModel);
      else loadedModel?.adapters.delete(name);
    } else if (loadedModel && name === '') {
      loadedModel.phase = 'ready';
      loadedModel.since = now;
      runner.modelsOnDisk.add(order.model.name);
      order.model.unservedSince = undefined;
    } else
      loadedModel?.adapters.set(name, { phase: 'ready', since: now, suspectedUntil: -Infinity });
    this.#state.onHoldChanged(runner, order.model);
  }

  /** Updates the load time estimates from the time between the acceptance and the completion of a load. */
  #updateLoadTimes(now: Moment, order: Order): void {
    if (!order.isAccepted || order.expectedMs <= 0) return;
    const service = order.model.service;
    const elapsedMs = now - order.acceptedAt;
    const ratio =
      order.busyReplies === 0 ? firstReplyRatio(order) : Math.min(3, elapsedMs / order.expectedMs);
    if (order.intent.adapter !== '')
      service.adapterLoadMs = Math.min(
        500,
        Math.max(5, service.adapterLoadMs * (0.8 + 0.2 * ratio)),
      );
    else if (order.isStoreLoad)
      service.storeFactor = Math.min(4, Math.max(0.2, service.storeFactor * (0.7 + 0.3 * ratio)));
    else service.diskFactor = Math.min(4, Math.max(0.1, service.diskFactor * (0.7 + 0.3 * ratio)));
  }

  /** Creates an order: writes its intent into the document, and accounts for its expected effect. */
  createIntent(
    now: Moment,
    runner: RunnerState,
    verb: Intent['verb'],
    model: ModelState,
    adapter: string,
  ): void {
    this.#intentCount += 1;
    const size = adapter === '' ? model.sizeMb : model.adapterMb;
    const intent: Intent = {
      id: `${this.#idPrefix}.${this.#intentCount}`,
      runner: runner.id,
      boot: '',
      verb,
      model: model.name,
      adapter,
      size,
    };
    const isStoreLoad = verb === 'load' && adapter === '' && !runner.modelsOnDisk.has(model.name);
    const order: Order = {
      intent,
      docKey: model.key,
      model,
      isStoreLoad,
      isPersisted: false,
      isSent: false,
      isAccepted: false,
      dueAt: now,
      acceptedAt: 0,
      expectedMs: 0,
      busyReplies: 0,
      failures: 0,
    };
    if (isStoreLoad) model.service.pendingStoreLoads += 1;
    order.expectedMs = verb === 'load' ? this.#storeRateLimit.expectedMs(order) : 0;
    runner.queue.push(order);
    this.#state.runnersWithOrders.add(runner);
    this.#state.runnerByIntent.set(intent.id, runner);
    const doc = this.#state.docs.get(model.key) ?? emptyDoc(model.key);
    this.#state.put({ ...doc, intents: [...doc.intents, intent] });
    this.#markPhase(now, runner, verb, model, adapter);
  }

  #markPhase(
    now: Moment,
    runner: RunnerState,
    verb: Intent['verb'],
    model: ModelState,
    adapter: string,
  ): void {
    let entry = runner.holds.get(model.name);
    if (verb === 'load' && adapter === '') {
      entry = {
        model,
        phase: 'coming',
        since: now,
        adapters: new Map(),
        suspectedUntil: -Infinity,
      };
      runner.holds.set(model.name, entry);
      model.holders.set(runner, entry);
    } else if (entry && adapter === '') entry.phase = 'unloading';
    else
      entry?.adapters.set(adapter, {
        phase: verb === 'load' ? 'coming' : 'unloading',
        since: now,
        suspectedUntil: -Infinity,
      });
    this.#state.onHoldChanged(runner, model);
  }
}

/**
 * The factor on the time estimate if a load was complete at the first query: it may have ended long before. Loads from
 * the store take about the configured time, so the step is small; the speed of a runner's disk has to be found out.
 */
function firstReplyRatio(order: Order): number {
  return order.isStoreLoad || order.intent.adapter !== '' ? 0.98 : 0.8;
}
