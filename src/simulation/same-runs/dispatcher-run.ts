import { moment, type Moment } from '../../common/ids.js';
import { Dispatcher, type DispatchEffect, type RequestHead } from '../../proxy/dispatcher.js';
import { SeededRandom } from '../../rehearsal/seeded-random.js';
import type { Routing } from '../../route/routing.js';
import { DrawnAttempts } from './drawn-attempts.js';
import { DrawnFleet } from './drawn-fleet.js';
import { drawHead } from './drawn-request.js';
import { drawRouting, ZONES } from './drawn-routing.js';
import { countValues, effectValues } from './dispatcher-values.js';
import { TraceDigest, type TraceLog } from './trace-digest.js';

const STEPS = 4000;
/** Steps and share of runs that end early: such a process may not have its configuration yet. */
const SHORT_RUN_STEPS = 200;
const SHORT_RUN_SHARE = 0.1;
const MAX_STEP_MS = 6;
const TICK_MS = 50;
/** How long the process is paused now and then, without ticks. */
const MIN_PAUSE_MS = 160;
const MAX_PAUSE_MS = 900;
/** The proxy has a configuration and a fleet by this time. */
const MAX_START_MS = 1000;
const STEPS_PER_REPORT = 60;
const SETTINGS = {
  proxyId: 'flow@1',
  zone: 'zone-a',
  retry: { ratio: 0.1, extra: 10, windowMs: 5000 },
  warmupExcess: 1.5,
  connectTimeoutMs: 400,
} as const;
/** Separates the random numbers of the dispatcher from those of its environment. */
const DISPATCHER_SEED_OFFSET = 1_000_003;
const NAME = 'dispatcher';

/** A dispatcher alone with random requests, runner responses, faults and fleet updates. */
class DispatcherRun {
  readonly #random: SeededRandom;
  readonly #digest: TraceDigest;
  readonly #dispatcher: Dispatcher;
  readonly #attempts: DrawnAttempts;
  readonly #fleet: DrawnFleet;
  readonly #modelCount: number;
  readonly #idle = new Set<string>();
  readonly #clients = new Set<number>();
  readonly #configureAt: number;
  readonly #fleetAt: number;
  #routing: Routing;
  #now = 0;
  #tickAt = 0;
  #requestCount = 0;

