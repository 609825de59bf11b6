import type { Moment } from '../common/ids.js';
import type { Fleet } from '../placement/fleet.js';
import { DrainingRunners } from './draining-runners.js';
import { PublishedProxyCount } from './published-proxy-count.js';
import { TrackedRunner } from './tracked-runner.js';

const NO_RUNNERS: readonly TrackedRunner[] = [];

/** The runners as the leader last reported them, and the zones that operators have evacuated. */
export class FleetView {
  readonly #runners = new Map<string, TrackedRunner>();
  /** How many proxies share limits that hold over the fleet. */
  readonly proxyCount = new PublishedProxyCount();
  readonly #byService = new Map<string, TrackedRunner[]>();
  readonly #draining = new DrainingRunners();
  #evacuatedZones = new Set<string>();
  #isKnown = false;

  /** Whether a report on the fleet has arrived. */
  get isKnown(): boolean {
    return this.#isKnown;
  }

  /** From now on nothing new goes to runners in these zones, and in no others for that reason. */
  setEvacuatedZones(zones: readonly string[]): void {
    this.#evacuatedZones = new Set(zones);
  }

  /** Takes a new snapshot of the fleet. */
  update(now: Moment, fleet: Fleet): void {
    this.#isKnown = true;
    this.proxyCount.set(now, fleet.flows);
    const listed = new Set<string>();
    for (const facts of fleet.runners) {
      listed.add(facts.id);
      const known = this.#runners.get(facts.id);
      if (known) known.update(now, facts);
      else this.#runners.set(facts.id, new TrackedRunner(now, facts));
    }
    this.#removeUnlisted(listed);
    this.#groupByService();
    this.#draining.update(now, fleet);
  }

  /** Marks runners as draining, as reported past the leader; no later snapshot takes that back. */
  markDraining(now: Moment, runners: readonly string[]): void {
    this.#draining.add(now, runners);
  }

  /** A runner that is no longer listed stays known while requests of this proxy are at it. */
  #removeUnlisted(listed: ReadonlySet<string>): void {
    for (const [id, runner] of this.#runners) {
      if (listed.has(id)) continue;
      if (runner.inFlight === 0) this.#runners.delete(id);
      else runner.markUnlisted();
    }
  }

  #groupByService(): void {
    this.#byService.clear();
    for (const runner of this.#runners.values()) {
      const { service } = runner.facts;
      const known = this.#byService.get(service);
      if (known) known.push(runner);
      else this.#byService.set(service, [runner]);
    }
  }

  /** The runner of that id; one that is no longer listed is known while requests of this proxy are at it. */
  runner(id: string): TrackedRunner | undefined {
    return this.#runners.get(id);
  }

  /** The runners of a service. */
  runnersOf(service: string): readonly TrackedRunner[] {
    return this.#byService.get(service) ?? NO_RUNNERS;
  }

  /** Whether the runner may get new requests: it is not draining, and its zone is not evacuated. */
  acceptsRequests(runner: TrackedRunner): boolean {
    const { id, zone, isLeaving } = runner.facts;
    return !isLeaving && !this.#draining.has(id) && !this.#evacuatedZones.has(zone);
  }
}
