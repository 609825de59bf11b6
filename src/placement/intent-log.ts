import type { Moment } from '../common/ids.js';
import type { CapacityTable } from './capacity-table.js';
import type { RunnerView } from './placer-types.js';
import type { Hold, Intent, ServiceDoc } from './shapes.js';

/** A decided intent, as known to this leader. */
interface IntentState {
  readonly firstSeen: Moment;
  takenAt: Moment | undefined;
}

/** What an intent is to do at a runner. */
export interface IntentOrder {
  readonly verb: Intent['verb'];
  readonly model: string;
  readonly adapter: string;
  readonly size: number;
}

/** Weight of the newest fetch in the mean. */
const MEAN_WEIGHT = 0.2;

/** The services' documents with their intents, and what became of these. */
export class IntentLog {
  readonly #docs = new Map<string, ServiceDoc>();
  readonly #intents = new Map<string, IntentState>();
  readonly #refused = new Set<string>();
  #label: string;
  #count = 0;
  #msPerSize = 0;
  #changed = new Set<string>();

  /** `label` begins the ids of all intents decided here; no other leader has the same. */
  constructor(label: string) {
    this.#label = label;
  }

  /** Begins anew from what the parts hold, as a new leader does. */
  restore(docs: readonly ServiceDoc[], label: string): void {
    this.#docs.clear();
    this.#intents.clear();
    this.#refused.clear();
    this.#label = label;
    for (const doc of docs) this.#docs.set(doc.model, doc);
  }

  docs(): readonly ServiceDoc[] {
    return [...this.#docs.values()];
  }

  /** The document of a model; an empty one where there is none yet. */
  doc(model: string): ServiceDoc {
    return this.#docs.get(model) ?? emptyDoc(model);
  }

  put(doc: ServiceDoc): void {
    this.#docs.set(doc.model, doc);
    this.#changed.add(doc.model);
  }

  /** Hands over the models whose documents changed since last asked. */
  takeChanged(): readonly string[] {
    const changed = [...this.#changed];
    this.#changed = new Set();
    return changed;
  }

  /** The runner took the order: a report asked for after this shows what became of it. */
  onAccepted(now: Moment, intent: string): void {
    const state = this.#intents.get(intent);
    if (state && state.takenAt === undefined) state.takenAt = now;
  }

  /** The runner said it will not do this, now or later. */
  onRejected(intent: string): void {
    this.#refused.add(intent);
  }

  /** How long a fetch of this size takes, by those seen so far, ms; 0 before the first. */
  fetchMs(size: number): number {
    return size * this.#msPerSize;
  }

  /** Drops the intents that reports show as done, or as never to be done. */
  reconcile(now: Moment, views: ReadonlyMap<string, RunnerView>): void {
    const present = new Set<string>();
    for (const doc of this.#docs.values()) {
      const open: Intent[] = [];
      for (const intent of doc.intents) {
        const state = this.#intents.get(intent.id) ?? { firstSeen: now, takenAt: undefined };
        this.#intents.set(intent.id, state);
        if (this.#isOver(intent, state, views.get(intent.runner))) {
          this.#noteFetch(now, intent, state, views.get(intent.runner));
          this.#refused.delete(intent.id);
          continue;
        }
        open.push(intent);
        present.add(intent.id);
      }
      if (open.length !== doc.intents.length) this.put({ ...doc, intents: open });
    }
    for (const id of this.#intents.keys()) if (!present.has(id)) this.#intents.delete(id);
  }

  /** How long fetches take, by size, so that whoever waits can be told when to come back. */
  #noteFetch(now: Moment, intent: Intent, state: IntentState, view: RunnerView | undefined): void {
    const isHeld = view?.report?.holds.some((hold) => isThat(intent, hold)) === true;
    if (intent.verb !== 'load' || !isHeld || state.takenAt === undefined || intent.size <= 0)
      return;
    const one = (now - state.takenAt) / intent.size;
    this.#msPerSize =
      this.#msPerSize === 0 ? one : this.#msPerSize * (1 - MEAN_WEIGHT) + one * MEAN_WEIGHT;
  }

  #isOver(intent: Intent, state: IntentState, view: RunnerView | undefined): boolean {
    // A machine off the platform's list is gone with all it held.
    if (!view) return true;
    if (this.#refused.has(intent.id)) return true;
    const report = view.report;
    if (!report || view.requestedAt < state.firstSeen) return false;
    if (report.boot !== intent.boot) return true;
    const hold = report.holds.find((hold) => isThat(intent, hold));
    if (intent.verb === 'load') {
      if (hold) return hold.state === 'ready';
      // Taken, and neither held nor under way in a later report: it ended without a hold.
      return state.takenAt !== undefined && view.requestedAt > state.takenAt;
    }
    return hold === undefined;
  }

  /** Decides on a load or an unload, and counts it in the plan's ledger. */
  intend(now: Moment, view: RunnerView, order: IntentOrder, ledger: CapacityTable): void {
    this.#count += 1;
    const id = `${this.#label}.${this.#count}`;
    const intent: Intent = {
      id,
      runner: view.machine.id,
      boot: view.report?.boot ?? '',
      ...order,
    };
    const doc = this.doc(order.model);
    this.put({ ...doc, intents: [...doc.intents, intent] });
    this.#intents.set(id, { firstSeen: now, takenAt: undefined });
    ledger.reserve(intent);
  }
}

function emptyDoc(model: string): ServiceDoc {
  return { model, primary: '', understudy: '', wait: '', intents: [] };
}

/** Whether a hold is of what an intent names. */
export function isThat(intent: Intent, hold: Hold): boolean {
  return hold.model === intent.model && hold.adapter === intent.adapter;
}
