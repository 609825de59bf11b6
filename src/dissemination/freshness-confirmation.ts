import { later, type Moment } from '../common/ids.js';

/** A request of a child, or of this node, to confirm that its configuration is still the newest. */
export interface ChildRequest {
  /** The node that sent the request; empty for a request of this node itself. */
  readonly child: string;
  /** The number that the child gave the request; the reply returns it. */
  readonly nonce: number;
  /** Ids of all members that count as fresh once the request is confirmed. */
  readonly members: readonly string[];
}

/** The request in flight to the parent, for a batch of child requests. */
interface ConfirmationRequest {
  readonly nonce: number;
  readonly sentAt: Moment;
  readonly requests: readonly ChildRequest[];
}

/** A request without a reply for this long is considered dropped, on links with ordinary round trips. */
const RETRY_DELAY_MS = 250;

/**
 * Batches the freshness requests of the children into one request to the parent at a time.
 *
 * A child's request is confirmed only by a request that was sent after the child's was received, since the freshness bound
 * starts when the child sends its request (docs/design.md).
 */
export class FreshnessConfirmation {
  #queued: ChildRequest[] = [];
  #inFlight: ConfirmationRequest | undefined;
  #nonce: number;

  /** Nonces start at the incarnation, so that a reply to an earlier incarnation of this process has no effect. */
  constructor(incarnation: number) {
    this.#nonce = incarnation;
  }

  /** Queues a request for the next batch, which `begin` starts. */
  enqueue(request: ChildRequest): void {
    this.#queued.push(request);
  }

  /**
   * Starts a request to the parent and returns its nonce; `undefined` if no request is queued or the one in flight is not
   * overdue. `extraRoundTripMs` is by how much a round trip exceeds that of ordinary links: a request that is replaced
   * before its reply can arrive would never complete.
   */
  begin(now: Moment, extraRoundTripMs: number = 0): number | undefined {
    if (this.#inFlight && !this.#isOverdue(this.#inFlight, now, extraRoundTripMs)) return undefined;
    const requests = [...(this.#inFlight?.requests ?? []), ...this.#queued];
    if (requests.length === 0) {
      this.#inFlight = undefined;
      return undefined;
    }
    this.#queued = [];
    this.#nonce += 1;
    this.#inFlight = { nonce: this.#nonce, sentAt: now, requests: newestRequests(requests) };
    return this.#nonce;
  }

  /**
   * The nonce of the request in flight if it is due to be sent again to the nodes that have not replied. Its batch stays the
   * same: a reply to the first transmission does not confirm requests that were received after it.
   */
  retry(now: Moment): number | undefined {
    if (!this.#inFlight || !this.#isOverdue(this.#inFlight, now, 0)) return undefined;
    this.#inFlight = { ...this.#inFlight, sentAt: now };
    return this.#inFlight.nonce;
  }

  /** Ids of all members that the request in flight covers. */
  members(): string[] {
    const ids = new Set<string>();
    for (const request of this.#inFlight?.requests ?? [])
      for (const id of request.members) ids.add(id);
    return [...ids];
  }

  /** Completes the request in flight if this is its nonce, and returns the child requests that it confirms. */
  complete(nonce: number): readonly ChildRequest[] {
    const request = this.#inFlight;
    if (!request || request.nonce !== nonce) return [];
    this.#inFlight = undefined;
    return request.requests;
  }

  /** Aborts the request in flight, as after a change of parent, and returns all requests that are not confirmed. */
  abort(): readonly ChildRequest[] {
    const requests = newestRequests([...(this.#inFlight?.requests ?? []), ...this.#queued]);
    this.#inFlight = undefined;
    this.#queued = [];
    return requests;
  }

  #isOverdue(request: ConfirmationRequest, now: Moment, extraRoundTripMs: number): boolean {
    return now >= later(request.sentAt, RETRY_DELAY_MS + extraRoundTripMs);
  }
}

/** The newest request of each child, the only one that needs a reply, and all requests of this node itself. */
function newestRequests(requests: readonly ChildRequest[]): ChildRequest[] {
  const bySender = new Map<string, ChildRequest>();
  for (const request of requests)
    bySender.set(request.child === '' ? `own ${request.nonce}` : request.child, request);
  return [...bySender.values()];
}
