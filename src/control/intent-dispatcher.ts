import { later, moment, type Moment } from '../common/ids.js';
import type { Placer } from '../placement/placer.js';
import type { PlanInput, RunnerView } from '../placement/placer-types.js';
import type { Intent, ServiceDoc } from '../placement/shapes.js';
import type { ControlEffect, OrderResult } from './control-effect.js';

/** The state of an order that was sent. */
interface SentOrder {
  readonly sentAt: Moment;
  /** `sent`: no outcome yet; `taken`: the runner accepted it; `unsure`: it may have. */
  readonly state: 'sent' | 'taken' | 'unsure';
  /** Whether the outcome of some attempt is unknown, which a later attempt that was not sent does not change. */
  readonly wasUnsure: boolean;
}

/** Time after which an order without a known outcome is sent again. */
const ORDER_RETRY_INTERVAL_MS = 2000;
const NEVER = moment(-1e12);

/** Sends the intents that are stored at a majority to runners as orders, and keeps track of their outcomes. */
export class IntentDispatcher {
  readonly #placer: Placer;
  readonly #addEffect: (effect: ControlEffect) => void;
  readonly #sent = new Map<string, SentOrder>();
  /** Ids of intents that are stored at a majority. */
  readonly #committed = new Set<string>();
  /** Prefix of the ids of intents that this leader decided in its current epoch. */
  #label = '';
  #mayOrderSince: Moment = NEVER;
  #sentCount = 0;
  /** Allocated once, since it is passed for every intent at every plan. */
  readonly #isSent = (intent: string) => this.#sent.has(intent);

  constructor(placer: Placer, addEffect: (effect: ControlEffect) => void) {
    this.#placer = placer;
    this.#addEffect = addEffect;
  }

  /** Orders sent since the start of the process, repeated ones included. */
  get sentCount(): number {
    return this.#sentCount;
  }

  /** Whether some order has no known outcome: it may still be in flight. */
  get hasOpenOrders(): boolean {
    for (const order of this.#sent.values()) if (order.state !== 'taken') return true;
    return false;
  }

  /** This node became the leader; `label` is the prefix of the ids of the intents that it decides. */
  beginLeading(label: string): void {
    this.#label = label;
    this.#mayOrderSince = NEVER;
  }

  /** This node no longer leads. */
  endLeading(): void {
    this.#sent.clear();
    this.#committed.clear();
  }

  /** The intents of these services are stored at a majority: they may be sent. */
  onCommitted(docs: readonly ServiceDoc[]): void {
    for (const doc of docs) for (const intent of doc.intents) this.#committed.add(intent.id);
  }

  /** An order ended. */
  onOrderOutcome(now: Moment, intent: string, outcome: OrderResult | 'turnedAway'): void {
    if (outcome === 'taken') {
      this.#placer.onOrderAccepted(now, intent);
      this.#sent.set(intent, { sentAt: now, state: 'taken', wasUnsure: true });
      return;
    }
    if (outcome === 'turnedAway') {
      this.#placer.onOrderRejected(intent);
      return;
    }
    const sent = this.#sent.get(intent);
    if (sent && sent.state !== 'taken') this.#onUnknownOutcome(now, intent, outcome, sent);
  }

  /** Sends the orders that are due; called while this node may order. Loads wait until the weight store's limit is known. */
  dispatch(now: Moment, input: PlanInput, isStoreLimitKnown: boolean): void {
    if (this.#mayOrderSince === NEVER) this.#mayOrderSince = now;
    const open = new Set<string>();
    for (const doc of this.#placer.docs()) {
      for (const intent of doc.intents) {
        open.add(intent.id);
        this.#dispatchIntent(now, input, intent, isStoreLimitKnown);
      }
    }
    for (const id of this.#sent.keys()) if (!open.has(id)) this.#sent.delete(id);
    for (const id of this.#committed) if (!open.has(id)) this.#committed.delete(id);
  }

  #onUnknownOutcome(now: Moment, intent: string, outcome: OrderResult, sent: SentOrder): void {
    const isUnsent = outcome === 'unsent';
    // An order that was never written counts as not sent, unless an earlier attempt may have arrived.
    if (isUnsent && !sent.wasUnsure) {
      this.#sent.delete(intent);
      return;
    }
    this.#sent.set(intent, { sentAt: isUnsent ? NEVER : now, state: 'unsure', wasUnsure: true });
  }

  #dispatchIntent(now: Moment, input: PlanInput, intent: Intent, isStoreLimitKnown: boolean): void {
    const sent = this.#sent.get(intent.id);
    if (!this.#isDue(now, intent, sent)) return;
    const view = input.runners.find(({ machine }) => machine.id === intent.runner);
    if (!view?.isReachable || view.report?.boot !== intent.boot) return;
    if (!this.#placer.mayStillSend(intent, input, this.#isSent)) {
      if (!sent && this.#wasNeverAccepted(intent, view)) this.#placer.onOrderRejected(intent.id);
      return;
    }
    if (intent.verb === 'load' && !isStoreLimitKnown) return;
    this.#send(now, intent, view.machine.address, sent?.wasUnsure ?? false);
  }

  /** Only intents that are stored at a majority are sent, and an accepted one is never sent again. */
  #isDue(now: Moment, intent: Intent, sent: SentOrder | undefined): boolean {
    if (!this.#committed.has(intent.id) || sent?.state === 'taken') return false;
    return !sent || now >= later(sent.sentAt, ORDER_RETRY_INTERVAL_MS);
  }

  /**
   * Applies to an intent that this leader did not send. One of its own epoch was never sent; one of an older epoch would
   * show in a report requested after this leader could order, which is long after any other leader could.
   */
  #wasNeverAccepted(intent: Intent, view: RunnerView): boolean {
    return intent.id.startsWith(`${this.#label}.`) || view.requestedAt > this.#mayOrderSince;
  }

  #send(now: Moment, intent: Intent, address: string, wasUnsure: boolean): void {
    this.#sent.set(intent.id, { sentAt: now, state: 'sent', wasUnsure });
    this.#sentCount += 1;
    this.#addEffect({ do: 'order', intent, address });
  }
}
