import { moment, type Moment } from '../../common/ids.js';
import { Dispatcher, type DispatchEffect, type RequestHead } from '../../proxy/dispatcher.js';
import { Seeded } from '../../rehearsal/seeded.js';
import type { Routing } from '../../route/routing.js';
import { DrawnAttempts } from './drawn-attempts.js';
import { DrawnFleet } from './drawn-fleet.js';
import { drawHead } from './drawn-request.js';
import { drawRouting, ZONES } from './drawn-routing.js';
import { countValues, effectValues } from './dispatcher-values.js';
import { TraceDigest, type TraceLog } from './trace-digest.js';

const STEPS = 4000;
/** A process that ends early may not know its configuration yet. */
const EARLY_STEPS = 200;
const EARLY_SHARE = 0.1;
const MOST_STEP_MS = 6;
const TICK_MS = 50;
/** So long the process stands still now and then: no tick comes meanwhile. */
const LEAST_STANDSTILL_MS = 160;
const MOST_STANDSTILL_MS = 900;
/** By then the proxy knows configuration and fleet. */
const MOST_START_MS = 1000;
const DEMAND_STEPS = 60;
const SETTINGS = {
  proxyId: 'flow@1',
  zone: 'zone-a',
  retry: { ratio: 0.1, extra: 10, windowMs: 5000 },
  warmupExcess: 1.5,
  connectTimeoutMs: 400,
} as const;
/** Keeps what the dispatcher draws apart from what its surroundings draw. */
const INNER_SEED = 1_000_003;
const NAME = 'dispatcher';

/** A dispatcher alone with drawn requests, runners' answers, faults and words on the fleet. */
class DispatcherRun {
  readonly #random: Seeded;
  readonly #digest: TraceDigest;
  readonly #dispatcher: Dispatcher;
  readonly #attempts: DrawnAttempts;
  readonly #fleet: DrawnFleet;
  readonly #models: number;
  readonly #idle = new Set<string>();
  readonly #clients = new Set<number>();
  readonly #configureAt: number;
  readonly #fleetAt: number;
  #routing: Routing;
  #now = 0;
  #tickAt = 0;
  #requests = 0;

  constructor(seed: number, digest: TraceDigest) {
    const random = new Seeded(seed);
    const inner = new Seeded(seed + INNER_SEED);
    this.#random = random;
    this.#digest = digest;
    this.#models = 2 + random.below(6);
    this.#routing = drawRouting(random, 1, this.#models);
    this.#fleet = new DrawnFleet(random, this.#models);
    this.#configureAt = random.below(MOST_START_MS);
    this.#fleetAt = random.below(MOST_START_MS);
    this.#dispatcher = new Dispatcher({
      ...SETTINGS,
      hasIdleConnection: (address) => this.#idle.has(address),
      random: () => inner.next(),
    });
    this.#attempts = new DrawnAttempts(random, this.#dispatcher, digest);
  }

  run(): void {
    const steps = this.#random.isLikely(EARLY_SHARE) ? EARLY_STEPS : STEPS;
    for (let step = 1; step <= steps; step += 1) {
      this.#pass();
      this.#act();
      this.#obey();
      if (step % DEMAND_STEPS === 0) this.#report();
    }
    this.#dispatcher.startDraining();
    this.#report();
    this.#dispatcher.abortAll();
    this.#obey();
    this.#report();
  }

  get #at(): Moment {
    return moment(this.#now);
  }

  /** Time passes, with the ticks and the first words that are due. */
  #pass(): void {
    const random = this.#random;
    const before = this.#now;
    this.#now += random.between(0, MOST_STEP_MS);
    if (random.isLikely(0.001)) {
      this.#now += random.between(LEAST_STANDSTILL_MS, MOST_STANDSTILL_MS);
    }
    if (this.#isDue(before, this.#configureAt)) this.#configure();
    if (this.#isDue(before, this.#fleetAt)) {
      this.#dispatcher.onFleet(this.#at, this.#fleet.fleet);
    }
    if (this.#now < this.#tickAt) return;
    this.#tickAt = this.#now + TICK_MS;
    this.#dispatcher.tick(this.#at);
    this.#obey();
  }

  #isDue(before: number, due: number): boolean {
    return before <= due && due < this.#now;
  }

  #act(): void {
    const draw = this.#random.next();
    if (draw < 0.14) this.#request();
    else if (draw < 0.94) this.#attempts.goOn(this.#at);
    else if (draw < 0.96) this.#leave();
    else if (draw < 0.97) this.#flipIdle();
    else if (this.#now > MOST_START_MS) this.#hearNews();
  }

  #request(): void {
    this.#requests += 1;
    const head: RequestHead = drawHead(this.#random, this.#requests, this.#models);
    this.#clients.add(head.id);
    this.#dispatcher.onRequest(this.#at, head);
  }

  #leave(): void {
    const id = this.#random.pick([...this.#clients]);
    if (id === undefined) return;
    this.#clients.delete(id);
    this.#attempts.end(id);
    this.#dispatcher.onClientDisconnect(this.#at, id);
  }

  #flipIdle(): void {
    const address = this.#random.pick(this.#fleet.runners)?.address ?? '';
    if (!this.#idle.delete(address)) this.#idle.add(address);
  }

  #hearNews(): void {
    const draw = this.#random.next();
    if (draw < 0.75) {
      this.#fleet.change();
      this.#dispatcher.onFleet(this.#at, this.#fleet.fleet);
    } else if (draw < 0.9) {
      if (draw < 0.8) {
        this.#routing = drawRouting(this.#random, this.#routing.version + 1, this.#models);
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

  #obey(): void {
    for (const effect of this.#dispatcher.drainEffects()) {
      this.#digest.record(this.#now, NAME, 'effect', effectValues(effect));
      this.#carryOut(effect);
    }
    if (this.#dispatcher.takeUrgentDemand()) this.#digest.record(this.#now, NAME, 'urgent', []);
  }

  #carryOut(effect: DispatchEffect): void {
    switch (effect.do) {
      case 'send':
        this.#attempts.begin(effect.id, effect.attempt);
        break;
      case 'forward':
        this.#attempts.pass(effect.id);
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
    // The demand goes to the leader as JSON: its names are on the wire.
    const demand = JSON.stringify(this.#dispatcher.takeDemandReport(this.#at));
    this.#digest.record(this.#now, NAME, 'demand', [demand]);
  }
}

/** Runs a dispatcher for a seed and digests all that it does. */
export function runDispatcher(seed: number, log?: TraceLog): string {
  const digest = new TraceDigest(log);
  new DispatcherRun(seed, digest).run();
  return digest.finish();
}
