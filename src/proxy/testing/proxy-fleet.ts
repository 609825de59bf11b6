/** Many dispatchers in front of batching runners, on virtual time: shows effects that no single proxy can observe. */
import { mean } from 'simple-statistics';
import { later, moment, type Moment } from '../../common/ids.js';
import type { FleetRunner } from '../../placement/fleet.js';
import { Scheduler } from '../../rehearsal/scheduler.js';
import { SeededRandom } from '../../rehearsal/seeded-random.js';
import { Dispatcher, type DispatchEffect } from '../dispatcher.js';
import { BatchRunner } from './batch-runner.js';
import { headOf, ROUTING } from './dispatch-fixtures.js';

const ZONES = ['za', 'zb', 'zc'];
/** One-way network latency within a zone and between two zones, ms. */
const SAME_ZONE_LATENCY_MS = 0.5;
const CROSS_ZONE_LATENCY_MS = 1.4;
/** What a new connection takes beyond a round trip, ms. */
const CONNECT_OVERHEAD_MS = 1;
/** The duration of a slow runner's steps, relative to others: some runners are slower, or have other load as well. */
const SLOW_STEP_TIME_FACTOR = 1.8;
const TICK_MS = 50;
/** How long a run goes on after its last request; all requests have ended by then. */
const SETTLING_MS = 10_000;
/** The prompt's shared part, which is as large as in deployments, and the means of its other part and of the output, tokens. */
const SHARED_TOKENS = 155;
const MEAN_UNSHARED_TOKENS = 490;
const MEAN_OUTPUT_TOKENS = 70;

/** The size of a fleet and its load. */
export interface ProxyFleetOptions {
  readonly proxies: number;
  /** The number of runners, which all have the same model and are spread over the zones. */
  readonly runners: number;
  /** The number of runners whose steps take longer. */
  readonly slowRunners: number;
  readonly requestsPerSecond: number;
  readonly seed: number;
}

interface Proxy {
  readonly id: number;
  readonly dispatcher: Dispatcher;
  readonly idleConnections: Map<string, number>;
}

interface PendingRequest {
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** A simulated fleet of proxies and runners. */
export class ProxyFleet {
  readonly #options: ProxyFleetOptions;
  readonly #random: SeededRandom;
  readonly #runners = new Map<string, BatchRunner>();
  readonly #fleetRunners: FleetRunner[] = [];
  readonly #proxies: Proxy[] = [];
  readonly #pending = new Map<number, PendingRequest>();
  readonly #scheduler = new Scheduler();
  #lastRequestId = 0;

  constructor(options: ProxyFleetOptions) {
    this.#options = options;
    this.#random = new SeededRandom(options.seed);
    for (let index = 0; index < options.runners; index += 1) this.#addRunner(index);
    for (let index = 0; index < options.proxies; index += 1) this.#addProxy(index);
  }

