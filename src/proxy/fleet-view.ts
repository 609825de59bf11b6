import type { Moment } from '../common/ids.js';
import type { Fleet } from '../placement/fleet.js';
import { LeavingMarks } from './leaving-marks.js';
import { RunnerAccount } from './runner-account.js';

const NO_RUNNERS: readonly RunnerAccount[] = [];

/** The runners as the leader told of them last, and the zones that operators have evacuated. */
export class FleetView {
  readonly #accounts = new Map<string, RunnerAccount>();
  readonly #byService = new Map<string, RunnerAccount[]>();
  readonly #leaving = new LeavingMarks();
  #evacuated = new Set<string>();
  #flows = 1;
  #isKnown = false;

  /** Whether the leader has told of the fleet at all. */
  get isKnown(): boolean {
    return this.#isKnown;
  }
  /** How many proxies share what holds over the whole fleet, at least 1. */
  get flows(): number {
    return this.#flows;
  }

  /** From now on nothing new goes to runners in these zones, and in no others for that reason. */
  evacuate(zones: readonly string[]): void {
    this.#evacuated = new Set(zones);
  }

  /** Takes up what the leader tells of the fleet. */
  update(now: Moment, fleet: Fleet): void {
    this.#isKnown = true;
    this.#flows = Math.max(1, fleet.flows);
    const listed = new Set<string>();
    for (const facts of fleet.runners) {
      listed.add(facts.id);
      const known = this.#accounts.get(facts.id);
      if (known) known.update(now, facts);
      else this.#accounts.set(facts.id, new RunnerAccount(now, facts));
    }
    this.#unlistOthers(listed);
    this.#groupByService();
    this.#leaving.follow(now, fleet);
  }

  /** Takes ids of runners that leave, as told past the leader; no later word takes that back. */
  markLeaving(now: Moment, runners: readonly string[]): void {
    this.#leaving.add(now, runners);
  }

  /** What runs at a runner that is off the list goes on until its connection tells. */
  #unlistOthers(listed: ReadonlySet<string>): void {
    for (const [id, account] of this.#accounts) {
      if (listed.has(id)) continue;
      if (account.requests === 0) this.#accounts.delete(id);
      else account.unlist();
    }
  }

  #groupByService(): void {
    this.#byService.clear();
    for (const account of this.#accounts.values()) {
      const { service } = account.facts;
      const known = this.#byService.get(service);
      if (known) known.push(account);
      else this.#byService.set(service, [account]);
    }
  }

  /** The runner of that id; one that is off the list is known for as long as something of ours is at it. */
  runner(id: string): RunnerAccount | undefined {
    return this.#accounts.get(id);
  }

  /** The runners of a service. */
  runnersOf(service: string): readonly RunnerAccount[] {
    return this.#byService.get(service) ?? NO_RUNNERS;
  }

  /** Whether anything new may go to the runner: it is not known to be leaving, nor is its zone evacuated. */
  isOpen(runner: RunnerAccount): boolean {
    const { id, zone, isLeaving } = runner.facts;
    return !isLeaving && !this.#leaving.has(id) && !this.#evacuated.has(zone);
  }
}
