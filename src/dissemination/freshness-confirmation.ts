import { later, type Moment } from '../common/ids.js';

export interface ChildRequest {
  readonly child: string;
  readonly nonce: number;
  /** Every member that will be fresh by what this ask is returned. */
  readonly members: readonly string[];
}
interface ConfirmationRequest {
  readonly nonce: number;
  readonly sentAt: Moment;
  readonly requests: readonly ChildRequest[];
}

/** On ordinary links a round that takes so long is taken for lost. */
const RETRY_DELAY_MS = 250;

/**
 * Gathers asks for freshness from below into one ask upward at a time. An ask is only ever returned
 * by a round begun after it came in, so that its age counts from the asker's own sending.
 */
export class FreshnessConfirmation {
  #queued: ChildRequest[] = [];
  #inFlight: ConfirmationRequest | undefined;
  #nonce: number;

  /** Nonces begin at a number of this life's own: what is returned to a former incarnation ends no round of ours. */
  constructor(incarnation: number) {
    this.#nonce = incarnation;
  }

  enqueue(ask: ChildRequest): void {
    this.#queued.push(ask);
  }

  /**
   * Begins a round if some ask waits and none is under way, or the one under way seems lost; returns its nonce. `slowMs` is
   * by how much longer than on ordinary links a round takes: one that is begun anew before its end would never end.
   */
  begin(now: Moment, slowMs: number = 0): number | undefined {
    if (this.#inFlight && now < later(this.#inFlight.sentAt, RETRY_DELAY_MS + slowMs))
      return undefined;
    const asks = [...(this.#inFlight?.requests ?? []), ...this.#queued];
    if (asks.length === 0) {
      this.#inFlight = undefined;
      return undefined;
    }
    this.#queued = [];
    this.#nonce += 1;
    this.#inFlight = { nonce: this.#nonce, sentAt: now, requests: newestRequests(asks) };
    return this.#nonce;
  }

  /**
   * The nonce of the round under way, where it is time to ask those again that have not answered. Its asks stay as they
   * are: an answer to its first sending may come at any time, and shows nothing for what came in since.
   */
  retry(now: Moment): number | undefined {
    if (!this.#inFlight || now < later(this.#inFlight.sentAt, RETRY_DELAY_MS)) return undefined;
    this.#inFlight = { ...this.#inFlight, sentAt: now };
    return this.#inFlight.nonce;
  }

  /** Everybody that the round under way will make fresh. */
  members(): string[] {
    const ids = new Set<string>();
    for (const ask of this.#inFlight?.requests ?? []) for (const id of ask.members) ids.add(id);
    return [...ids];
  }

  /** The asks that this round's confirmation returns. */
  complete(nonce: number): readonly ChildRequest[] {
    const round = this.#inFlight;
    if (!round || round.nonce !== nonce) return [];
    this.#inFlight = undefined;
    return round.requests;
  }

  /** Gives up the round under way, as when we hang under another node, and returns all asks that wait. */
  abort(): readonly ChildRequest[] {
    const asks = newestRequests([...(this.#inFlight?.requests ?? []), ...this.#queued]);
    this.#inFlight = undefined;
    this.#queued = [];
    return asks;
  }
}

/** A child that asks again needs only its newest ask returned; what this node asks for itself is returned each. */
function newestRequests(asks: readonly ChildRequest[]): ChildRequest[] {
  const byAsker = new Map<string, ChildRequest>();
  for (const ask of asks) byAsker.set(ask.child === '' ? `own ${ask.nonce}` : ask.child, ask);
  return [...byAsker.values()];
}
