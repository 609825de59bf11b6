import type { History } from './history.js';
import { diagnoseRegister, diagnoseZone, registerRun } from './diagnosis.js';
import {
  settingsOf,
  viewOf,
  type HistoryOptions,
  type KnownZoneOrder,
  type ZoneView,
} from './orders.js';
import { judgeRegister } from './register-rules.js';
import { searchRegister } from './register-search.js';
import type { Violation } from './violation.js';
import { isZoneLegal, zoneCandidateOf } from './zone-search.js';

/**
 * Judges what operators saw of a run against the sequential model: one register of configurations that changes by
 * compare-and-set on the version an order builds on, a set of evacuated zones, and reads of both. The register and
 * each zone are judged separately, as every order touches one of them alone and linearizability is local; a read counts
 * as one read of each, with a moment of its own for each.
 *
 * An order that was accepted takes effect once, between its first sending and the moment when its acceptance first
 * reached the operator. One that never got a clear answer takes effect until a bounded time after its last attempt, or
 * never. A refusal needs a moment inside its attempt at which the order's base was not in force and the order itself
 * had not been accepted.
 *
 * Evacuations and their ends name no version, so that a copy of one cannot be told from the order meant anew. Each
 * copy may therefore take effect, all within the span of the order, and at least one does.
 */
export function checkHistory(history: History, options: HistoryOptions = {}): readonly Violation[] {
  const settings = settingsOf(options);
  const view = viewOf(history, settings);
  const violations = judgeRegister(view.changes, history.reads, settings.amend);
  if (violations.length === 0) {
    const run = registerRun(view.changes, history.reads, settings.amend);
    const { isLegal, reached } = searchRegister(run);
    if (!isLegal) violations.push(diagnoseRegister(run, reached));
  }
  for (const zone of view.zones) violations.push(...judgeZone(zone));
  return violations;
}

function judgeZone(view: ZoneView): Violation[] {
  const violations: Violation[] = [];
  for (const order of view.orders) violations.push(...judgeZoneRefusals(order));
  const run = { orders: view.orders.map(zoneCandidateOf), reads: view.reads };
  if (!isZoneLegal(run)) violations.push(diagnoseZone(view));
  return violations;
}

/** An evacuation and its end build on nothing, so that nothing is a reason to refuse them. */
function judgeZoneRefusals(order: KnownZoneOrder): Violation[] {
  const violations: Violation[] = [];
  for (const { record, sentAt, endedAt } of order.refusals) {
    const isAfter = order.acceptedAt !== undefined && sentAt > order.acceptedAt;
    const rule = isAfter ? 'refused-after-accepted' : 'refused-without-cause';
    violations.push({ rule, order: record, refusedAt: endedAt });
  }
  return violations;
}
