import type { TriggerEvent } from './faults.js';

/** Called with the node of an event. */
export type EventHandler = (node: string) => void;

/** The events of a run that can trigger faults, with their counts and the node of the last event of each kind. */
export class RunEvents {
  readonly #waiting = new Map<TriggerEvent, EventHandler[]>();
  readonly #lastNodes = new Map<TriggerEvent, string>();
  readonly #counts = new Map<TriggerEvent, number>();

  /** Calls a handler at the next event of this kind, once. */
  once(event: TriggerEvent, handler: EventHandler): void {
    this.#waiting.set(event, [...(this.#waiting.get(event) ?? []), handler]);
  }

  /** Records an event and calls the handlers that wait for it. */
  emit(event: TriggerEvent, node: string): void {
    this.#lastNodes.set(event, node);
    this.#counts.set(event, this.count(event) + 1);
    const waiting = this.#waiting.get(event);
    if (!waiting) return;
    this.#waiting.delete(event);
    for (const handler of waiting) handler(node);
  }

  /** The node of the last event of this kind; `undefined` if there was none. */
  lastNode(event: TriggerEvent): string | undefined {
    return this.#lastNodes.get(event);
  }

  /** Number of events of this kind. */
  count(event: TriggerEvent): number {
    return this.#counts.get(event) ?? 0;
  }
}
