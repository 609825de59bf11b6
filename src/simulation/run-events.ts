import type { TriggerEvent } from './faults.js';

export type EventHandler = (node: string) => void;

/** What happened in a run that faults may be aimed at; the newest node of each event is remembered. */
export class RunEvents {
  readonly #waiting = new Map<TriggerEvent, EventHandler[]>();
  readonly #lastNodes = new Map<TriggerEvent, string>();
  readonly #counts = new Map<TriggerEvent, number>();

  /** Hears of the next such event alone. */
  once(event: TriggerEvent, handler: EventHandler): void {
    this.#waiting.set(event, [...(this.#waiting.get(event) ?? []), handler]);
  }

  emit(event: TriggerEvent, node: string): void {
    this.#lastNodes.set(event, node);
    this.#counts.set(event, this.count(event) + 1);
    const waiting = this.#waiting.get(event);
    if (!waiting) return;
    this.#waiting.delete(event);
    for (const handler of waiting) handler(node);
  }

  lastNode(event: TriggerEvent): string | undefined {
    return this.#lastNodes.get(event);
  }

  count(event: TriggerEvent): number {
    return this.#counts.get(event) ?? 0;
  }
}
