import { moment, type Moment } from '../common/ids.js';
import type { Fleet, FleetDemand } from '../placement/fleet.js';
import type { Routing } from '../route/routing.js';
import { Admission } from './admission.js';
import { AttemptTracker } from './attempt-tracker.js';
import type { DispatchCounts } from './dispatch-counts.js';
import { DispatcherState } from './dispatcher-state.js';
import type {
  ResponseHead,
  DispatchEffect,
  DispatcherSettings,
  RequestHead,
} from './dispatch-types.js';
import { EarlyRequests } from './early-requests.js';
import { RequestPlacement } from './request-placement.js';

export type {
  ResponseHead,
  DispatchEffect,
  DispatcherSettings,
  PrefixBlock,
  RejectReason,
  RequestHead,
} from './dispatch-types.js';

/** Ticks come every 50 ms; after a longer pause than this the process stood still. */
const EVENT_LOOP_STALL_MS = 150;

/**
 * Decides for each request of this proxy where it is sent, what waits for a load, what is tried again and what is
 * refused. Pure: told what came and when, it drains effects; the forwarder obeys. It only joins its parts: requests are
 * admitted, placed, and followed at their runners.
 */
export class Dispatcher {
  readonly #proxyId: string;
  readonly #state: DispatcherState;
  readonly #admission = new Admission();
  readonly #earlyRequests: EarlyRequests;
  readonly #placement: RequestPlacement;
  readonly #attempts: AttemptTracker;
  #isDraining = false;
  #lastTickAt: Moment = moment(0);

  constructor(settings: DispatcherSettings) {
    this.#proxyId = settings.proxyId;
    this.#state = new DispatcherState(settings);
    this.#earlyRequests = new EarlyRequests(this.#state.outcomes);
    this.#placement = new RequestPlacement(this.#state);
    this.#attempts = new AttemptTracker(this.#state, this.#placement, settings.connectTimeoutMs);
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
  drainEffects(): DispatchEffect[] {
    return this.#state.effects.drain();
  }

  /** From here on it is not ready. */
  startDraining(): void {
    this.#isDraining = true;
  }

  // ---- news

  /** A configuration came, or the zones that are evacuated changed. */
  onConfiguration(now: Moment, routing: Routing, evacuated: readonly string[]): void {
    this.#admission.configure(routing);
    this.#state.fleet.setEvacuatedZones(evacuated);
    this.#releaseEarly(now);
    this.#placement.placeAll(now);
  }

  /** Word on the fleet came. */
  onFleet(now: Moment, fleet: Fleet): void {
    this.#state.fleet.update(now, fleet);
    this.#state.forecast.update(now, fleet);
    this.#releaseEarly(now);
    this.#placement.placeAll(now);
  }

  /** Runners that leave, as told past the leader: they are used no more, whatever a word on the fleet says of them. */
  onDrainingRunners(now: Moment, runners: readonly string[]): void {
    this.#state.fleet.markDraining(now, runners);
    this.#placement.placeAll(now);
  }

  // ---- requests

  /** A request came whole. */
  onRequest(now: Moment, onHeaders: RequestHead): void {
    this.#state.counts.requests += 1;
    if (this.#isInformed) this.#admit(now, onHeaders);
    else this.#earlyRequests.add(now, onHeaders);
  }

  #releaseEarly(now: Moment): void {
    if (!this.#isInformed) return;
    for (const head of this.#earlyRequests.release()) this.#admit(now, head);
  }

  #admit(now: Moment, head: RequestHead): void {
    const request = this.#admission.admit(now, head);
    if (!request) {
      this.#state.outcomes.rejectUnrouted(head.id, 'no-route', 0);
      return;
    }
    this.#state.requests.add(request);
    this.#state.retryPolicy.onRequest(now, request);
    this.#placement.place(now, request);
  }

  /** The client went away. */
  onClientDisconnect(_now: Moment, id: number): void {
    this.#earlyRequests.remove(id);
    const request = this.#state.requests.get(id);
    if (!request) return;
    if (request.phase !== 'waiting') this.#attempts.cancel(request);
    this.#state.requests.remove(request);
  }

  /** Time passed. */
  tick(now: Moment): void {
    this.#earlyRequests.tick(now);
    // After a standstill of this process what came meanwhile has not been read yet: it shows nothing of any runner.
    const wasStalled = now - this.#lastTickAt > EVENT_LOOP_STALL_MS;
    this.#lastTickAt = now;
    for (const request of [...this.#state.requests.all()])
      if (request.phase === 'waiting') this.#placement.checkWaiting(now, request);
      else this.#attempts.checkTimeouts(now, request, wasStalled);
  }

  /** This process ends: every request is answered, by a refusal where no runner can have run it. */
  abortAll(): void {
    this.#earlyRequests.rejectAll();
    for (const request of [...this.#state.requests.all()])
      if (request.phase === 'waiting') this.#state.outcomes.expire(request);
      else this.#attempts.abort(request);
  }

  // ---- attempts

  /** Right before the first byte, whether it may be written; time may have passed since the choice. */
  onConnect(now: Moment, id: number, attempt: number): boolean {
    return this.#attempts.onConnect(now, id, attempt);
  }

  /** The kept connection that was chosen had ended before anything was written. */
  onIdleConnectionClosed(now: Moment, id: number, attempt: number): void {
    this.#attempts.onIdleConnectionClosed(now, id, attempt);
  }

  /** The connection could not be made. */
  onConnectFailed(now: Moment, id: number, attempt: number): void {
    this.#attempts.onConnectFailed(now, id, attempt);
  }

  /** The head of an answer came; with proof that the request was not run, the whole answer. */
  head(now: Moment, id: number, attempt: number, head: ResponseHead): void {
    this.#attempts.onHeaders(now, id, attempt, head);
  }

  /** Bytes of the answer came from the runner. */
  onData(now: Moment, id: number, attempt: number): void {
    this.#attempts.onData(now, id, attempt);
  }

  /** The answer was passed on to its end. */
  onComplete(now: Moment, id: number, attempt: number): void {
    this.#attempts.onComplete(now, id, attempt);
  }

  /** The connection broke after the request was written. `isStale`: a kept connection closed as it was used. */
  onDisconnect(now: Moment, id: number, attempt: number, isStale: boolean): void {
    this.#attempts.onDisconnect(now, id, attempt, isStale);
  }

  // ---- what is told to the leader

  /** Whether something new waits that the leader should hear of at once. */
  takeUrgentDemand(): boolean {
    return this.#state.demand.takeUrgent();
  }

  /** What was asked for since the last call, and what waits and runs. */
  takeDemandReport(now: Moment): FleetDemand {
    return { flow: this.#proxyId, units: this.#state.demand.takeReports(now) };
  }
}
