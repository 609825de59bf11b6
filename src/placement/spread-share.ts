import type { PlannerSettings } from './planner-settings.js';
import type { ServiceState } from './planner-records.js';

/** The load time to which `spreadShare` of the settings refers, ms. */
const REFERENCE_LOAD_MS = 600;
const SPREAD_EXPONENT = 1 / 4;

/**
 * The share of a service's runners over which models are spread by their share of requests.
 *
 * Replicas beyond the need shorten queues, but take the memory of rare models, each of which then needs a load when it
 * is requested. In simulations, the share of late requests falls with about the third power of the number of replicas
 * (docs/decisions.md). For a load time L, the minimum of `a / s^3 + b L s` lies at an `s` proportional to L^(-1/4): the
 * longer loads take, the fewer replicas are kept beyond the need.
 */
export function spreadShareOf(service: ServiceState, settings: PlannerSettings): number {
  let totalMs = 0;
  for (const model of service.engine.models) totalMs += model.loadMs;
  const loadMs = (totalMs / Math.max(1, service.engine.models.length)) * service.storeFactor;
  return (
    settings.spreadShare * Math.min(1, (REFERENCE_LOAD_MS / Math.max(1, loadMs)) ** SPREAD_EXPONENT)
  );
}
