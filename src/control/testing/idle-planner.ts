import type { Moment } from '../../common/ids.js';
import type { Fleet, ListedRunner } from '../../placement/fleet.js';
import type { Intent, ServiceDoc } from '../../placement/shapes.js';
import type { FleetPlanner } from '../control-effect.js';

/** A planner that plans nothing, for tests of the control node's other parts; what differs is overridden. */
export class IdlePlanner implements FleetPlanner {
  #proxyCount = 1;

  restore(_now: Moment, _docs: readonly ServiceDoc[]): void {
    /* nothing kept */
  }
  docs(): readonly ServiceDoc[] {
    return [];
  }
  onDemand(): void {
    /* not told */
  }
  onRunnerList(_now: Moment, _runners: readonly ListedRunner[]): void {
    /* not told */
  }
  onRunnerStatus(): void {
    /* not told */
  }
  takeDueReportRequests(): readonly string[] {
    return [];
  }
  plan(_now: Moment, { proxies }: { readonly proxies: number }): readonly string[] {
    this.#proxyCount = proxies;
    return [];
  }
  takeDueOrders(): readonly Intent[] {
    return [];
  }
  markPersisted(): void {
    /* nothing kept */
  }
  onOrderOutcome(): void {
    /* nothing ordered */
  }
  fleet(): Fleet {
    return { flows: this.#proxyCount, runners: [], waits: [] };
  }
  nextPlanAt(): Moment | undefined {
    return undefined;
  }
}
