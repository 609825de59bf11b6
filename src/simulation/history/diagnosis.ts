import type { ReadRecord } from './history.js';
import type { KnownChange, Refusal, ZoneRead, ZoneView } from './orders.js';
import {
  candidateOf,
  readVersion,
  searchRegister,
  type Candidate,
  type RegisterRun,
} from './register-search.js';
import { REGISTER_PART, type Part, type Violation } from './violation.js';
import { isZoneLegal, zoneCandidateOf, type ZoneCandidate, type ZoneRun } from './zone-search.js';

/**
 * Names the rule that an illegal run breaks where no few records show it by themselves: one requirement at a time is
 * dropped, and the first one without which the run is legal is the broken one.
 */

function optional(candidate: Candidate): Candidate {
  return { ...candidate, isRequired: false };
}

function atAnyLaterMoment(candidate: Candidate): Candidate {
  return candidate.isRequired ? candidate : { ...candidate, effectBy: Infinity };
}

function withoutRefusals(candidate: Candidate): Candidate {
  return { ...candidate, refusals: [] };
}

function recordsOf(changes: readonly KnownChange[]): number[] {
  const records: number[] = [];
  for (const change of changes) records.push(...change.records);
  return records;
}

function isUnsettled(change: KnownChange): boolean {
  return change.acceptedAt === undefined && change.refusals.length === 0;
}

function isAccepted(change: KnownChange): boolean {
  return change.acceptedAt !== undefined;
}

/** The refusal of a change on that version that a run without it does not need to explain. */
function culprit(
  run: RegisterRun,
  base: number,
): { readonly change: Candidate; readonly refusal: Refusal } | undefined {
  let last: { readonly change: Candidate; readonly refusal: Refusal } | undefined;
  for (const change of run.candidates) {
    for (const refusal of change.refusals) {
      if (last === undefined || change.base === base) last = { change, refusal };
    }
  }
  return last;
}

function refusalViolation(run: RegisterRun, base: number): Violation | undefined {
  const found = culprit(run, base);
  if (!found) return undefined;
  const { change, refusal } = found;
  const { record: order, endedAt: refusedAt } = refusal;
  if (change.acceptedAt !== undefined) return { rule: 'refused-after-accepted', order, refusedAt };
  return { rule: 'refused-for-a-winner-that-never-was', order, base: change.base, refusedAt };
}

/** The first read, going up the versions, that no document of the chain explains. */
function mismatchedRead(run: RegisterRun): Violation | undefined {
  const reads = [...run.reads].sort(byReadVersion);
  for (const [count, read] of reads.entries()) {
    if (searchRegister({ ...run, reads: reads.slice(0, count + 1) }).isLegal) continue;
    return { rule: 'read-not-as-sent', read: read.id, version: readVersion(read) };
  }
  return undefined;
}

function byReadVersion(left: ReadRecord, right: ReadRecord): number {
  return readVersion(left) - readVersion(right);
}

/** The read without which the run is legal, if there is one and it is not the last. */
function staleRead(run: RegisterRun): Violation | undefined {
  let lastSentAt = -Infinity;
  for (const read of run.reads) lastSentAt = Math.max(lastSentAt, read.sentAt);
  for (const read of run.reads) {
    if (read.sentAt === lastSentAt) continue;
    const others = run.reads.filter((other) => isOtherThan(read, other));
    if (searchRegister({ ...run, reads: others }).isLegal) {
      return { rule: 'stale-read', read: read.id, part: REGISTER_PART };
    }
  }
  return undefined;
}

function isOtherThan<T>(one: T, other: T): boolean {
  return one !== other;
}

/** So many reads are left out one by one; of more, only those near the version where the search ends. */
const MAX_TRIED_READS = 50;

function nearReads(run: RegisterRun, reached: number): readonly ReadRecord[] {
  if (run.reads.length <= MAX_TRIED_READS) return run.reads;
  const near: ReadRecord[] = [];
  for (const read of run.reads) if (readVersion(read) >= reached) near.push(read);
  return near.slice(0, MAX_TRIED_READS);
}

