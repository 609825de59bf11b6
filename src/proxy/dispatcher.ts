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
import type { RoutedRequest } from './routed-request.js';

export type {
  ResponseHead,
  ResponseStatus,
  DispatchEffect,
  DispatcherSettings,
  PrefixBlock,
  RejectReason,
  RequestHead,
} from './dispatch-types.js';

/** Ticks are 50 ms apart; after a longer gap than this the event loop was stalled. */
const EVENT_LOOP_STALL_MS = 150;

/**
 * Decides for each request of this proxy to which runner it is sent, and whether it waits for a model to load, is retried
 * or is rejected. Does no I/O: events are passed in with their times, and the forwarder carries out the effects that it
 * drains. The work is delegated: `Admission` finds the route, `RequestPlacement` the runner, and `AttemptTracker` handles
 * the events of attempts.
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

  /** Counters since the start. */
  get counts(): DispatchCounts {
    return this.#state.counts;
  }
  /** The configuration in force; undefined before the first. */
  get routing(): Routing | undefined {
    return this.#admission.routing;
  }
  /** Whether the proxy is ready for clients: configuration and fleet are known, and it is not draining. */
  get isReady(): boolean {
    return this.#isInformed && !this.#isDraining;
  }
  /** The number of requests that were admitted and have not ended. */
  get inFlight(): number {
    return this.#state.requests.size;
  }
  /** Whether a shutdown has begun. */
  get isDraining(): boolean {
    return this.#isDraining;
  }

  get #isInformed(): boolean {
    return this.#admission.routing !== undefined && this.#state.fleet.isKnown;
  }

  /** Removes and returns the effects since the last call; the forwarder must carry them out in this order. */
  drainEffects(): DispatchEffect[] {
    return this.#state.effects.drain();
  }

  /** Begins a graceful shutdown: the proxy is no longer ready, but still serves requests. */
  startDraining(): void {
    this.#isDraining = true;
  }

  // ---- configuration and fleet

  /** A configuration arrived, or the set of evacuated zones changed. */
  onConfiguration(now: Moment, routing: Routing, evacuated: readonly string[]): void {
    this.#admission.configure(routing);
    this.#state.fleet.setEvacuatedZones(evacuated);
    this.#placement.placeAll(now, this.#admitEarly(now));
  }

  /** A snapshot of the fleet arrived. */
  onFleet(now: Moment, fleet: Fleet): void {
    this.#state.fleet.update(now, fleet);
    this.#state.forecast.update(now, fleet);
    this.#placement.placeAll(now, this.#admitEarly(now));
  }

  /** Runners were reported as draining outside the leader's snapshots: they get no new request, whatever later ones say. */
  onDrainingRunners(now: Moment, runners: readonly string[]): void {
    this.#state.fleet.markDraining(now, runners);
    this.#placement.placeAll(now);
  }

  // ---- requests

  /** A request was read completely. */
  onRequest(now: Moment, head: RequestHead): void {
    this.#state.counts.requests += 1;
    if (!this.#isInformed) {
      this.#earlyRequests.add(now, head);
      return;
    }
    const request = this.#admit(now, head);
    if (request) this.#placement.place(now, request);
  }

  /** Admits the requests that arrived before the configuration, once there is one; they are to be placed. */
  #admitEarly(now: Moment): RoutedRequest[] {
    const requests: RoutedRequest[] = [];
    if (!this.#isInformed) return requests;
    for (const head of this.#earlyRequests.release()) {
      const request = this.#admit(now, head);
      if (request) requests.push(request);
    }
    return requests;
  }

  /** Admits a request, or rejects one that no route matches. */
  #admit(now: Moment, head: RequestHead): RoutedRequest | undefined {
    const request = this.#admission.admit(now, head);
    if (!request) {
      this.#state.outcomes.rejectUnrouted(head.id, 'no-route', 0);
      return undefined;
    }
    this.#state.requests.add(request);
    this.#state.retryPolicy.onRequest(now, request);
    return request;
  }

  /** The client disconnected, or its response is complete. */
  onClientDisconnect(_now: Moment, id: number): void {
    this.#earlyRequests.remove(id);
    const request = this.#state.requests.get(id);
    if (!request) return;
    if (request.phase !== 'waiting') this.#attempts.cancel(request);
    this.#state.requests.remove(request);
  }

  /** Periodic tick: applies deadlines and timeouts. */
  tick(now: Moment): void {
    this.#earlyRequests.tick(now);
    // After a stall of this process, data that arrived in the meantime is still unread: a runner may not be at fault.
    const wasStalled = now - this.#lastTickAt > EVENT_LOOP_STALL_MS;
    this.#lastTickAt = now;
    for (const request of [...this.#state.requests.all()])
      if (request.phase !== 'waiting') this.#attempts.checkTimeouts(now, request, wasStalled);
    this.#placement.placeAll(now);
  }

  /** The process is stopping: rejects every request that no runner can have processed, and fails all others. */
  abortAll(): void {
    this.#earlyRequests.rejectAll();
    for (const request of [...this.#state.requests.all()])
      if (request.phase === 'waiting') this.#state.outcomes.expire(request);
      else this.#attempts.abort(request);
  }

  // ---- attempts

  /** The attempt has a connection. Returns whether the request may still be written; time has passed since its placement. */
  onConnect(now: Moment, id: number, attempt: number): boolean {
    return this.#attempts.onConnect(now, id, attempt);
  }

  /** The idle connection that was taken from the pool had closed before anything was written. */
  onIdleConnectionClosed(now: Moment, id: number, attempt: number): void {
    this.#attempts.onIdleConnectionClosed(now, id, attempt);
  }

  /** The connection to the runner failed. */
  onConnectFailed(now: Moment, id: number, attempt: number): void {
    this.#attempts.onConnectFailed(now, id, attempt);
  }

  /** The head of a response arrived; of one that proves the request unprocessed, the complete response. */
  onHeaders(now: Moment, id: number, attempt: number, head: ResponseHead): void {
    this.#attempts.onHeaders(now, id, attempt, head);
  }

  /** Bytes of the response arrived from the runner. */
  onData(now: Moment, id: number, attempt: number): void {
    this.#attempts.onData(now, id, attempt);
  }

  /** The response was forwarded completely. */
  onComplete(now: Moment, id: number, attempt: number): void {
    this.#attempts.onComplete(now, id, attempt);
  }

  /** The connection closed after the request was written. `isStale`: an idle connection closed as it was reused. */
  onDisconnect(now: Moment, id: number, attempt: number, isStale: boolean): void {
    this.#attempts.onDisconnect(now, id, attempt, isStale);
  }

  // ---- demand, as it is reported to the leader

  /** Whether requests have started to wait for a model, so that the leader should be notified at once; resets the flag. */
  takeUrgentDemand(): boolean {
    return this.#state.demand.takeUrgent();
  }

  /** Demand by model and adapter: arrivals since the last call, and the requests that wait and run now. */
  takeDemandReport(now: Moment): FleetDemand {
    return { flow: this.#proxyId, units: this.#state.demand.takeReports(now) };
  }
}
