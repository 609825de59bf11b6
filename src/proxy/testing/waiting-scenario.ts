/** A dispatcher alone on virtual time, with requests that wait for a load or for a free place. */
import { moment } from '../../common/ids.js';
import type { Fleet } from '../../placement/fleet.js';
import type { Route, RouteKind, Routing, Service } from '../../route/routing.js';
import { Dispatcher, type DispatchEffect } from '../dispatcher.js';
import { runnerOf } from './dispatch-fixtures.js';

const TICK_MS = 50;
const STEP_MS = 10;
/** How long a runner takes to the first event of a stream, or to another response, ms. */
export const RESPONSE_MS = 50;
/** Longer than any deadline of a scenario. */
const RUN_MS = 9000;
/** The connection limit of the runner: a lone proxy uses no more than two places of it. */
const PLACES = 2;

const BASE: Route = {
  name: 'base',
  host: 'h.example',
  prefix: '/base/',
  kind: 'unsafe',
  timeoutMs: 60_000,
  latencyTargetMs: 500,
  // Eight times this is less than two seconds, the minimum of the client's silence timeout.
  gapTargetMs: 250,
  priority: 3,
  splits: [{ service: 'llm', weight: 1 }],
  maxAttempts: 2,
  isSticky: true,
  isResumable: false,
};
const LLM: Service = {
  name: 'llm',
  healthPath: '/health',
  maxConnections: 1,
  warmupMs: 0,
  warmupPerSecond: 0,
  engine: {
    slots: 64,
    cacheTokens: 200_000,
    models: [
      { name: 'rare', sizeMb: 70_000, loadMs: 600, adapters: 0, adapterSizeMb: 10 },
      { name: 'busy', sizeMb: 70_000, loadMs: 600, adapters: 0, adapterSizeMb: 10 },
      { name: 'idle', sizeMb: 70_000, loadMs: 600, adapters: 0, adapterSizeMb: 10 },
    ],
    capacityMb: 220_000,
    adapterSlots: 8,
    loadsPerSecond: 6,
  },
};

/** A request of a scenario. */
export interface ScenarioRequest {
  readonly id: number;
  readonly atMs: number;
  /** The name of its route. */
  readonly route: string;
  readonly timeLeftMs: number;
  /** The model that it needs: one that is being loaded, one whose runner is full, or one whose runner has free places. */
  readonly model: 'rare' | 'busy' | 'idle';
}

/** A route of a scenario. */
export interface ScenarioRoute {
  readonly name: string;
  readonly kind: RouteKind;
  readonly latencyTargetMs: number;
  readonly priority: number;
}

/** What happens in a scenario, at times in ms. */
export interface Scenario {
  readonly routes: readonly ScenarioRoute[];
  readonly requests: readonly ScenarioRequest[];
  /** When the model that is not loaded becomes ready. */
  readonly loadedAtMs: number;
  /** Whether the leader has reported that time. */
  readonly isForecast: boolean;
  /** When each of the two places of the runner becomes free. */
  readonly freeAtMs: readonly [number, number];
}

/** How a request ended: sent to a runner, refused, or failed. */
export interface ScenarioOutcome {
  readonly end: 'sent' | 'refused' | 'failed';
  readonly atMs: number;
  /** The stated time left of a request that was sent, or the retry delay of a refused one; ms. */
  readonly valueMs: number;
}

/** Runs a scenario and returns the outcome of each request by id; the first attempt at a runner ends a request. */
export function runScenario(scenario: Scenario): ReadonlyMap<number, ScenarioOutcome> {
  return new ScenarioRun(scenario).run();
}

