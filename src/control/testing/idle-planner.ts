import type { Moment } from '../../common/ids.js';
import type { Fleet, ListedRunner } from '../../placement/fleet.js';
import type { Intent, ServiceDoc } from '../../placement/shapes.js';
import type { FleetPlanner } from '../control-effect.js';

/** A planner that plans nothing, for tests of other components of the control node, which override its methods as needed. */
export class IdlePlanner implements FleetPlanner {
  #proxyCount = 1;

  restore(_now: Moment, _docs: readonly ServiceDoc[]): void {
    /* ignored */
  }
  docs(): readonly ServiceDoc[] {
    return [];
  }
  onDemand(): void {
    /* ignored */
  }
  onRunnerList(_now: Moment, _runners: readonly ListedRunner[]): void {
    /* ignored */
  }
  onRunnerStatus(): void {
    /* ignored */
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
    /* ignored */
  }
  onOrderOutcome(): void {
    /* ignored */
  }
  fleet(): Fleet {
    return { flows: this.#proxyCount, runners: [], waits: [] };
  }
  nextPlanAt(): Moment | undefined {
    return undefined;
  }
}
