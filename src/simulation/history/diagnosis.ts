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
 * Names the rule that an illegal run breaks if no small set of records proves a violation. One requirement at a time is
 * dropped; the first one without which the run is legal is the broken rule.
 */

function optional(candidate: Candidate): Candidate {
  return { ...candidate, isRequired: false };
}

function withoutEffectDeadline(candidate: Candidate): Candidate {
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

function isUnresolved(change: KnownChange): boolean {
  return change.acceptedAt === undefined && change.refusals.length === 0;
}

function isAccepted(change: KnownChange): boolean {
  return change.acceptedAt !== undefined;
}

/** Returns a refusal of a change based on version `base`, or of any change if there is none on it. */
function unexplainedRefusal(
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
  const found = unexplainedRefusal(run, base);
  if (!found) return undefined;
  const { change, refusal } = found;
  const { record: order, endedAt: refusedAt } = refusal;
  if (change.acceptedAt !== undefined) return { rule: 'refused-after-accepted', order, refusedAt };
  return { rule: 'refused-for-a-winner-that-never-was', order, base: change.base, refusedAt };
}

/** Reports the first read, in ascending order of versions, that no document of the chain explains. */
function mismatchedReadViolation(run: RegisterRun): Violation | undefined {
  const reads = [...run.reads].sort(compareReadVersions);
  for (const [count, read] of reads.entries()) {
    if (searchRegister({ ...run, reads: reads.slice(0, count + 1) }).isLegal) continue;
    return { rule: 'read-not-as-sent', read: read.id, version: readVersion(read) };
  }
  return undefined;
}

function compareReadVersions(left: ReadRecord, right: ReadRecord): number {
  return readVersion(left) - readVersion(right);
}

/** Reports the read without which the register's run is legal, if there is one and it is not the last read. */
function staleReadViolation(run: RegisterRun): Violation | undefined {
  let lastSentAt = -Infinity;
  for (const read of run.reads) lastSentAt = Math.max(lastSentAt, read.sentAt);
  for (const read of run.reads) {
    if (read.sentAt === lastSentAt) continue;
    const others = run.reads.filter((other) => isDifferent(read, other));
    if (searchRegister({ ...run, reads: others }).isLegal) {
      return { rule: 'stale-read', read: read.id, part: REGISTER_PART };
    }
  }
  return undefined;
}

function isDifferent<T>(one: T, other: T): boolean {
  return one !== other;
}

/**
 * At most this many reads are left out one by one; if there are more, only those from the version where the search
 * stopped.
 */
const MAX_OMITTED_READS = 50;

function readsToOmit(run: RegisterRun, reached: number): readonly ReadRecord[] {
  if (run.reads.length <= MAX_OMITTED_READS) return run.reads;
  const near: ReadRecord[] = [];
  for (const read of run.reads) if (readVersion(read) >= reached) near.push(read);
  return near.slice(0, MAX_OMITTED_READS);
}

/** Returns the rule that an illegal run of the register breaks; `reached` is the version where its search stopped. */
export function diagnoseRegister(run: RegisterRun, reached: number): Violation {
  const unbounded: RegisterRun = { ...run, candidates: run.candidates.map(withoutEffectDeadline) };
  if (searchRegister(unbounded).isLegal) {
    return { rule: 'late-configuration', orders: recordsOf(run.candidates.filter(isUnresolved)) };
  }
  const mismatch = searchRegister({ ...run, amend: undefined }).isLegal
    ? mismatchedReadViolation(run)
    : undefined;
  if (mismatch) return mismatch;
  const withoutRefusedAttempts: RegisterRun = {
    ...run,
    candidates: run.candidates.map(withoutRefusals),
  };
  if (searchRegister(withoutRefusedAttempts).isLegal) {
    const violation = refusalViolation(run, reached);
    if (violation) return violation;
  }
  const stale = staleReadViolation({ ...run, reads: readsToOmit(run, reached) });
  if (stale) return stale;
  const withoutRequirements: RegisterRun = { ...run, candidates: run.candidates.map(optional) };
  if (searchRegister(withoutRequirements).isLegal) {
    const orders = recordsOf(run.candidates.filter(isAccepted));
    return { rule: 'lost-accepted', orders, part: REGISTER_PART };
  }
  return { rule: 'not-linearizable', part: REGISTER_PART };
}

/** Builds the input of the register search from the changes and reads of a history. */
export function registerRun(
  changes: readonly KnownChange[],
  reads: readonly ReadRecord[],
  amend: RegisterRun['amend'],
): RegisterRun {
  return { candidates: changes.map(candidateOf), reads, amend };
}

/** The orders, with additional copies of those of one kind that may take effect at any later time. */
function withLateCopies(
  orders: readonly ZoneCandidate[],
  kind: ZoneCandidate['kind'],
): ZoneCandidate[] {
  const all = [...orders];
  for (const order of orders) {
    if (order.kind === kind) all.push(lateCopyAfter(kind, order.copies[0]?.sentAt ?? -Infinity));
  }
  return all;
}

function lateCopyAfter(kind: ZoneCandidate['kind'], sentAt: number): ZoneCandidate {
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

/** Reports the read without which the zone's run is legal, if there is one and it is not the last read. */
function staleZoneReadViolation(run: ZoneRun, part: Part): Violation | undefined {
  let last: ZoneRead | undefined;
  for (const read of run.reads) if (!last || read.sentAt > last.sentAt) last = read;
  for (const read of run.reads) {
    if (read === last) continue;
    const others = run.reads.filter((other) => isDifferent(read, other));
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

/** Returns the rule that an illegal run of a zone breaks. */
export function diagnoseZone(view: ZoneView): Violation {
  const { zone, reads } = view;
  const part: Part = { kind: 'zone', zone };
  const orders = view.orders.map(zoneCandidateOf);
  if (isZoneLegal({ orders: withLateCopies(orders, 'evacuate'), reads })) {
    return { rule: 'late-evacuation', zone, orders: recordsOfKind(view, 'evacuate') };
  }
  const stale = staleZoneReadViolation({ orders, reads }, part);
  if (stale) return stale;
  if (isZoneLegal({ orders: withLateCopies(orders, 'restore'), reads })) {
    return { rule: 'late-restore', zone, orders: recordsOfKind(view, 'restore') };
  }
  // The run is legal if accepted orders had no effect, or if an evacuation was lost.
  const withLostEvacuation = [
    ...orders.map(optionalZoneOrder),
    lateCopyAfter('restore', -Infinity),
  ];
  if (isZoneLegal({ orders: withLostEvacuation, reads })) {
    return { rule: 'lost-accepted', orders: acceptedRecords(view), part };
  }
  return { rule: 'not-linearizable', part };
}
