import { later, type Moment } from '../common/ids.js';

/** A request to confirm that the configuration known below is still the newest. */
export interface ChildRequest {
  /** The node that sent it; empty for a request of this node's own. */
  readonly child: string;
  /** The child's own number for it, returned with the reply. */
  readonly nonce: number;
  /** Ids of all members that count as fresh once it is confirmed. */
  readonly members: readonly string[];
}

/** The one request that is under way upward, for a batch of requests from below. */
interface ConfirmationRequest {
  readonly nonce: number;
  readonly sentAt: Moment;
  readonly requests: readonly ChildRequest[];
}

/** A request that was not answered for this long is taken as dropped, on links of ordinary round trips. */
const RETRY_DELAY_MS = 250;

/**
 * Batches the freshness requests from below into one request upward at a time.
 *
 * A child's request is only ever confirmed by a request that was sent after it came in, since the freshness bound counts
 * from when the child sent its own (docs/design.md).
 */
export class FreshnessConfirmation {
  #queued: ChildRequest[] = [];
  #inFlight: ConfirmationRequest | undefined;
  #nonce: number;

  /** Nonces start at the incarnation, so that a reply to an earlier incarnation of this process completes nothing. */
  constructor(incarnation: number) {
    this.#nonce = incarnation;
  }

  /** Adds a request; it goes upward with the next `begin`. */
  enqueue(request: ChildRequest): void {
    this.#queued.push(request);
  }

  /**
   * Starts a request upward and returns its nonce; `undefined` if nothing is queued or the one in flight is not overdue.
   * `extraRoundTripMs` is by how much a round trip exceeds that of ordinary links: a request that is replaced
   * before its reply can come would never complete.
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
   * The nonce of the request in flight if it is time to send it again to those that have not replied. Its batch stays the
   * same: a reply to the first sending proves nothing for requests that came in since.
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

  /** Ends the request in flight if this is its nonce, and returns the requests from below that it confirms. */
  complete(nonce: number): readonly ChildRequest[] {
    const request = this.#inFlight;
    if (!request || request.nonce !== nonce) return [];
    this.#inFlight = undefined;
    return request.requests;
  }

  /** Abandons the request in flight, as after a change of parent, and returns all requests not yet confirmed. */
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

/** Only the newest request of each child needs a reply; each of this node's own does. */
function newestRequests(requests: readonly ChildRequest[]): ChildRequest[] {
  const bySender = new Map<string, ChildRequest>();
  for (const request of requests)
    bySender.set(request.child === '' ? `own ${request.nonce}` : request.child, request);
  return [...bySender.values()];
}
