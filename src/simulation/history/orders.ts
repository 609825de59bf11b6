import type { Attempt, History, OrderRecord, PatchOrder, PutOrder, ReadRecord } from './history.js';

/**
 * Prepares the records of a history for the checker: groups the copies of each order and determines the time span in
 * which each order may take effect.
 */

/** Applies a change to the text of its base document; returns undefined if it can't be applied to it. */
export type Amend = (document: string, change: string) => string | undefined;

/** Options of the history checker; all of them have defaults. */
export interface HistoryOptions {
  /** How long after the end of its last attempt an order without a definite answer may still take effect. */
  readonly lateMs?: number;
  /** How long the operator waits for the answer to an attempt. */
  readonly attemptTimeoutMs?: number;
  /** If it is missing, the text of a patched document isn't checked, only that all reads of it agree. */
  readonly amend?: Amend;
}

/** Options of the checker with all defaults filled in. */
export interface CheckSettings {
  readonly lateMs: number;
  readonly attemptTimeoutMs: number;
  readonly amend: Amend | undefined;
}

const DEFAULT_LATE_MS = 4000;
const DEFAULT_ATTEMPT_TIMEOUT_MS = 1000;

/** Returns the options with their defaults filled in. */
export function settingsOf(options: HistoryOptions): CheckSettings {
  return {
    lateMs: options.lateMs ?? DEFAULT_LATE_MS,
    attemptTimeoutMs: options.attemptTimeoutMs ?? DEFAULT_ATTEMPT_TIMEOUT_MS,
    amend: options.amend,
  };
}

/** An attempt that was refused; the decision to refuse was made between its start and its end. */
export interface Refusal {
  readonly record: number;
  readonly sentAt: number;
  readonly endedAt: number;
}

/** One attempt as a copy that may take effect once. */
export interface OrderCopy {
  readonly sentAt: number;
  /** The latest time at which the copy may take effect. */
  readonly effectBy: number;
}

/** An order with everything that the history shows about its attempts. */
export interface KnownOrder {
  /** The ids of its records; several records may contain the same order. */
  readonly records: readonly number[];
  /** One for each attempt, in the order of sending. */
  readonly copies: readonly OrderCopy[];
  readonly firstSentAt: number;
  /** When the operator first got an acceptance; undefined if never. */
  readonly acceptedAt: number | undefined;
  readonly refusals: readonly Refusal[];
  /** The latest time at which the order may take effect, except for copies that a node started late. */
  readonly effectBy: number;
}

/** An order for the register, identified by its kind, base and text. */
export interface KnownChange extends KnownOrder {
  readonly kind: 'put' | 'patch';
  readonly base: number;
  readonly version: number;
  readonly text: string;
  /** Whether the order must always be refused: its version isn't above its base, or it is invalid by itself. */
  readonly isInvalid: boolean;
}

/** An evacuation or a restore. Each record is a separate order: an operator may send the same text as a new order. */
export interface KnownZoneOrder extends KnownOrder {
  readonly kind: 'evacuate' | 'restore';
}

/** The orders and reads of one zone. */
export interface ZoneView {
  readonly zone: string;
  readonly orders: readonly KnownZoneOrder[];
  readonly reads: readonly ZoneRead[];
}

/** A read as an observation of one zone. */
export interface ZoneRead {
  readonly record: number;
  readonly sentAt: number;
  readonly endedAt: number;
  readonly isEvacuated: boolean;
}

/** A history, separated into the changes of the register and the zones. */
export interface HistoryView {
  readonly changes: readonly KnownChange[];
  readonly zones: readonly ZoneView[];
}

function compareSendTimes(left: OrderCopy, right: OrderCopy): number {
  return left.sentAt - right.sentAt;
}

/**
 * The operator's knowledge limits when a copy may take effect, except for a copy that a node started late because it
 * could not know that the caller had disconnected.
 */
function copyOf(attempt: Attempt, effectBy: number, settings: CheckSettings): OrderCopy {
  const { sentAt, takenLateAt } = attempt;
  const lateEffectBy = takenLateAt === undefined ? -Infinity : takenLateAt + settings.lateMs;
  return { sentAt, effectBy: Math.max(effectBy, lateEffectBy) };
}

