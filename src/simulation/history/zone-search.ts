import type { KnownZoneOrder, OrderCopy, ZoneRead } from './orders.js';

/**
 * Decides exactly whether a run of one zone is linearizable. The zone is a flag that evacuations set and restores
 * clear.
 *
 * Copies of such an order can't be distinguished on the wire, so each copy may take effect. A copy takes effect before
 * the operator first knows that the order was accepted, unless a node could not know that the copy was late.
 *
 * The search visits the times at which spans start and end, and keeps every state that the zone may be in. Two facts
 * keep the states few. A copy that finds the flag at its own value changes nothing, so a read or an order is explained
 * once the flag has its value at any time of its span, and only changes of the flag are choices. All copies that may
 * make a change then differ only in the ends of their spans: using the one that ends first leaves the most options for
 * later.
 */

/** The input of the search: the orders and reads of one zone. */
export interface ZoneRun {
  readonly orders: readonly ZoneCandidate[];
  readonly reads: readonly ZoneRead[];
}

/** An order as an input of the search; relaxed candidates show which rule a run breaks. */
export interface ZoneCandidate extends Pick<KnownZoneOrder, 'kind' | 'effectBy'> {
  /** In the order of sending; each may take effect once. */
  readonly copies: readonly OrderCopy[];
  readonly isRequired: boolean;
  /** Whether the order may take effect any number of times: a relaxation that shows which rule a run breaks. */
  readonly isRepeatable: boolean;
}

/** Returns an order as a candidate without relaxations. */
export function zoneCandidateOf(order: KnownZoneOrder): ZoneCandidate {
  const { kind, copies, effectBy, acceptedAt } = order;
  return { kind, copies, effectBy, isRequired: acceptedAt !== undefined, isRepeatable: false };
}

/** A span in which the flag has, or may be set to, a value at some time. */
interface Claim {
  readonly value: boolean;
  readonly from: number;
  readonly to: number;
  /** Whether the run is illegal if the flag never has that value in the span. */
  readonly isRequired: boolean;
  /** Whether the claim may set the flag itself. */
  readonly isChange: boolean;
  readonly isRepeatable: boolean;
}

interface State {
  readonly flag: boolean;
  /** Open claims whose value the flag has had. */
  readonly satisfied: ReadonlySet<number>;
  /** Open claims that have changed the flag. */
  readonly used: ReadonlySet<number>;
}

interface Edge {
  readonly at: number;
  readonly claim: number;
  readonly isOpening: boolean;
}

/** Returns the claims of an order: that it took effect, if that is required, and a possible change for each copy. */
function orderClaims(order: ZoneCandidate): Claim[] {
  const { kind, copies, effectBy, isRequired, isRepeatable } = order;
  const claim = { value: kind === 'evacuate', isRepeatable };
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
    claims.push({ value: isEvacuated, ...span, ...read });
  }
  return claims;
}

/** At equal times spans open before others close, because spans that touch may overlap. */
function compareEdges(left: Edge, right: Edge): number {
  return left.at - right.at || Number(right.isOpening) - Number(left.isOpening);
}

function edgesOf(claims: readonly Claim[]): Edge[] {
  const edges: Edge[] = [];
  for (const [claim, { from, to }] of claims.entries()) {
    edges.push({ at: from, claim, isOpening: true }, { at: to, claim, isOpening: false });
  }
  return edges.sort(compareEdges);
}

class ZoneSearch {
  readonly #claims: readonly Claim[];
  readonly #open = new Set<number>();
  #states = new Map<string, State>();

  constructor(run: ZoneRun) {
    this.#claims = claimsOf(run);
    this.#addState({ flag: false, satisfied: new Set(), used: new Set() });
  }

  /** Whether some state explains all claims. */
  isLegal(): boolean {
    for (const { claim, isOpening } of edgesOf(this.#claims)) {
      if (isOpening) this.#openClaim(claim);
      else this.#closeClaim(claim);
      if (this.#states.size === 0) return false;
    }
    return true;
  }

  #addState(state: State): boolean {
    const key = `${state.flag} ${[...state.satisfied].sort().join()} ${[...state.used].sort().join()}`;
    if (this.#states.has(key)) return false;
    this.#states.set(key, state);
    return true;
  }

  /** Opens a claim: from now on it may change the flag. */
  #openClaim(claim: number): void {
    this.#open.add(claim);
    const before = [...this.#states.values()];
    this.#states = new Map();
    const fresh: State[] = [];
    for (const state of before) {
      const satisfied = this.#satisfiedBy(state.flag, state.satisfied);
      const next: State = { ...state, satisfied };
      if (this.#addState(next)) fresh.push(next);
    }
    for (let state = fresh.pop(); state; state = fresh.pop()) {
      const changed = this.#changeFlag(state);
      if (changed && this.#addState(changed)) fresh.push(changed);
    }
  }

  #closeClaim(claim: number): void {
    this.#open.delete(claim);
    const before = [...this.#states.values()];
    this.#states = new Map();
    const isRequired = this.#claims[claim]?.isRequired ?? false;
    for (const { flag, satisfied, used } of before) {
      if (isRequired && !satisfied.has(claim)) continue;
      this.#addState({ flag, satisfied: without(satisfied, claim), used: without(used, claim) });
    }
  }

  /** Adds the open claims that a flag with this value satisfies. */
  #satisfiedBy(flag: boolean, before: ReadonlySet<number>): ReadonlySet<number> {
    const satisfied = new Set(before);
    for (const open of this.#open) {
      const claim = this.#claims[open];
      if (claim?.isRequired && claim.value === flag) satisfied.add(open);
    }
    return satisfied;
  }

  /** The state after the open change that ends first has changed the flag; undefined if no such change is left. */
  #changeFlag(state: State): State | undefined {
    let soonest: number | undefined;
    let end = Infinity;
    for (const open of this.#open) {
      const claim = this.#claims[open];
      if (!claim?.isChange || claim.value === state.flag || state.used.has(open)) continue;
      if (claim.isRepeatable)
        return {
          ...state,
          flag: claim.value,
          satisfied: this.#satisfiedBy(claim.value, state.satisfied),
        };
      if (soonest !== undefined && claim.to >= end) continue;
      soonest = open;
      end = claim.to;
    }
    if (soonest === undefined) return undefined;
    const flag = !state.flag;
    return {
      flag,
      satisfied: this.#satisfiedBy(flag, state.satisfied),
      used: new Set(state.used).add(soonest),
    };
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
