/**
 * The violations that the history checker reports: each has the name of the broken rule and the records that show it.
 * Orders and reads are identified by the ids of their records.
 */

/** Two different orders with the same base version were both accepted. */
export interface TwoAccepted {
  readonly rule: 'two-accepted-on-one-base';
  readonly base: number;
  readonly orders: readonly number[];
}

/** An order was refused although it had been accepted, or had taken effect without a definite answer. */
export interface RefusedAfterAccepted {
  readonly rule: 'refused-after-accepted';
  readonly order: number;
  readonly refusedAt: number;
}

/** An order was refused although its base version was in force throughout the attempt. */
export interface RefusedForNoWinner {
  readonly rule: 'refused-for-a-winner-that-never-was';
  readonly order: number;
  readonly base: number;
  readonly refusedAt: number;
}

/** An order that is always legal was refused. */
export interface RefusedWithoutCause {
  readonly rule: 'refused-without-cause';
  readonly order: number;
  readonly refusedAt: number;
}

/** An order that is invalid whatever configuration is in force was accepted. */
export interface InvalidAccepted {
  readonly rule: 'invalid-accepted';
  readonly order: number;
}

/** The configuration of an invalid order was read. */
export interface InvalidInForce {
  readonly rule: 'invalid-in-force';
  readonly read: number;
  readonly order: number;
}

/** The configuration of an order that was refused, or that lost to an accepted order on its base, was read. */
export interface LosingInForce {
  readonly rule: 'losing-in-force';
  readonly read: number;
  readonly order: number;
}

/** A read that started after a newer state was known returned an older one. */
export interface StaleRead {
  readonly rule: 'stale-read';
  readonly read: number;
  readonly part: Part;
}

/** The effect of accepted orders was lost, or never occurred. */
export interface LostAccepted {
  readonly rule: 'lost-accepted';
  readonly orders: readonly number[];
  readonly part: Part;
}

/** A read returned a document that no operator sent under its version. */
export interface ReadNotAsSent {
  readonly rule: 'read-not-as-sent';
  readonly read: number;
  readonly version: number;
}

/** A configuration came into force later than any copy of its order may take effect. */
export interface LateConfiguration {
  readonly rule: 'late-configuration';
  readonly orders: readonly number[];
}

/** A copy of an evacuation or of a restore took effect after the order had been acknowledged or had expired. */
export interface LateZoneOrder {
  readonly rule: 'late-evacuation' | 'late-restore';
  readonly zone: string;
  readonly orders: readonly number[];
}

/** No sequence of the orders explains the history, and no more specific rule applies. */
export interface NotLinearizable {
  readonly rule: 'not-linearizable';
  readonly part: Part;
}

/** The register of configurations, or one zone: they are checked separately. */
export type Part = { readonly kind: 'register' } | { readonly kind: 'zone'; readonly zone: string };

/** Any violation that the history checker reports. */
export type Violation =
  | TwoAccepted
  | RefusedAfterAccepted
  | RefusedForNoWinner
  | RefusedWithoutCause
  | InvalidAccepted
  | InvalidInForce
  | LosingInForce
  | StaleRead
  | LostAccepted
  | ReadNotAsSent
  | LateConfiguration
  | LateZoneOrder
  | NotLinearizable;

/** The name of a rule that a history may break. */
export type HistoryRule = Violation['rule'];

/** The register of configurations as the part in which a violation occurred. */
export const REGISTER_PART: Part = { kind: 'register' };

function partText(part: Part): string {
  return part.kind === 'register' ? 'the configurations' : `zone ${part.zone}`;
}

/** Returns a violation as one line of text: the rule, a colon and the details. */
export function violationText(violation: Violation): string {
  switch (violation.rule) {
    case 'two-accepted-on-one-base':
      return `${violation.rule}: orders ${violation.orders.join(', ')} on version ${violation.base}`;
    case 'refused-for-a-winner-that-never-was':
      return `${violation.rule}: order ${violation.order} on version ${violation.base}, at ${violation.refusedAt} ms`;
    case 'refused-after-accepted':
    case 'refused-without-cause':
      return `${violation.rule}: order ${violation.order}, at ${violation.refusedAt} ms`;
    case 'invalid-accepted':
      return `${violation.rule}: order ${violation.order}`;
    case 'invalid-in-force':
    case 'losing-in-force':
      return `${violation.rule}: order ${violation.order}, in read ${violation.read}`;
    case 'stale-read':
      return `${violation.rule}: read ${violation.read} of ${partText(violation.part)}`;
    case 'lost-accepted':
      return `${violation.rule}: orders ${violation.orders.join(', ')} of ${partText(violation.part)}`;
    case 'read-not-as-sent':
      return `${violation.rule}: read ${violation.read}, version ${violation.version}`;
    case 'late-configuration':
      return `${violation.rule}: orders ${violation.orders.join(', ')}`;
    case 'late-evacuation':
    case 'late-restore':
      return `${violation.rule}: zone ${violation.zone}, orders ${violation.orders.join(', ')}`;
    case 'not-linearizable':
      return `${violation.rule}: ${partText(violation.part)}`;
  }
}
