import type { Moment } from '../common/ids.js';
import type { CapacityTable } from './capacity-table.js';
import type { RunnerView } from './placer-types.js';
import type { Hold, Intent, ServiceDoc } from './shapes.js';

/** What this leader knows of an intent. */
interface IntentState {
  readonly firstSeenAt: Moment;
  acceptedAt: Moment | undefined;
}

/** The operation that an intent requests from a runner. */
export interface IntentOrder {
  readonly verb: Intent['verb'];
  readonly model: string;
  readonly adapter: string;
  readonly size: number;
}

/** Weight of the newest fetch in the moving average of fetch times. */
const NEWEST_FETCH_WEIGHT = 0.2;

/** The models' documents with their open intents, and the progress of these. */
export class IntentLog {
  readonly #docs = new Map<string, ServiceDoc>();
  readonly #intents = new Map<string, IntentState>();
  readonly #rejectedIntents = new Set<string>();
  #idPrefix: string;
  #intentCount = 0;
  #fetchMsPerSizeUnit = 0;
  #changedModels = new Set<string>();

  /** `label`: the prefix of the ids of all intents created here, unique to this leader. */
  constructor(label: string) {
    this.#idPrefix = label;
  }

  /** Replaces the contents with the stored documents, as a new leader does. */
  restore(docs: readonly ServiceDoc[], label: string): void {
    this.#docs.clear();
    this.#intents.clear();
    this.#rejectedIntents.clear();
    this.#idPrefix = label;
    for (const doc of docs) this.#docs.set(doc.model, doc);
  }

  /** The documents of all models. */
  docs(): readonly ServiceDoc[] {
    return [...this.#docs.values()];
  }

  /** The document of a model; an empty one if there is none yet. */
  doc(model: string): ServiceDoc {
    return this.#docs.get(model) ?? emptyDoc(model);
  }

  /** Replaces a document and marks it as changed. */
  put(doc: ServiceDoc): void {
    this.#docs.set(doc.model, doc);
    this.#changedModels.add(doc.model);
  }

  /** Returns the models whose documents changed since the previous call. */
  takeChanged(): readonly string[] {
    const changed = [...this.#changedModels];
    this.#changedModels = new Set();
    return changed;
  }

  /** The runner accepted the order: a report requested later shows its outcome. */
  onAccepted(now: Moment, intent: string): void {
    const state = this.#intents.get(intent);
    if (state && state.acceptedAt === undefined) state.acceptedAt = now;
  }

  /** The runner rejected the order permanently. */
  onRejected(intent: string): void {
    this.#rejectedIntents.add(intent);
  }

  /** The expected duration of a fetch of this size, ms, from the fetches seen so far; 0 before the first. */
  fetchMs(size: number): number {
    return size * this.#fetchMsPerSizeUnit;
  }

  /** Removes the intents that are completed, rejected or no longer possible according to the reports. */
  reconcile(now: Moment, views: ReadonlyMap<string, RunnerView>): void {
    const present = new Set<string>();
    for (const doc of this.#docs.values()) {
      const open: Intent[] = [];
      for (const intent of doc.intents) {
        const state = this.#intents.get(intent.id) ?? { firstSeenAt: now, acceptedAt: undefined };
        this.#intents.set(intent.id, state);
        if (this.#isFinished(intent, state, views.get(intent.runner))) {
          this.#recordFetchDuration(now, intent, state, views.get(intent.runner));
          this.#rejectedIntents.delete(intent.id);
          continue;
        }
        open.push(intent);
        present.add(intent.id);
      }
      if (open.length !== doc.intents.length) this.put({ ...doc, intents: open });
    }
    for (const id of this.#intents.keys()) if (!present.has(id)) this.#intents.delete(id);
  }

  /** Updates the mean fetch time per size, from which waiting clients get a retry time. */
  #recordFetchDuration(
    now: Moment,
    intent: Intent,
    state: IntentState,
    view: RunnerView | undefined,
  ): void {
    const isHeld = view?.report?.holds.some((hold) => matchesIntent(intent, hold)) === true;
    if (intent.verb !== 'load' || !isHeld || state.acceptedAt === undefined || intent.size <= 0)
      return;
    const msPerSizeUnit = (now - state.acceptedAt) / intent.size;
    this.#fetchMsPerSizeUnit =
      this.#fetchMsPerSizeUnit === 0
        ? msPerSizeUnit
        : this.#fetchMsPerSizeUnit * (1 - NEWEST_FETCH_WEIGHT) +
          msPerSizeUnit * NEWEST_FETCH_WEIGHT;
  }

  #isFinished(intent: Intent, state: IntentState, view: RunnerView | undefined): boolean {
    // A machine missing from the platform's list is gone with everything it held.
    if (!view) return true;
    if (this.#rejectedIntents.has(intent.id)) return true;
    const report = view.report;
    if (!report || view.requestedAt < state.firstSeenAt) return false;
    if (report.boot !== intent.boot) return true;
    const hold = report.holds.find((hold) => matchesIntent(intent, hold));
    if (intent.verb === 'load') {
      if (hold) return hold.state === 'ready';
      // Accepted, and neither loaded nor loading in a later report: the load failed.
      return state.acceptedAt !== undefined && view.requestedAt > state.acceptedAt;
    }
    return hold === undefined;
  }

  /** Creates an intent for a load or an unload, and reserves its capacity in the current plan. */
  createIntent(now: Moment, view: RunnerView, order: IntentOrder, capacity: CapacityTable): void {
    this.#intentCount += 1;
    const id = `${this.#idPrefix}.${this.#intentCount}`;
    const intent: Intent = {
      id,
      runner: view.machine.id,
      boot: view.report?.boot ?? '',
      ...order,
    };
    const doc = this.doc(order.model);
    this.put({ ...doc, intents: [...doc.intents, intent] });
    this.#intents.set(id, { firstSeenAt: now, acceptedAt: undefined });
    capacity.reserve(intent);
  }
}

function emptyDoc(model: string): ServiceDoc {
  return { model, primary: '', understudy: '', wait: '', intents: [] };
}

/** Whether `hold` is the model or adapter that the intent names. */
export function matchesIntent(intent: Intent, hold: Hold): boolean {
  return hold.model === intent.model && hold.adapter === intent.adapter;
}
