/** Many dispatchers before runners that work in batches, on virtual time: what no proxy alone can see shows here. */
import { mean } from 'simple-statistics';
import { later, moment, type Moment } from '../../common/ids.js';
import type { FleetRunner } from '../../placement/fleet.js';
import { Scheduler } from '../../rehearsal/scheduler.js';
import { Seeded } from '../../rehearsal/seeded.js';
import { Dispatcher, type DispatchEffect } from '../dispatcher.js';
import { BatchRunner } from './batch-runner.js';
import { headOf, ROUTING } from './dispatch-fixtures.js';

const ZONES = ['za', 'zb', 'zc'];
/** One way, within a zone and between two, ms; a new connection takes a round trip and a little. */
const NEAR_MS = 0.5;
const FAR_MS = 1.4;
const HANDSHAKE_MS = 1;
/** How many times as long a slow runner takes: some of a service's runners are slower, or others load them more. */
const SLOWNESS = 1.8;
const TICK_MS = 50;
/** So long after the last request all have surely ended. */
const SETTLING_MS = 10_000;
/** Means of the prompt, of which the shared part is as large as the deployments', and of the output, tokens. */
const SHARED_TOKENS = 155;
const OWN_TOKENS = 490;
const OUTPUT_TOKENS = 70;

/** The size of a fleet and what it is asked for. */
export interface ProxyFleetOptions {
  readonly proxies: number;
  /** Runners of the one model; they are spread over the zones. */
  readonly runners: number;
  /** So many of the runners take longer for each step. */
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

/** A fleet of proxies and runners. */
export class ProxyFleet {
  readonly #options: ProxyFleetOptions;
  readonly #random: Seeded;
  readonly #runners = new Map<string, BatchRunner>();
  readonly #facts: FleetRunner[] = [];
  readonly #proxies: Proxy[] = [];
  readonly #pending = new Map<number, PendingRequest>();
  readonly #scheduler = new Scheduler();
  #lastRequestId = 0;

  constructor(options: ProxyFleetOptions) {
    this.#options = options;
    this.#random = new Seeded(options.seed);
    for (let index = 0; index < options.runners; index += 1) this.#addRunner(index);
    for (let index = 0; index < options.proxies; index += 1) this.#addProxy(index);
  }

  /** How many requests a slow runner got against the others. */
  get slowRunnersShare(): number {
    const arrivals = [...this.#runners.values()].map((runner) => runner.arrivals);
    const { slowRunners } = this.#options;
    return mean(arrivals.slice(0, slowRunners)) / mean(arrivals.slice(slowRunners));
  }

  /** Lets requests arrive for so long, ms, and ends a while after the last. */
  run(forMs: number): void {
    const until = later(this.#now, forMs);
    this.#arrive(until);
    this.#tick(until);
    this.#scheduler.runUntil(later(until, SETTLING_MS));
  }

  #addRunner(index: number): void {
    const id = `runner-${index}`;
    const zone = ZONES[index % ZONES.length] ?? '';
    this.#facts.push({
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
        (delayMs, callback) => this.#later(delayMs, callback),
        index < this.#options.slowRunners ? SLOWNESS : 1,
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
      runners: this.#facts,
      waits: [],
    });
    this.#proxies.push({ id, dispatcher, idleConnections });
  }

  get #now(): Moment {
    return moment(this.#scheduler.now);
  }

  #later(delayMs: number, run: () => void): void {
    this.#scheduler.after(delayMs, run);
  }

  #arrive(until: Moment): void {
    if (this.#now >= until) return;
    this.#request();
    const meanMs = 1000 / this.#options.requestsPerSecond;
    this.#later(-Math.log(1 - this.#random.next()) * meanMs, () => this.#arrive(until));
  }

  #tick(until: Moment): void {
    for (const proxy of this.#proxies) {
      proxy.dispatcher.tick(this.#now);
      this.#obey(proxy);
    }
    if (this.#now < until) this.#later(TICK_MS, () => this.#tick(until));
  }

  #request(): void {
    const proxy = this.#random.pick(this.#proxies);
    if (!proxy) return;
    this.#lastRequestId += 1;
    const id = this.#lastRequestId;
    const promptTokens = SHARED_TOKENS + Math.round(this.#random.between(0, 2 * OWN_TOKENS));
    const outputTokens = Math.ceil(this.#random.between(0, 2 * OUTPUT_TOKENS));
    this.#pending.set(id, { promptTokens, outputTokens });
    const prefix = [
      { id: `shared-${this.#random.below(100)}`, tokens: SHARED_TOKENS },
      { id: `own-${id}`, tokens: promptTokens - SHARED_TOKENS },
    ];
    proxy.dispatcher.onRequest(this.#now, headOf(id, { promptTokens, prefix }));
    this.#obey(proxy);
  }

  #obey(proxy: Proxy): void {
    for (const effect of proxy.dispatcher.drainEffects())
      if (effect.do === 'send') this.#connect(proxy, effect);
  }

  #connect(proxy: Proxy, effect: DispatchEffect & { readonly do: 'send' }): void {
    const runner = this.#facts.find(({ id }) => id === effect.runner);
    const linkMs = runner?.zone === ZONES[proxy.id % ZONES.length] ? NEAR_MS : FAR_MS;
    const idle = proxy.idleConnections.get(effect.address) ?? 0;
    if (idle > 0) proxy.idleConnections.set(effect.address, idle - 1);
    this.#later(idle > 0 ? 0 : 2 * linkMs + HANDSHAKE_MS, () => {
      if (proxy.dispatcher.onConnect(this.#now, effect.id, effect.attempt))
        this.#later(linkMs, () => this.#begin(proxy, effect, linkMs));
      this.#obey(proxy);
    });
  }

  #begin(proxy: Proxy, effect: DispatchEffect & { readonly do: 'send' }, linkMs: number): void {
    const request = this.#pending.get(effect.id);
    if (!request) return;
    const { id, attempt, address } = effect;
    const { dispatcher, idleConnections } = proxy;
    this.#runners.get(effect.runner)?.add({
      promptTokens: request.promptTokens,
      outputTokens: request.outputTokens,
      hasStarted: false,
      onFirstToken: () =>
        this.#later(linkMs, () => {
          const head = {
            status: 200,
            isUnprocessed: false,
            isGenuine: true,
            isEventStream: true,
          };
          dispatcher.onHeaders(this.#now, id, attempt, head);
          dispatcher.onData(this.#now, id, attempt);
          this.#obey(proxy);
        }),
      onEnd: () =>
        this.#later(linkMs, () => {
          dispatcher.onComplete(this.#now, id, attempt);
          idleConnections.set(address, (idleConnections.get(address) ?? 0) + 1);
          this.#obey(proxy);
        }),
    });
  }
}