/** The broken rule of a register's run that is not legal. */
export function diagnoseRegister(run: RegisterRun, reached: number): Violation {
  const late: RegisterRun = { ...run, candidates: run.candidates.map(atAnyLaterMoment) };
  if (searchRegister(late).isLegal) {
    return { rule: 'late-configuration', orders: recordsOf(run.candidates.filter(isUnsettled)) };
  }
  const misread = searchRegister({ ...run, amend: undefined }).isLegal
    ? mismatchedRead(run)
    : undefined;
  if (misread) return misread;
  const unrefused: RegisterRun = { ...run, candidates: run.candidates.map(withoutRefusals) };
  if (searchRegister(unrefused).isLegal) {
    const violation = refusalViolation(run, reached);
    if (violation) return violation;
  }
  const stale = staleRead({ ...run, reads: nearReads(run, reached) });
  if (stale) return stale;
  const unbound: RegisterRun = { ...run, candidates: run.candidates.map(optional) };
  if (searchRegister(unbound).isLegal) {
    const orders = recordsOf(run.candidates.filter(isAccepted));
    return { rule: 'lost-accepted', orders, part: REGISTER_PART };
  }
  return { rule: 'not-linearizable', part: REGISTER_PART };
}

/** The run as the search takes it. */
export function registerRun(
  changes: readonly KnownChange[],
  reads: readonly ReadRecord[],
  amend: RegisterRun['amend'],
): RegisterRun {
  return { candidates: changes.map(candidateOf), reads, amend };
}

/** The orders, and copies of those of one kind that may take effect at any later moment. */
function withCopies(
  orders: readonly ZoneCandidate[],
  kind: ZoneCandidate['kind'],
): ZoneCandidate[] {
  const all = [...orders];
  for (const order of orders) {
    if (order.kind === kind) all.push(copyFrom(kind, order.copies[0]?.sentAt ?? -Infinity));
  }
  return all;
}

function copyFrom(kind: ZoneCandidate['kind'], sentAt: number): ZoneCandidate {
  const effectBy = Infinity;
  return { kind, copies: [{ sentAt, effectBy }], effectBy, isRequired: false, isRepeatable: true };
}

function optionalZoneOrder(order: ZoneCandidate): ZoneCandidate {
  return { ...order, isRequired: false };
}

function recordsOfKind(view: ZoneView, kind: ZoneCandidate['kind']): number[] {
  const records: number[] = [];
  for (const order of view.orders) if (order.kind === kind) records.push(...order.records);
  return records;
}

/** The read without which the run is legal, if there is one and it is not the last. */
function staleZoneRead(run: ZoneRun, part: Part): Violation | undefined {
  let last: ZoneRead | undefined;
  for (const read of run.reads) if (!last || read.sentAt > last.sentAt) last = read;
  for (const read of run.reads) {
    if (read === last) continue;
    const others = run.reads.filter((other) => isOtherThan(read, other));
    if (isZoneLegal({ ...run, reads: others }))
      return { rule: 'stale-read', read: read.record, part };
  }
  return undefined;
}

function acceptedRecords(view: ZoneView): number[] {
  const accepted: number[] = [];
  for (const { acceptedAt, records } of view.orders)
    if (acceptedAt !== undefined) accepted.push(...records);
  return accepted;
}

/** The broken rule of a zone's run that is not legal. */
export function diagnoseZone(view: ZoneView): Violation {
  const { zone, reads } = view;
  const part: Part = { kind: 'zone', zone };
  const orders = view.orders.map(zoneCandidateOf);
  if (isZoneLegal({ orders: withCopies(orders, 'evacuate'), reads })) {
    return { rule: 'late-evacuation', zone, orders: recordsOfKind(view, 'evacuate') };
  }
  const stale = staleZoneRead({ orders, reads }, part);
  if (stale) return stale;
  if (isZoneLegal({ orders: withCopies(orders, 'restore'), reads })) {
    return { rule: 'late-restore', zone, orders: recordsOfKind(view, 'restore') };
  }
  // Explained by orders that had no effect, or by an evacuation that was forgotten.
  const forgotten = [...orders.map(optionalZoneOrder), copyFrom('restore', -Infinity)];
  if (isZoneLegal({ orders: forgotten, reads })) {
    return { rule: 'lost-accepted', orders: acceptedRecords(view), part };
  }
  return { rule: 'not-linearizable', part };
}
