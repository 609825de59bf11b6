import type { PlacementState } from './placement-state.js';
import { compareStrings, emptyDoc, type ModelState } from './planner-records.js';
import type { ServiceDoc } from './shapes.js';

/**
 * Records in the documents which runners serve a model: the primary, the understudy in another zone, and all others.
 */
export class PlacementRecorder {
  readonly #state: PlacementState;

  constructor(state: PlacementState) {
    this.#state = state;
  }

  /**
   * Marks all models with a document for recording: an earlier leader's documents may name runners that lost the model.
   */
  recordAll(): void {
    if (!this.#state.hasRunnerList || !this.#state.routing) return;
    this.#state.isRecordingAll = false;
    for (const service of this.#state.services.values())
      for (const model of service.models.values())
        if (this.#state.docs.has(model.key)) this.#state.modelsToRecord.add(model);
  }

  /** Updates a model's document. Primary and understudy stay while they serve; `seats` lists the other holders. */
  record(model: ModelState): void {
    const doc = this.#state.docs.get(model.key) ?? emptyDoc(model.key);
    const { ready, all } = this.#holdersOf(model);
    const primary = primaryOf(doc, ready, all);
    const understudy = this.#understudyOf(doc, primary, all);
    const otherHolders: string[] = [];
    for (const id of all.sort(compareStrings))
      if (id !== primary && id !== understudy) otherHolders.push(id);
    const wait = all.length > 0 || model.unservedSince === undefined ? '' : doc.wait;
    const next: ServiceDoc = { ...doc, primary, understudy, seats: otherHolders, wait };
    if (!isSamePlacement(doc, next)) this.#state.put(next);
  }

  /** The runners where the model is ready, and those where it is ready or being loaded, ready ones first. */
  #holdersOf(model: ModelState): { readonly ready: string[]; readonly all: string[] } {
    const ready: string[] = [];
    const coming: string[] = [];
    for (const [runner, loadedModel] of model.holders) {
      if (loadedModel.phase === 'unloading' || !this.#state.isInService(runner)) continue;
      (loadedModel.phase === 'ready' ? ready : coming).push(runner.id);
    }
    ready.sort(compareStrings);
    coming.sort(compareStrings);
    return { ready, all: [...ready, ...coming] };
  }

  /**
   * The present understudy while it is in another zone than the primary; else a holder in another zone, else any other.
   */
  #understudyOf(doc: ServiceDoc, primary: string, all: readonly string[]): string {
    const zone = this.#zoneOf(primary);
    const others = all.filter((other) => other !== primary);
    const inOtherZones: string[] = [];
    for (const id of others) if (this.#zoneOf(id) !== zone) inOtherZones.push(id);
    if (inOtherZones.includes(doc.understudy)) return doc.understudy;
    return inOtherZones[0] ?? others[0] ?? '';
  }

  #zoneOf(id: string): string | undefined {
    return this.#state.runners.get(id)?.listed.zone;
  }
}

/** The primary; a ready understudy takes over at once if the primary is gone. */
function primaryOf(doc: ServiceDoc, ready: readonly string[], all: readonly string[]): string {
  if (ready.includes(doc.primary)) return doc.primary;
  if (ready.includes(doc.understudy)) return doc.understudy;
  if (ready[0] !== undefined) return ready[0];
  return all.includes(doc.primary) ? doc.primary : (all[0] ?? '');
}

function isSamePlacement(old: ServiceDoc, next: ServiceDoc): boolean {
  return (
    old.primary === next.primary &&
    old.understudy === next.understudy &&
    old.wait === next.wait &&
    (old.seats ?? []).join('\n') === (next.seats ?? []).join('\n')
  );
}
