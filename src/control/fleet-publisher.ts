import type { Moment } from '../common/ids.js';
import type { Fleet, FleetDelta, FleetRunner } from '../placement/fleet.js';

/** Publishes the complete fleet as JSON, and as a delta to the previous count. */
export type PublishFleet = (count: number, body: string, delta: string) => void;

/** A published value: its text without durations, and the moments at which those durations end. */
interface PublishedValue {
  readonly text: string;
  readonly ends: readonly number[];
}

/** Key of the published values that belong to no runner; no runner has an empty id. */
const NO_RUNNER = '';
/** How far the end of a duration may move before it is published again. */
const END_TOLERANCE_MS = 300;

/** Publishes changes of the fleet. A duration that merely counts down is no change, since receivers count it down themselves. */
export class FleetPublisher {
  readonly #publish: PublishFleet;
  /** The values published last, by id of the runner. */
  readonly #published = new Map<string, PublishedValue>();
  #publishedFleet: Fleet | undefined;
  #count = 0;

  constructor(publish: PublishFleet) {
    this.#publish = publish;
  }

  /** Restarts the count at a new epoch of the leader; the next update publishes the complete fleet. */
  reset(): void {
    this.#published.clear();
    this.#publishedFleet = undefined;
    this.#count = 0;
  }

  /** Publishes the changes of the fleet, if there are any. */
  update(now: Moment, fleet: Fleet): void {
    // Comparing an unchanged object by its text would take longer than a tick for a large fleet.
    if (fleet === this.#publishedFleet) return;
    this.#publishedFleet = fleet;
    const put = this.#changedRunners(now, fleet);
    const drop = this.#dropMissing(fleet);
    const { flows, waits } = fleet;
    const isRestChanged = this.#updateValue(now, NO_RUNNER, { flows, waits });
    if (put.length === 0 && drop.length === 0 && !isRestChanged) return;
    this.#count += 1;
    const delta: FleetDelta = { flows, waits, put, drop };
    this.#publish(this.#count, JSON.stringify(fleet), JSON.stringify(delta));
  }

  #changedRunners(now: Moment, { runners }: Fleet): FleetRunner[] {
    const changed: FleetRunner[] = [];
    for (const runner of runners)
      if (this.#updateValue(now, runner.id, runner)) changed.push(runner);
    return changed;
  }

  /** Removes runners that are no longer in the fleet, and returns their ids. */
  #dropMissing({ runners }: Fleet): string[] {
    const present = new Set<string>([NO_RUNNER]);
    for (const { id } of runners) present.add(id);
    const missing: string[] = [];
    for (const id of this.#published.keys()) if (!present.has(id)) missing.push(id);
    for (const id of missing) this.#published.delete(id);
    return missing;
  }

  /** Whether a value differs from the published one; if it does, it is recorded as published. */
  #updateValue(now: Moment, key: string, value: object): boolean {
    const next = publishedValue(now, value);
    const last = this.#published.get(key);
    if (last && isSame(last, next)) return false;
    this.#published.set(key, next);
    return true;
  }
}

function publishedValue(now: Moment, value: object): PublishedValue {
  const ends: number[] = [];
  const text = JSON.stringify(value, (field: string, item: unknown) =>
    withoutDuration(now, ends, field, item),
  );
  return { text, ends };
}

/** Replaces a duration by 0 if it has ended and by 1 if not, and adds the moment of its end to `ends`. */
function withoutDuration(now: Moment, ends: number[], field: string, item: unknown): unknown {
  if ((field !== 'readyMs' && field !== 'coldMs') || typeof item !== 'number') return item;
  if (item <= 0) return 0;
  ends.push(now + item);
  return 1;
}

function isSame(last: PublishedValue, next: PublishedValue): boolean {
  return (
    last.text === next.text &&
    last.ends.length === next.ends.length &&
    last.ends.every(
      (end, index) => Math.abs(end - (next.ends[index] ?? Infinity)) <= END_TOLERANCE_MS,
    )
  );
}