  constructor(seed: number, digest: TraceDigest) {
    const random = new SeededRandom(seed);
    const dispatcherRandom = new SeededRandom(seed + DISPATCHER_SEED_OFFSET);
    this.#random = random;
    this.#digest = digest;
    this.#modelCount = 2 + random.below(6);
    this.#routing = drawRouting(random, 1, this.#modelCount);
    this.#fleet = new DrawnFleet(random, this.#modelCount);
    this.#configureAt = random.below(MAX_START_MS);
    this.#fleetAt = random.below(MAX_START_MS);
    this.#dispatcher = new Dispatcher({
      ...SETTINGS,
      hasIdleConnection: (address) => this.#idle.has(address),
      random: () => dispatcherRandom.next(),
    });
    this.#attempts = new DrawnAttempts(random, this.#dispatcher, digest);
  }

  run(): void {
    const steps = this.#random.isLikely(SHORT_RUN_SHARE) ? SHORT_RUN_STEPS : STEPS;
    for (let step = 1; step <= steps; step += 1) {
      this.#advanceTime();
      this.#performAction();
      this.#performEffects();
      if (step % STEPS_PER_REPORT === 0) this.#report();
    }
    this.#dispatcher.startDraining();
    this.#report();
    this.#dispatcher.abortAll();
    this.#performEffects();
    this.#report();
  }

  get #at(): Moment {
    return moment(this.#now);
  }

  /** Advances the time and delivers the ticks and the first configuration and fleet when they are due. */
  #advanceTime(): void {
    const random = this.#random;
    const before = this.#now;
    this.#now += random.between(0, MAX_STEP_MS);
    if (random.isLikely(0.001)) {
      this.#now += random.between(MIN_PAUSE_MS, MAX_PAUSE_MS);
    }
    if (this.#isDue(before, this.#configureAt)) this.#configure();
    if (this.#isDue(before, this.#fleetAt)) {
      this.#dispatcher.onFleet(this.#at, this.#fleet.fleet);
    }
    if (this.#now < this.#tickAt) return;
    this.#tickAt = this.#now + TICK_MS;
    this.#dispatcher.tick(this.#at);
    this.#performEffects();
  }

  #isDue(before: number, due: number): boolean {
    return before <= due && due < this.#now;
  }

  #performAction(): void {
    const draw = this.#random.next();
    if (draw < 0.14) this.#sendRequest();
    else if (draw < 0.94) this.#attempts.advance(this.#at);
    else if (draw < 0.96) this.#disconnectClient();
    else if (draw < 0.97) this.#toggleIdleConnection();
    else if (this.#now > MAX_START_MS) this.#changeCluster();
  }

  #sendRequest(): void {
    this.#requestCount += 1;
    const head: RequestHead = drawHead(this.#random, this.#requestCount, this.#modelCount);
    this.#clients.add(head.id);
    this.#dispatcher.onRequest(this.#at, head);
  }

  #disconnectClient(): void {
    const id = this.#random.pick([...this.#clients]);
    if (id === undefined) return;
    this.#clients.delete(id);
    this.#attempts.end(id);
    this.#dispatcher.onClientDisconnect(this.#at, id);
  }

  #toggleIdleConnection(): void {
    const address = this.#random.pick(this.#fleet.runners)?.address ?? '';
    if (!this.#idle.delete(address)) this.#idle.add(address);
  }

  #changeCluster(): void {
    const draw = this.#random.next();
    if (draw < 0.75) {
      this.#fleet.change();
      this.#dispatcher.onFleet(this.#at, this.#fleet.fleet);
    } else if (draw < 0.9) {
      if (draw < 0.8) {
        this.#routing = drawRouting(this.#random, this.#routing.version + 1, this.#modelCount);
      }
      this.#configure();
    } else {
      const runner = this.#random.pick(this.#fleet.runners);
      if (runner) this.#dispatcher.onDrainingRunners(this.#at, [runner.id]);
    }
  }

  #configure(): void {
    const random = this.#random;
    const evacuated = random.isLikely(0.3) ? [random.pick(ZONES) ?? ''] : [];
    this.#dispatcher.onConfiguration(this.#at, this.#routing, evacuated);
  }

  #performEffects(): void {
    for (const effect of this.#dispatcher.drainEffects()) {
      this.#digest.record(this.#now, NAME, 'effect', effectValues(effect));
      this.#performEffect(effect);
    }
    if (this.#dispatcher.takeUrgentDemand()) this.#digest.record(this.#now, NAME, 'urgent', []);
  }

  #performEffect(effect: DispatchEffect): void {
    switch (effect.do) {
      case 'send':
        this.#attempts.start(effect.id, effect.attempt);
        break;
      case 'forward':
        this.#attempts.startResponse(effect.id);
        break;
      case 'cancel':
        this.#attempts.end(effect.id);
        break;
      case 'reject':
      case 'fail':
        this.#clients.delete(effect.id);
        this.#attempts.end(effect.id);
        break;
    }
  }

  #report(): void {
    const { counts, inFlight, isReady, isDraining } = this.#dispatcher;
    const values = [inFlight, isReady, isDraining, ...countValues(counts)];
    this.#digest.record(this.#now, NAME, 'counts', values);
    // The demand goes to the leader as JSON: its names are part of the wire format.
    const demand = JSON.stringify(this.#dispatcher.takeDemandReport(this.#at));
    this.#digest.record(this.#now, NAME, 'demand', [demand]);
  }
}

/** Runs a dispatcher for a seed and returns the digest of everything it does. */
export function runDispatcher(seed: number, log?: TraceLog): string {
  const digest = new TraceDigest(log);
  new DispatcherRun(seed, digest).run();
  return digest.finish();
}
