/**
 * The history of a run as the operators' clients observed it: the input of the history checker.
 *
 * An order is one change requested by an operator. The client sends it in one or more attempts, each with the same
 * bytes to any control node, until an answer is definite or the operator gives up. All times are milliseconds of the
 * simulation's true time.
 */

/** A complete configuration that replaces the one of version `base`. */
export interface PutOrder {
  readonly kind: 'put';
  readonly base: number;
  readonly version: number;
  /** The exact document; the system treats two orders with equal base and text as the same order. */
  readonly text: string;
  /** Whether the order is invalid whatever configuration is in force. */
  readonly isInvalid: boolean;
}

/** A change of named items of the configuration of version `base`. */
export interface PatchOrder {
  readonly kind: 'patch';
  readonly base: number;
  readonly version: number;
  /** The exact change; the simulated dialect defines how it alters a document. */
  readonly text: string;
  readonly isInvalid: boolean;
}

/** Evacuates a zone, so that its runners get no more requests, or restores it. */
export interface ZoneOrder {
  readonly kind: 'evacuate' | 'restore';
  readonly zone: string;
}

/** Any order of an operator. */
export type Order = PutOrder | PatchOrder | ZoneOrder;

/** accepted: 2xx. refused: a definite 4xx. unclear: 5xx, 408, 429, or a lost or missing answer. */
export type AttemptOutcome = 'accepted' | 'refused' | 'unclear';

/** One call to a control node with an order. */
export interface Attempt {
  /** The control node that was called. */
  readonly node: string;
  readonly sentAt: number;
  /** When the answer reached the operator; undefined if none did. */
  readonly endedAt: number | undefined;
  readonly outcome: AttemptOutcome;
  /**
   * When a node started the attempt, if the operator had already disconnected but the close had not yet arrived: a node
   * can't distinguish such a copy from one whose caller still waits. Undefined for all other attempts.
   */
  readonly takenLateAt?: number | undefined;
}

/** An order with all its attempts. */
export interface OrderRecord {
  readonly id: number;
  readonly operator: string;
  readonly order: Order;
  readonly attempts: readonly Attempt[];
}

/** A read of the configuration that got a definite answer. */
export interface ReadRecord {
  readonly id: number;
  readonly operator: string;
  readonly node: string;
  readonly sentAt: number;
  readonly endedAt: number;
  /** Undefined if the answer was that there is no configuration yet. */
  readonly document: { readonly version: number; readonly text: string } | undefined;
  /** The zones that the answer lists as evacuated; undefined if the caller can't see them. */
  readonly evacuated: readonly string[] | undefined;
}

/** All orders and reads of a run. */
export interface History {
  readonly orders: readonly OrderRecord[];
  readonly reads: readonly ReadRecord[];
}
