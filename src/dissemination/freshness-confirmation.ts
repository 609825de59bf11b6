import { later, type Moment } from '../common/ids.js';

export interface Ask {
  readonly child: string;
  readonly nonce: number;
  /** Every member that will be fresh by what this ask is returned. */
  readonly members: readonly string[];
}
interface Round {
  readonly nonce: number;
  readonly sentAt: Moment;
  readonly asks: readonly Ask[];
}

/** On ordinary links a round that takes so long is taken for lost. */
const RETRY_MS = 250;

/**
 * Gathers asks for freshness from below into one ask upward at a time. An ask is only ever returned
 * by a round begun after it came in, so that its age counts from the asker's own sending.
 */
export class FreshnessConfirmation {
  #waiting: Ask[] = [];
  #round: Round | undefined;
  #nonce: number;

  /** Nonces begin at a number of this life's own: what is returned to a former incarnation ends no round of ours. */
  constructor(incarnation: number) {
    this.#nonce = incarnation;
  }

  add(ask: Ask): void {
    this.#waiting.push(ask);
  }

  /**
   * Begins a round if some ask waits and none is under way, or the one under way seems lost; returns its nonce. `slowMs` is
   * by how much longer than on ordinary links a round takes: one that is begun anew before its end would never end.
   */
  begin(now: Moment, slowMs: number = 0): number | undefined {
    if (this.#round && now < later(this.#round.sentAt, RETRY_MS + slowMs)) return undefined;
    const asks = [...(this.#round?.asks ?? []), ...this.#waiting];
    if (asks.length === 0) {
      this.#round = undefined;
      return undefined;
    }
    this.#waiting = [];
    this.#nonce += 1;
    this.#round = { nonce: this.#nonce, sentAt: now, asks: newest(asks) };
    return this.#nonce;
  }

  /**
   * The nonce of the round under way, where it is time to ask those again that have not answered. Its asks stay as they
   * are: an answer to its first sending may come at any time, and shows nothing for what came in since.
   */
  repeat(now: Moment): number | undefined {
    if (!this.#round || now < later(this.#round.sentAt, RETRY_MS)) return undefined;
    this.#round = { ...this.#round, sentAt: now };
    return this.#round.nonce;
  }

  /** Everybody that the round under way will make fresh. */
  members(): string[] {
    const ids = new Set<string>();
    for (const ask of this.#round?.asks ?? []) for (const id of ask.members) ids.add(id);
    return [...ids];
  }

  /** The asks that this round's confirmation returns. */
  end(nonce: number): readonly Ask[] {
    const round = this.#round;
    if (!round || round.nonce !== nonce) return [];
    this.#round = undefined;
    return round.asks;
  }

  /** Gives up the round under way, as when we hang under another node, and returns all asks that wait. */
  takeAll(): readonly Ask[] {
    const asks = newest([...(this.#round?.asks ?? []), ...this.#waiting]);
    this.#round = undefined;
    this.#waiting = [];
    return asks;
  }
}

/** A child that asks again needs only its newest ask returned; what this node asks for itself is returned each. */
function newest(asks: readonly Ask[]): Ask[] {
  const byAsker = new Map<string, Ask>();
  for (const ask of asks) byAsker.set(ask.child === '' ? `own ${ask.nonce}` : ask.child, ask);
  return [...byAsker.values()];
}
