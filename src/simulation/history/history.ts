/**
 * What an operator's clients saw of a run: the input of the history checker.
 *
 * An order is one change that an operator wants. It is sent in attempts: the same bytes again, to any control node,
 * until an answer is definite or the operator gives up. All moments are milliseconds of the simulation's true time.
 */

/** A whole configuration that replaces the one of version `base`. */
export interface PutOrder {
  readonly kind: 'put';
  readonly base: number;
  readonly version: number;
  /** The exact document; two orders with equal base and text are the same order to the system. */
  readonly text: string;
  /** Set where no configuration in force could make this one acceptable. */
  readonly isInvalid: boolean;
}

/** A change of named items of the configuration of version `base`. */
export interface PatchOrder {
  readonly kind: 'patch';
  readonly base: number;
  readonly version: number;
  /** The exact change; how it alters a document is the simulated dialect's business. */
  readonly text: string;
  readonly isInvalid: boolean;
}

/** Asks that a zone's runners get nothing more, or takes that back. */
export interface ZoneOrder {
  readonly kind: 'evacuate' | 'restore';
  readonly zone: string;
}

export type Order = PutOrder | PatchOrder | ZoneOrder;

/** accepted: 2xx. refused: a definite 4xx. unclear: 5xx, 408, 429, a lost answer or none. */
export type AttemptOutcome = 'accepted' | 'refused' | 'unclear';

export interface Attempt {
  /** The control node that was called. */
  readonly node: string;
  readonly sentAt: number;
  /** When the answer reached the operator; nothing if none did. */
  readonly endedAt: number | undefined;
  readonly outcome: AttemptOutcome;
  /**
   * When a node began it, where the operator had left by then and its close was still on the line: no node can tell such
   * a copy from one whose caller waits. Nothing for all others.
   */
  readonly takenLateAt?: number | undefined;
}

export interface OrderRecord {
  readonly id: number;
  readonly operator: string;
  readonly order: Order;
  readonly attempts: readonly Attempt[];
}

/** A read of the configuration that was answered definitely. */
export interface ReadRecord {
  readonly id: number;
  readonly operator: string;
  readonly node: string;
  readonly sentAt: number;
  readonly endedAt: number;
  /** Nothing where the answer was that there is no configuration yet. */
  readonly document: { readonly version: number; readonly text: string } | undefined;
  /** The evacuated zones in force at the read, where the caller can see them. */
  readonly evacuated: readonly string[] | undefined;
}

export interface History {
  readonly orders: readonly OrderRecord[];
  readonly reads: readonly ReadRecord[];
}