  /** The mean number of requests per slow runner, divided by that of the other runners. */
  get slowRunnersShare(): number {
    const arrivals = [...this.#runners.values()].map((runner) => runner.arrivalCount);
    const { slowRunners } = this.#options;
    return mean(arrivals.slice(0, slowRunners)) / mean(arrivals.slice(slowRunners));
  }

  /** Sends requests for a duration, ms, and then lets them end. */
  run(durationMs: number): void {
    const until = later(this.#now, durationMs);
    this.#sendRequestsUntil(until);
    this.#tick(until);
    this.#scheduler.runUntil(later(until, SETTLING_MS));
  }

  #addRunner(index: number): void {
    const id = `runner-${index}`;
    const zone = ZONES[index % ZONES.length] ?? '';
    this.#fleetRunners.push({
      id,
      address: `${id}:1`,
      zone,
      service: 'llm',
      slots: 48,
      isLeaving: false,
      coldMs: 0,
      holds: [{ model: 'm', adapters: [] }],
      coming: [],
    });
    this.#runners.set(
      id,
      new BatchRunner(
        (delayMs, callback) => this.#schedule(delayMs, callback),
        index < this.#options.slowRunners ? SLOW_STEP_TIME_FACTOR : 1,
      ),
    );
  }

  #addProxy(id: number): void {
    const idleConnections = new Map<string, number>();
    const dispatcher = new Dispatcher({
      proxyId: `proxy-${id}`,
      zone: ZONES[id % ZONES.length] ?? '',
      retry: { ratio: 0.2, extra: 50, windowMs: 10_000 },
      warmupExcess: 1.5,
      connectTimeoutMs: 300,
      hasIdleConnection: (address) => (idleConnections.get(address) ?? 0) > 0,
      random: () => this.#random.next(),
    });
    dispatcher.onConfiguration(this.#now, ROUTING, []);
    dispatcher.onFleet(this.#now, {
      flows: this.#options.proxies,
      runners: this.#fleetRunners,
      waits: [],
    });
    this.#proxies.push({ id, dispatcher, idleConnections });
  }

  get #now(): Moment {
    return moment(this.#scheduler.now);
  }

  #schedule(delayMs: number, callback: () => void): void {
    this.#scheduler.after(delayMs, callback);
  }

  #sendRequestsUntil(until: Moment): void {
    if (this.#now >= until) return;
    this.#sendRequest();
    const meanMs = 1000 / this.#options.requestsPerSecond;
    this.#schedule(-Math.log(1 - this.#random.next()) * meanMs, () =>
      this.#sendRequestsUntil(until),
    );
  }

  #tick(until: Moment): void {
    for (const proxy of this.#proxies) {
      proxy.dispatcher.tick(this.#now);
      this.#applyEffects(proxy);
    }
    if (this.#now < until) this.#schedule(TICK_MS, () => this.#tick(until));
  }

  #sendRequest(): void {
    const proxy = this.#random.pick(this.#proxies);
    if (!proxy) return;
    this.#lastRequestId += 1;
    const id = this.#lastRequestId;
    const promptTokens =
      SHARED_TOKENS + Math.round(this.#random.between(0, 2 * MEAN_UNSHARED_TOKENS));
    const outputTokens = Math.ceil(this.#random.between(0, 2 * MEAN_OUTPUT_TOKENS));
    this.#pending.set(id, { promptTokens, outputTokens });
    const prefix = [
      { id: `shared-${this.#random.below(100)}`, tokens: SHARED_TOKENS },
      { id: `own-${id}`, tokens: promptTokens - SHARED_TOKENS },
    ];
    proxy.dispatcher.onRequest(this.#now, headOf(id, { promptTokens, prefix }));
    this.#applyEffects(proxy);
  }

  #applyEffects(proxy: Proxy): void {
    for (const effect of proxy.dispatcher.drainEffects())
      if (effect.do === 'send') this.#connect(proxy, effect);
  }

  #connect(proxy: Proxy, effect: DispatchEffect & { readonly do: 'send' }): void {
    const runner = this.#fleetRunners.find(({ id }) => id === effect.runner);
    const latencyMs =
      runner?.zone === ZONES[proxy.id % ZONES.length]
        ? SAME_ZONE_LATENCY_MS
        : CROSS_ZONE_LATENCY_MS;
    const idleCount = proxy.idleConnections.get(effect.address) ?? 0;
    if (idleCount > 0) proxy.idleConnections.set(effect.address, idleCount - 1);
    this.#schedule(idleCount > 0 ? 0 : 2 * latencyMs + CONNECT_OVERHEAD_MS, () => {
      if (proxy.dispatcher.onConnect(this.#now, effect.id, effect.attempt))
        this.#schedule(latencyMs, () => this.#startRun(proxy, effect, latencyMs));
      this.#applyEffects(proxy);
    });
  }

  #startRun(
    proxy: Proxy,
    effect: DispatchEffect & { readonly do: 'send' },
    latencyMs: number,
  ): void {
    const request = this.#pending.get(effect.id);
    if (!request) return;
    const { id, attempt, address } = effect;
    const { dispatcher, idleConnections } = proxy;
    this.#runners.get(effect.runner)?.add({
      promptTokens: request.promptTokens,
      outputTokens: request.outputTokens,
      hasStarted: false,
      onFirstToken: () =>
        this.#schedule(latencyMs, () => {
          const head = {
            status: 200,
            isUnprocessed: false,
            isGenuine: true,
            isEventStream: true,
          };
          dispatcher.onHeaders(this.#now, id, attempt, head);
          dispatcher.onData(this.#now, id, attempt);
          this.#applyEffects(proxy);
        }),
      onEnd: () =>
        this.#schedule(latencyMs, () => {
          dispatcher.onComplete(this.#now, id, attempt);
          idleConnections.set(address, (idleConnections.get(address) ?? 0) + 1);
          this.#applyEffects(proxy);
        }),
    });
  }
}
