import type { PlacementState } from './PlacementState.js';
import { type ModelState, byText, noDoc } from './PlannerRecords.js';

/** Writes down who serves a model: the primary, the understudy in another zone, and the further holders. */
export class Seats {
  readonly #state: PlacementState;

  constructor(state: PlacementState) {
    this.#state = state;
  }

  /** What earlier documents say of models that nobody holds any more is out of date too. */
  seatAll(): void {
    if (!this.#state.hasListed || !this.#state.routing) return;
    this.#state.isSeatingAll = false;
    for (const service of this.#state.services.values())
      for (const model of service.models.values())
        if (this.#state.docs.has(model.key)) this.#state.touched.add(model);
  }

  /** The pair is kept as long as it serves; the rest of the holders are further seats. */
  seat(model: ModelState): void {
    const doc = this.#state.docs.get(model.key) ?? noDoc(model.key);
    const ready: string[] = [];
    const coming: string[] = [];
    for (const [runner, held] of model.holders) {
      if (held.phase === 'unloading' || !this.#state.isOpen(runner)) continue;
      (held.phase === 'ready' ? ready : coming).push(runner.id);
    }
    ready.sort(byText);
    coming.sort(byText);
    const all = [...ready, ...coming];
    // A ready understudy takes over at once from a primary that is gone.
    const isReady = ready.includes(doc.primary);
    const primary = isReady
      ? doc.primary
      : ready.includes(doc.understudy)
        ? doc.understudy
        : (ready[0] ?? (all.includes(doc.primary) ? doc.primary : (all[0] ?? '')));
    const zone = this.#state.runners.get(primary)?.listed.zone;
    let understudy = '';
    if (
      all.includes(doc.understudy) &&
      doc.understudy !== primary &&
      this.#state.runners.get(doc.understudy)?.listed.zone !== zone
    )
      understudy = doc.understudy;
    for (const id of all)
      if (understudy === '' && id !== primary && this.#state.runners.get(id)?.listed.zone !== zone)
        understudy = id;
    for (const id of all) if (understudy === '' && id !== primary) understudy = id;
    const seats: string[] = [];
    for (const id of all.sort(byText)) if (id !== primary && id !== understudy) seats.push(id);
    const old = doc.seats ?? [];
    const wait = all.length > 0 || model.deprivedSince === undefined ? '' : doc.wait;
    if (
      doc.primary === primary &&
      doc.understudy === understudy &&
      doc.wait === wait &&
      old.join('\n') === seats.join('\n')
    )
      return;
    this.#state.put({ ...doc, primary, understudy, seats, wait });
  }
}
