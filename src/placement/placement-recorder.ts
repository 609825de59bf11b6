import type { PlacementState } from './placement-state.js';
import { byText, noDoc, type ModelState } from './planner-records.js';
import type { ServiceDoc } from './shapes.js';

/** Writes down who serves a model: the primary, the understudy in another zone, and the further holders. */
export class PlacementRecorder {
  readonly #state: PlacementState;

  constructor(state: PlacementState) {
    this.#state = state;
  }

  /** What earlier documents say of models that nobody holds any more is out of date too. */
  recordAll(): void {
    if (!this.#state.hasListed || !this.#state.routing) return;
    this.#state.isRecordingAll = false;
    for (const service of this.#state.services.values())
      for (const model of service.models.values())
        if (this.#state.docs.has(model.key)) this.#state.touched.add(model);
  }

  /** The pair is kept as long as it serves; the rest of the holders are further seats. */
  record(model: ModelState): void {
    const doc = this.#state.docs.get(model.key) ?? noDoc(model.key);
    const { ready, all } = this.#holdersOf(model);
    const primary = primaryOf(doc, ready, all);
    const understudy = this.#understudyOf(doc, primary, all);
    const seats: string[] = [];
    for (const id of all.sort(byText)) if (id !== primary && id !== understudy) seats.push(id);
    const wait = all.length > 0 || model.unservedSince === undefined ? '' : doc.wait;
    const next: ServiceDoc = { ...doc, primary, understudy, seats, wait };
    if (!isSameSeating(doc, next)) this.#state.put(next);
  }

  /** Runners that hold it ready, and all that hold it or will, the ready ones first. */
  #holdersOf(model: ModelState): { readonly ready: string[]; readonly all: string[] } {
    const ready: string[] = [];
    const coming: string[] = [];
    for (const [runner, held] of model.holders) {
      if (held.phase === 'unloading' || !this.#state.isOpen(runner)) continue;
      (held.phase === 'ready' ? ready : coming).push(runner.id);
    }
    ready.sort(byText);
    coming.sort(byText);
    return { ready, all: [...ready, ...coming] };
  }

  /** The present one while it is in another zone than the primary; else another there, else any other. */
  #understudyOf(doc: ServiceDoc, primary: string, all: readonly string[]): string {
    const zone = this.#zoneOf(primary);
    const others = all.filter((other) => other !== primary);
    const elsewhere: string[] = [];
    for (const id of others) if (this.#zoneOf(id) !== zone) elsewhere.push(id);
    if (elsewhere.includes(doc.understudy)) return doc.understudy;
    return elsewhere[0] ?? others[0] ?? '';
  }

  #zoneOf(id: string): string | undefined {
    return this.#state.runners.get(id)?.listed.zone;
  }
}

/** A ready understudy takes over at once from a primary that is gone. */
function primaryOf(doc: ServiceDoc, ready: readonly string[], all: readonly string[]): string {
  if (ready.includes(doc.primary)) return doc.primary;
  if (ready.includes(doc.understudy)) return doc.understudy;
  if (ready[0] !== undefined) return ready[0];
  return all.includes(doc.primary) ? doc.primary : (all[0] ?? '');
}

function isSameSeating(old: ServiceDoc, next: ServiceDoc): boolean {
  return (
    old.primary === next.primary &&
    old.understudy === next.understudy &&
    old.wait === next.wait &&
    (old.seats ?? []).join('\n') === (next.seats ?? []).join('\n')
  );
}
