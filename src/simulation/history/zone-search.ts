import type { KnownZoneOrder, OrderCopy, ZoneRead } from './orders.js';

/**
 * Decides whether a run of one zone is linearizable, exactly: a flag that evacuations set and their ends clear.
 *
 * Nothing on the wire tells copies of such an order apart, so that each copy is one that may take effect; all of them
 * do before the operator first knows that the order was accepted, but for those that a node could not know to be late.
 *
 * The search goes through the moments at which spans begin and end, and keeps every state that the zone may be in. Two
 * facts keep these few. A copy that finds the flag as it wants it changes nothing, so a read or an order whose value
 * the flag has at any moment of its span is explained for good, and only changes of the flag are choices. All copies
 * that may make a change are then alike but for the ends of their spans: the one that ends soonest is used up, which
 * leaves the most for later.
 */

export interface ZoneRun {
  readonly orders: readonly ZoneCandidate[];
  readonly reads: readonly ZoneRead[];
}

export interface ZoneCandidate extends Pick<KnownZoneOrder, 'kind' | 'effectBy'> {
  /** The first sent first; each may take effect once. */
  readonly copies: readonly OrderCopy[];
  readonly isRequired: boolean;
  /** Set where the order may take effect any number of times: a relaxation that tells which rule a run breaks. */
  readonly isRepeatable: boolean;
}

export function zoneCandidateOf(order: KnownZoneOrder): ZoneCandidate {
  const { kind, copies, effectBy, acceptedAt } = order;
  return { kind, copies, effectBy, isRequired: acceptedAt !== undefined, isRepeatable: false };
}

/** Something that wants the flag at one value at some moment of its span. */
interface Claim {
  readonly wants: boolean;
  readonly from: number;
  readonly to: number;
  /** Whether the run is illegal if the flag never has that value in the span. */
  readonly isRequired: boolean;
  /** Whether it may set the flag itself. */
  readonly isChange: boolean;
  readonly isRepeatable: boolean;
}

interface State {
  readonly flag: boolean;
  /** Open claims that the flag has met. */
  readonly met: ReadonlySet<number>;
  /** Open changes that have been made. */
  readonly used: ReadonlySet<number>;
}

interface Edge {
  readonly at: number;
  readonly claim: number;
  readonly isOpening: boolean;
}

/** An order is one claim that it took effect, where that is known, and a change for each of its copies. */
function orderClaims(order: ZoneCandidate): Claim[] {
  const { kind, copies, effectBy, isRequired, isRepeatable } = order;
  const claim = { wants: kind === 'evacuate', isRepeatable };
  const claims: Claim[] = [];
  const [first] = copies;
  if (isRequired && first) {
    const span = { from: first.sentAt, to: effectBy };
    claims.push({ ...claim, ...span, isRequired: true, isChange: false });
  }
  for (const { sentAt: from, effectBy: to } of copies) {
    if (from <= to) claims.push({ ...claim, from, to, isRequired: false, isChange: true });
  }
  return claims;
}

function claimsOf(run: ZoneRun): Claim[] {
  const claims = run.orders.flatMap(orderClaims);
  for (const { isEvacuated, sentAt, endedAt } of run.reads) {
    const span = { from: sentAt, to: endedAt };
    const read = { isRequired: true, isChange: false, isRepeatable: false };
    claims.push({ wants: isEvacuated, ...span, ...read });
  }
  return claims;
}

/** At one moment spans open before others close: what touches may overlap. */
function byMoment(left: Edge, right: Edge): number {
  return left.at - right.at || Number(right.isOpening) - Number(left.isOpening);
}

function edgesOf(claims: readonly Claim[]): Edge[] {
  const edges: Edge[] = [];
  for (const [claim, { from, to }] of claims.entries()) {
    edges.push({ at: from, claim, isOpening: true }, { at: to, claim, isOpening: false });
  }
  return edges.sort(byMoment);
}

class ZoneSearch {
  readonly #claims: readonly Claim[];
  readonly #open = new Set<number>();
  #states = new Map<string, State>();

  constructor(run: ZoneRun) {
    this.#claims = claimsOf(run);
    this.#keep({ flag: false, met: new Set(), used: new Set() });
  }

  isLegal(): boolean {
    for (const { claim, isOpening } of edgesOf(this.#claims)) {
      if (isOpening) this.#begin(claim);
      else this.#end(claim);
      if (this.#states.size === 0) return false;
    }
    return true;
  }

  #keep(state: State): boolean {
    const key = `${state.flag} ${[...state.met].sort().join()} ${[...state.used].sort().join()}`;
    if (this.#states.has(key)) return false;
    this.#states.set(key, state);
    return true;
  }

  /** A claim opens; from now on the flag may change by it. */
  #begin(claim: number): void {
    this.#open.add(claim);
    const before = [...this.#states.values()];
    this.#states = new Map();
    const fresh: State[] = [];
    for (const state of before) {
      const met = this.#met(state.flag, state.met);
      const next: State = { ...state, met };
      if (this.#keep(next)) fresh.push(next);
    }
    for (let state = fresh.pop(); state; state = fresh.pop()) {
      const changed = this.#change(state);
      if (changed && this.#keep(changed)) fresh.push(changed);
    }
  }

  #end(claim: number): void {
    this.#open.delete(claim);
    const before = [...this.#states.values()];
    this.#states = new Map();
    const isRequired = this.#claims[claim]?.isRequired ?? false;
    for (const { flag, met, used } of before) {
      if (isRequired && !met.has(claim)) continue;
      this.#keep({ flag, met: without(met, claim), used: without(used, claim) });
    }
  }

  /** With the flag at this value, what wants it so is met. */
  #met(flag: boolean, before: ReadonlySet<number>): ReadonlySet<number> {
    const met = new Set(before);
    for (const open of this.#open) {
      const claim = this.#claims[open];
      if (claim?.isRequired && claim.wants === flag) met.add(open);
    }
    return met;
  }

  /** The flag turned by the open change that ends soonest; nothing if no change is left that turns it. */
  #change(state: State): State | undefined {
    let soonest: number | undefined;
    let end = Infinity;
    for (const open of this.#open) {
      const claim = this.#claims[open];
      if (!claim?.isChange || claim.wants === state.flag || state.used.has(open)) continue;
      if (claim.isRepeatable)
        return { ...state, flag: claim.wants, met: this.#met(claim.wants, state.met) };
      if (soonest !== undefined && claim.to >= end) continue;
      soonest = open;
      end = claim.to;
    }
    if (soonest === undefined) return undefined;
    const flag = !state.flag;
    return { flag, met: this.#met(flag, state.met), used: new Set(state.used).add(soonest) };
  }
}

function without(set: ReadonlySet<number>, member: number): ReadonlySet<number> {
  if (!set.has(member)) return set;
  const rest = new Set(set);
  rest.delete(member);
  return rest;
}

/** Whether some sequence of the orders explains every acceptance and every read. */
export function isZoneLegal(run: ZoneRun): boolean {
  return new ZoneSearch(run).isLegal();
}
