import type { History } from './history.js';
import { diagnoseRegister, diagnoseZone, registerRun } from './diagnosis.js';
import {
  settingsOf,
  viewOf,
  type HistoryOptions,
  type KnownZoneOrder,
  type ZoneView,
} from './orders.js';
import { checkRegisterRules } from './register-rules.js';
import { searchRegister } from './register-search.js';
import type { Violation } from './violation.js';
import { isZoneLegal, zoneCandidateOf } from './zone-search.js';

/**
 * Checks a history against the sequential model and returns the violations; a legal history has none. The model is one
 * register of configurations that changes by compare-and-set on the base version of an order, a set of evacuated zones,
 * and reads of both. The register and each zone are checked separately, because every order affects only one of them
 * and linearizability is local; a read counts as one read of each, with its own point in time for each.
 *
 * An accepted order takes effect once, between its first attempt and the time when its acceptance first reached the
 * operator. An order without a definite answer takes effect within a bounded time after its last attempt, or never. A
 * refusal needs a point in time within its attempt at which the order's base was not in force and the order itself had
 * not been accepted.
 *
 * Evacuations and restores name no version, so a copy of one can't be distinguished from a new order. Each copy may
 * therefore take effect within the span of the order, and at least one does if the order was accepted.
 */
export function checkHistory(history: History, options: HistoryOptions = {}): readonly Violation[] {
  const settings = settingsOf(options);
  const view = viewOf(history, settings);
  const violations = checkRegisterRules(view.changes, history.reads, settings.amend);
  if (violations.length === 0) {
    const run = registerRun(view.changes, history.reads, settings.amend);
    const { isLegal, reached } = searchRegister(run);
    if (!isLegal) violations.push(diagnoseRegister(run, reached));
  }
  for (const zone of view.zones) violations.push(...checkZone(zone));
  return violations;
}

function checkZone(view: ZoneView): Violation[] {
  const violations: Violation[] = [];
  for (const order of view.orders) violations.push(...checkZoneRefusals(order));
  const run = { orders: view.orders.map(zoneCandidateOf), reads: view.reads };
  if (!isZoneLegal(run)) violations.push(diagnoseZone(view));
  return violations;
}

/** Evacuations and restores have no base version, so there is no reason to refuse them. */
function checkZoneRefusals(order: KnownZoneOrder): Violation[] {
  const violations: Violation[] = [];
  for (const { record, sentAt, endedAt } of order.refusals) {
    const isAfter = order.acceptedAt !== undefined && sentAt > order.acceptedAt;
    const rule = isAfter ? 'refused-after-accepted' : 'refused-without-cause';
    violations.push({ rule, order: record, refusedAt: endedAt });
  }
  return violations;
}
