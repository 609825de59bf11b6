import type { Moment } from '../common/ids.js';
import type { Fleet } from '../placement/fleet.js';
import { DrainingRunners } from './draining-runners.js';
import { PublishedProxyCount } from './published-proxy-count.js';
import { TrackedRunner } from './tracked-runner.js';

const NO_RUNNERS: readonly TrackedRunner[] = [];

/** The runners as the leader last reported them, the runners that are draining, and the evacuated zones. */
export class FleetView {
  readonly #runners = new Map<string, TrackedRunner>();
  /** The number of proxies that share fleet-wide limits. */
  readonly proxyCount = new PublishedProxyCount();
  readonly #byService = new Map<string, TrackedRunner[]>();
  readonly #draining = new DrainingRunners();
  #evacuatedZones = new Set<string>();
  #isKnown = false;

  /** Whether a snapshot of the fleet has arrived. */
  get isKnown(): boolean {
    return this.#isKnown;
  }

  /** Replaces the evacuated zones; runners in them get no new requests. */
  setEvacuatedZones(zones: readonly string[]): void {
    this.#evacuatedZones = new Set(zones);
  }

  /** Applies a new snapshot of the fleet. */
  update(now: Moment, fleet: Fleet): void {
    this.#isKnown = true;
    this.proxyCount.set(now, fleet.flows);
    const listed = new Set<string>();
    for (const info of fleet.runners) {
      listed.add(info.id);
      const known = this.#runners.get(info.id);
      if (known) known.update(now, info);
      else this.#runners.set(info.id, new TrackedRunner(now, info));
    }
    this.#removeUnlisted(listed);
    this.#groupByService();
    this.#draining.update(now, fleet);
  }

  /** Marks runners as draining that were reported so outside the snapshots; no later snapshot revokes that. */
  markDraining(now: Moment, runners: readonly string[]): void {
    this.#draining.add(now, runners);
  }

  /** Removes runners that are no longer listed; those that still process requests of this proxy are only marked. */
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
      const { service } = runner.info;
      const known = this.#byService.get(service);
      if (known) known.push(runner);
      else this.#byService.set(service, [runner]);
    }
  }

  /** The runner with the id. A runner that is no longer listed is found while it processes requests of this proxy. */
  runner(id: string): TrackedRunner | undefined {
    return this.#runners.get(id);
  }

  /** The runners of a service. */
  runnersOf(service: string): readonly TrackedRunner[] {
    return this.#byService.get(service) ?? NO_RUNNERS;
  }

  /** Whether the runner may get new requests: it is not draining, and its zone is not evacuated. */
  acceptsRequests(runner: TrackedRunner): boolean {
    const { id, zone, isLeaving } = runner.info;
    return !isLeaving && !this.#draining.has(id) && !this.#evacuatedZones.has(zone);
  }
}
