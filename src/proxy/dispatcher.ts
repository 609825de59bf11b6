import { moment, type Moment } from '../common/ids.js';
import type { Fleet, FleetDemand } from '../placement/fleet.js';
import type { Routing } from '../route/routing.js';
import { Admission } from './admission.js';
import { AttemptTracker } from './attempt-tracker.js';
import type { DispatchCounts } from './dispatch-counts.js';
import { DispatcherState } from './dispatcher-state.js';
import type {
  AnswerHead,
  DispatchEffect,
  DispatcherSettings,
  RequestHead,
} from './dispatch-types.js';
import { EarlyRequests } from './early-requests.js';
import { RequestPlacement } from './request-placement.js';

export type {
  AnswerHead,
  DispatchEffect,
  DispatcherSettings,
  PrefixPart,
  RefuseReason,
  RequestHead,
} from './dispatch-types.js';

/** Ticks come every 50 ms; after a longer pause than this the process stood still. */
const STANDSTILL_MS = 150;

/**
 * Decides for each request of this proxy where it is sent, what waits for a load, what is tried again and what is
 * refused. Pure: told what came and when, it drains effects; the forwarder obeys. It only joins its parts: requests are
 * admitted, placed, and followed at their runners.
 */
export class Dispatcher {
  readonly #flow: string;
  readonly #state: DispatcherState;
  readonly #admission = new Admission();
  readonly #early: EarlyRequests;
  readonly #placement: RequestPlacement;
  readonly #attempts: AttemptTracker;
  #isDraining = false;
  #tickedAt: Moment = moment(0);

  constructor(settings: DispatcherSettings) {
    this.#flow = settings.flow;
    this.#state = new DispatcherState(settings);
    this.#early = new EarlyRequests(this.#state.answers);
    this.#placement = new RequestPlacement(this.#state);
    this.#attempts = new AttemptTracker(this.#state, this.#placement, settings.connectMs);
  }

  /** What was counted since the start. */
  get counts(): DispatchCounts {
    return this.#state.counts;
  }
  /** The configuration in force, if there is one yet. */
  get routing(): Routing | undefined {
    return this.#admission.routing;
  }
  /** Whether clients should be sent here: configuration and fleet are known, and it does not stop. */
  get isReady(): boolean {
    return this.#isInformed && !this.#isDraining;
  }
  /** How many requests were routed and have not ended. */
  get inFlight(): number {
    return this.#state.requests.size;
  }
  /** Whether it has been told to stop. */
  get isDraining(): boolean {
    return this.#isDraining;
  }

  get #isInformed(): boolean {
    return this.#admission.routing !== undefined && this.#state.fleet.isKnown;
  }

  /** What the forwarder must do, in this order; told once. */
  drain(): DispatchEffect[] {
    return this.#state.effects.drain();
  }

  /** From here on it is not ready. */
  startDraining(): void {
    this.#isDraining = true;
  }

  // ---- news

  /** A configuration came, or the zones that are evacuated changed. */
  configure(now: Moment, routing: Routing, evacuated: readonly string[]): void {
    this.#admission.configure(routing);
    this.#state.fleet.evacuate(evacuated);
    this.#releaseEarly(now);
    this.#placement.retryAll(now);
  }

  /** Word on the fleet came. */
  fleet(now: Moment, fleet: Fleet): void {
    this.#state.fleet.update(now, fleet);
    this.#state.forecast.update(now, fleet);
    this.#releaseEarly(now);
    this.#placement.retryAll(now);
  }

  /** Runners that leave, as told past the leader: they are used no more, whatever a word on the fleet says of them. */
  leaving(now: Moment, runners: readonly string[]): void {
    this.#state.fleet.markLeaving(now, runners);
    this.#placement.retryAll(now);
  }

  // ---- requests

  /** A request came whole. */
  take(now: Moment, head: RequestHead): void {
    this.#state.counts.requests += 1;
    if (this.#isInformed) this.#admit(now, head);
    else this.#early.take(now, head);
  }

  #releaseEarly(now: Moment): void {
    if (!this.#isInformed) return;
    for (const head of this.#early.release()) this.#admit(now, head);
  }

  #admit(now: Moment, head: RequestHead): void {
    const request = this.#admission.admit(now, head);
    if (!request) {
      this.#state.answers.refuseUnrouted(head.id, 'no-route', 0);
      return;
    }
    this.#state.requests.add(request);
    this.#state.retry.count(now, request);
    this.#placement.place(now, request);
  }

  /** The client went away. */
  gone(_now: Moment, id: number): void {
    this.#early.drop(id);
    const request = this.#state.requests.get(id);
    if (!request) return;
    if (request.phase !== 'waiting') this.#attempts.cancel(request);
    this.#state.requests.end(request);
  }

  /** Time passed. */
  tick(now: Moment): void {
    this.#early.tick(now);
    // After a standstill of this process what came meanwhile has not been read yet: it shows nothing of any runner.
    const hasStoodStill = now - this.#tickedAt > STANDSTILL_MS;
    this.#tickedAt = now;
    for (const request of [...this.#state.requests.all()])
      if (request.phase === 'waiting') this.#placement.check(now, request);
      else this.#attempts.check(now, request, hasStoodStill);
  }

  /** This process ends: every request is answered, by a refusal where no runner can have run it. */
  endAll(): void {
    this.#early.refuseAll();
    for (const request of [...this.#state.requests.all()])
      if (request.phase === 'waiting') this.#state.answers.expire(request);
      else this.#attempts.abandon(request);
  }

  // ---- attempts

  /** Right before the first byte, whether it may be written; time may have passed since the choice. */
  mayWrite(now: Moment, id: number, attempt: number): boolean {
    return this.#attempts.mayWrite(now, id, attempt);
  }

  /** The kept connection that was chosen had ended before anything was written. */
  unwritten(now: Moment, id: number, attempt: number): void {
    this.#attempts.unwritten(now, id, attempt);
  }

  /** The connection could not be made. */
  unreached(now: Moment, id: number, attempt: number): void {
    this.#attempts.unreached(now, id, attempt);
  }

  /** The head of an answer came; with proof that the request was not run, the whole answer. */
  head(now: Moment, id: number, attempt: number, head: AnswerHead): void {
    this.#attempts.head(now, id, attempt, head);
  }

  /** Bytes of the answer came from the runner. */
  moved(now: Moment, id: number, attempt: number): void {
    this.#attempts.moved(now, id, attempt);
  }

  /** The answer was passed on to its end. */
  ended(now: Moment, id: number, attempt: number): void {
    this.#attempts.ended(now, id, attempt);
  }

  /** The connection broke after the request was written. `isStale`: a kept connection closed as it was used. */
  broke(now: Moment, id: number, attempt: number, isStale: boolean): void {
    this.#attempts.broke(now, id, attempt, isStale);
  }

  // ---- what is told to the leader

  /** Whether something new waits that the leader should hear of at once. */
  takeUrgent(): boolean {
    return this.#state.demand.takeUrgent();
  }

  /** What was asked for since the last call, and what waits and runs. */
  demand(now: Moment): FleetDemand {
    return { flow: this.#flow, units: this.#state.demand.report(now) };
  }
}