/** When the attempt ended with this outcome; undefined if it had another outcome or no answer. */
function definiteEndTime(attempt: Attempt, outcome: 'accepted' | 'refused'): number | undefined {
  return attempt.outcome === outcome ? attempt.endedAt : undefined;
}

function knownOrderOf(
  records: readonly OrderRecord[],
  settings: CheckSettings,
): KnownOrder | undefined {
  const sent: Attempt[] = [];
  const refusals: Refusal[] = [];
  let acceptedAt = Infinity;
  let lastEnd = -Infinity;
  for (const { id, attempts } of records) {
    for (const attempt of attempts) {
      sent.push(attempt);
      acceptedAt = Math.min(acceptedAt, definiteEndTime(attempt, 'accepted') ?? Infinity);
      lastEnd = Math.max(lastEnd, attempt.endedAt ?? attempt.sentAt + settings.attemptTimeoutMs);
      const refusedAt = definiteEndTime(attempt, 'refused');
      if (refusedAt !== undefined)
        refusals.push({ record: id, sentAt: attempt.sentAt, endedAt: refusedAt });
    }
  }
  const effectBy = Math.min(acceptedAt, lastEnd + settings.lateMs);
  const copies: OrderCopy[] = [];
  for (const attempt of sent) copies.push(copyOf(attempt, effectBy, settings));
  copies.sort(compareSendTimes);
  const [first] = copies;
  if (!first) return undefined;
  return {
    records: records.map(idOf),
    copies,
    firstSentAt: first.sentAt,
    acceptedAt: acceptedAt === Infinity ? undefined : acceptedAt,
    refusals,
    effectBy,
  };
}

function idOf(record: OrderRecord): number {
  return record.id;
}

interface ChangeRecords {
  readonly order: PutOrder | PatchOrder;
  readonly records: OrderRecord[];
}

function changesOf(history: History, settings: CheckSettings): KnownChange[] {
  const byIdentity = new Map<string, ChangeRecords>();
  for (const record of history.orders) {
    const { order } = record;
    if (order.kind !== 'put' && order.kind !== 'patch') continue;
    const identity = `${order.kind} ${order.base} ${order.text}`;
    const group = byIdentity.get(identity);
    if (group) group.records.push(record);
    else byIdentity.set(identity, { order, records: [record] });
  }
  const changes: KnownChange[] = [];
  for (const { order, records } of byIdentity.values()) {
    const known = knownOrderOf(records, settings);
    if (!known) continue;
    const { kind, base, version, text } = order;
    const isInvalid = order.isInvalid || version <= base;
    changes.push({ ...known, kind, base, version, text, isInvalid });
  }
  return changes;
}

function zoneNames(history: History): Set<string> {
  const zones = new Set<string>();
  for (const { order } of history.orders) {
    if (order.kind === 'evacuate' || order.kind === 'restore') zones.add(order.zone);
  }
  for (const { evacuated } of history.reads) for (const zone of evacuated ?? []) zones.add(zone);
  return zones;
}

function zoneReads(zone: string, reads: readonly ReadRecord[]): ZoneRead[] {
  const observations: ZoneRead[] = [];
  for (const { id, sentAt, endedAt, evacuated } of reads) {
    if (evacuated)
      observations.push({ record: id, sentAt, endedAt, isEvacuated: evacuated.includes(zone) });
  }
  return observations;
}

function zoneView(zone: string, history: History, settings: CheckSettings): ZoneView {
  const orders: KnownZoneOrder[] = [];
  for (const record of history.orders) {
    const { order } = record;
    if ((order.kind !== 'evacuate' && order.kind !== 'restore') || order.zone !== zone) continue;
    const known = knownOrderOf([record], settings);
    if (known) orders.push({ ...known, kind: order.kind });
  }
  return { zone, orders, reads: zoneReads(zone, history.reads) };
}

/** Groups the records of a history by order, and separates the register from the zones. */
export function viewOf(history: History, settings: CheckSettings): HistoryView {
  const zones: ZoneView[] = [];
  for (const zone of zoneNames(history)) zones.push(zoneView(zone, history, settings));
  return { changes: changesOf(history, settings), zones };
}

/**
 * Whether the order may ever take effect. An order that was refused and never accepted may not, not even through an
 * earlier copy: a refusal assures the operator that the order isn't in force.
 */
export function mayTakeEffect(order: KnownOrder): boolean {
  return order.acceptedAt !== undefined || order.refusals.length === 0;
}
