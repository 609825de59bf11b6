import type { Attempt, History, OrderRecord, PatchOrder, PutOrder, ReadRecord } from './history.js';

/**
 * The records of a history as the checker judges them: copies of one order brought together, and for each order the
 * span in which it may take effect.
 */

/** How a change alters the text of the document that it builds on; nothing where it cannot be applied to it. */
export type Amend = (document: string, change: string) => string | undefined;

export interface HistoryOptions {
  /** How long after its last attempt ended an order without a clear answer may still take effect. */
  readonly lateMs?: number;
  /** When the operator gives up an attempt that is not answered. */
  readonly silenceMs?: number;
  /** Without it the text of a changed document is not judged, only that all reads of it agree. */
  readonly amend?: Amend;
}

export interface CheckSettings {
  readonly lateMs: number;
  readonly silenceMs: number;
  readonly amend: Amend | undefined;
}

const LATE_MS = 4000;
const SILENCE_MS = 1000;

export function settingsOf(options: HistoryOptions): CheckSettings {
  return {
    lateMs: options.lateMs ?? LATE_MS,
    silenceMs: options.silenceMs ?? SILENCE_MS,
    amend: options.amend,
  };
}

/** An attempt that was refused; the moment of the refusal lies inside it. */
export interface Refusal {
  readonly record: number;
  readonly sentAt: number;
  readonly endedAt: number;
}

/** One attempt as a copy that may take effect once. */
export interface OrderCopy {
  readonly sentAt: number;
  /** It has taken effect by then, or never does. */
  readonly effectBy: number;
}

/** One order with all that is known of its attempts. */
export interface KnownOrder {
  /** The ids of its records: the same order may stand in several. */
  readonly records: readonly number[];
  /** One for each attempt, the first sent first. */
  readonly copies: readonly OrderCopy[];
  readonly firstSentAt: number;
  /** When the operator first knew that it was accepted. */
  readonly acceptedAt: number | undefined;
  readonly refusals: readonly Refusal[];
  /** It has taken effect by then, or never does; but for copies that were taken late. */
  readonly effectBy: number;
}

/** An order for the register, known by its kind, its base and its text. */
export interface KnownChange extends KnownOrder {
  readonly kind: 'put' | 'patch';
  readonly base: number;
  readonly version: number;
  readonly text: string;
  /** Not above its base, or wrong by itself: to be refused at any time. */
  readonly isInvalid: boolean;
}

/** An evacuation or the end of one. Each record is an order of its own: the same words may be meant anew. */
export interface KnownZoneOrder extends KnownOrder {
  readonly kind: 'evacuate' | 'restore';
}

export interface ZoneView {
  readonly zone: string;
  readonly orders: readonly KnownZoneOrder[];
  readonly reads: readonly ZoneRead[];
}

export interface ZoneRead {
  readonly record: number;
  readonly sentAt: number;
  readonly endedAt: number;
  readonly isEvacuated: boolean;
}

export interface HistoryView {
  readonly changes: readonly KnownChange[];
  readonly zones: readonly ZoneView[];
}

function bySending(left: OrderCopy, right: OrderCopy): number {
  return left.sentAt - right.sentAt;
}

/** What an operator knows bounds all copies but those that a node took for a waiting caller's, which it could not know. */
function copyOf(attempt: Attempt, effectBy: number, settings: CheckSettings): OrderCopy {
  const { sentAt, takenLateAt } = attempt;
  const lateBy = takenLateAt === undefined ? -Infinity : takenLateAt + settings.lateMs;
  return { sentAt, effectBy: Math.max(effectBy, lateBy) };
}

/** Nothing where no definite answer reached the operator. */
function definiteEnd(attempt: Attempt, outcome: 'accepted' | 'refused'): number | undefined {
  return attempt.outcome === outcome ? attempt.endedAt : undefined;
}

function knownOf(records: readonly OrderRecord[], settings: CheckSettings): KnownOrder | undefined {
  const sent: Attempt[] = [];
  const refusals: Refusal[] = [];
  let acceptedAt = Infinity;
  let lastEnd = -Infinity;
  for (const { id, attempts } of records) {
    for (const attempt of attempts) {
      sent.push(attempt);
      acceptedAt = Math.min(acceptedAt, definiteEnd(attempt, 'accepted') ?? Infinity);
      lastEnd = Math.max(lastEnd, attempt.endedAt ?? attempt.sentAt + settings.silenceMs);
      const refusedAt = definiteEnd(attempt, 'refused');
      if (refusedAt !== undefined)
        refusals.push({ record: id, sentAt: attempt.sentAt, endedAt: refusedAt });
    }
  }
  const effectBy = Math.min(acceptedAt, lastEnd + settings.lateMs);
  const copies: OrderCopy[] = [];
  for (const attempt of sent) copies.push(copyOf(attempt, effectBy, settings));
  copies.sort(bySending);
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
    const known = knownOf(records, settings);
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
  const seen: ZoneRead[] = [];
  for (const { id, sentAt, endedAt, evacuated } of reads) {
    if (evacuated)
      seen.push({ record: id, sentAt, endedAt, isEvacuated: evacuated.includes(zone) });
  }
  return seen;
}

function zoneView(zone: string, history: History, settings: CheckSettings): ZoneView {
  const orders: KnownZoneOrder[] = [];
  for (const record of history.orders) {
    const { order } = record;
    if ((order.kind !== 'evacuate' && order.kind !== 'restore') || order.zone !== zone) continue;
    const known = knownOf([record], settings);
    if (known) orders.push({ ...known, kind: order.kind });
  }
  return { zone, orders, reads: zoneReads(zone, history.reads) };
}

export function viewOf(history: History, settings: CheckSettings): HistoryView {
  const zones: ZoneView[] = [];
  for (const zone of zoneNames(history)) zones.push(zoneView(zone, history, settings));
  return { changes: changesOf(history, settings), zones };
}

/**
 * Whether the order may ever be in force. One that was refused and never accepted may not, not even by an earlier copy:
 * its operator was told for certain that it is not.
 */
export function mayTakeEffect(order: KnownOrder): boolean {
  return order.acceptedAt !== undefined || order.refusals.length === 0;
}