class ScenarioRun {
  readonly #scenario: Scenario;
  readonly #dispatcher = new Dispatcher({
    proxyId: 'p',
    zone: 'za',
    retry: { ratio: 0.2, extra: 50, windowMs: 10_000 },
    warmupExcess: 1,
    connectTimeoutMs: 60_000,
    hasIdleConnection: () => true,
    random: () => 0,
  });
  readonly #outcomes = new Map<number, ScenarioOutcome>();
  /** Responses to deliver, by the time at which they are complete. */
  readonly #responses: { readonly atMs: number; readonly id: number; readonly attempt: number }[] =
    [];
  #now = 0;

  constructor(scenario: Scenario) {
    this.#scenario = scenario;
  }

  run(): ReadonlyMap<number, ScenarioOutcome> {
    this.#dispatcher.onConfiguration(moment(0), this.#routing(), []);
    this.#updateFleet();
    this.#occupyPlaces();
    for (this.#now = 0; this.#now <= RUN_MS; this.#now += STEP_MS) this.#step();
    return this.#outcomes;
  }

  #step(): void {
    const { requests, loadedAtMs, freeAtMs } = this.#scenario;
    const now = moment(this.#now);
    if (this.#now === ceilToStep(loadedAtMs)) this.#updateFleet();
    for (const [index, atMs] of freeAtMs.entries())
      if (this.#now === ceilToStep(atMs)) this.#complete(-1 - index, 1);
    for (const response of this.#responses.filter(({ atMs }) => atMs === this.#now))
      this.#complete(response.id, response.attempt);
    for (const request of requests) if (ceilToStep(request.atMs) === this.#now) this.#send(request);
    if (this.#now % TICK_MS === 0) this.#dispatcher.tick(now);
    this.#performEffects();
  }

  #routing(): Routing {
    const routes = this.#scenario.routes.map((route) => ({
      ...BASE,
      ...route,
      prefix: `/${route.name}/`,
    }));
    return {
      version: 1,
      routes: [BASE, ...routes],
      services: [LLM],
      limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerWaitMs: 1, idleMs: 1 },
    };
  }

  #updateFleet(): void {
    const { loadedAtMs, isForecast } = this.#scenario;
    const isLoaded = this.#now >= loadedAtMs;
    const readyMs = Math.max(0, loadedAtMs - this.#now);
    const coming = isForecast && !isLoaded ? [{ model: 'rare', adapter: '', readyMs }] : [];
    const fleet: Fleet = {
      flows: 1,
      runners: [
        runnerOf('full', { holds: [holdOf('busy')] }),
        runnerOf('free', { holds: [holdOf('idle')] }),
        runnerOf('loading', { holds: isLoaded ? [holdOf('rare')] : [], coming }),
      ],
      waits: [],
    };
    this.#dispatcher.onFleet(moment(this.#now), fleet);
  }

  /** Other requests use all places of the runner with the model `busy`. */
  #occupyPlaces(): void {
    for (let id = -1; id >= -PLACES; id -= 1)
      this.#request(id, { route: 'base', timeLeftMs: 60_000, model: 'busy' });
    for (const effect of this.#dispatcher.drainEffects())
      if (effect.do === 'send') this.#dispatcher.onConnect(moment(0), effect.id, effect.attempt);
  }

  #send(request: ScenarioRequest): void {
    this.#request(request.id, request);
  }

  #request(id: number, { route, timeLeftMs, model }: Omit<ScenarioRequest, 'id' | 'atMs'>): void {
    this.#dispatcher.onRequest(moment(this.#now), {
      id,
      host: 'h.example',
      path: `/${route}/x`,
      model,
      adapter: '',
      promptTokens: 600,
      prefix: [],
      timeLeftMs,
    });
  }

  #performEffects(): void {
    for (const effect of this.#dispatcher.drainEffects()) this.#perform(effect);
  }

  #perform(effect: DispatchEffect): void {
    const { id } = effect;
    if (effect.do === 'send') {
      this.#end(id, 'sent', effect.timeLeftMs);
      if (this.#dispatcher.onConnect(moment(this.#now), id, effect.attempt))
        this.#responses.push({ atMs: this.#now + RESPONSE_MS, id, attempt: effect.attempt });
    } else if (effect.do === 'reject') this.#end(id, 'refused', effect.retryAfterMs);
    else if (effect.do === 'fail') this.#end(id, 'failed', 0);
  }

  #end(id: number, end: ScenarioOutcome['end'], valueMs: number): void {
    if (!this.#outcomes.has(id)) this.#outcomes.set(id, { end, atMs: this.#now, valueMs });
  }

  #complete(id: number, attempt: number): void {
    const now = moment(this.#now);
    const head = { status: 200, isUnprocessed: false, isGenuine: true, isEventStream: true };
    this.#dispatcher.onHeaders(now, id, attempt, head);
    this.#dispatcher.onData(now, id, attempt);
    this.#dispatcher.onComplete(now, id, attempt);
  }
}

function ceilToStep(timeMs: number): number {
  return Math.ceil(timeMs / STEP_MS) * STEP_MS;
}

function holdOf(model: string): { model: string; adapters: string[] } {
  return { model, adapters: [] };
}
