import type { ReadRecord } from './history.js';
import { mayTakeEffect, type Amend, type KnownChange, type ZoneView } from './orders.js';

/**
 * An exhaustive search that tries every ordering of the steps of a run: the reference with which tests compare the fast
 * searches, for small runs only. It visits the times at which spans start and end in ascending order; at each of them
 * any step with an open span may be taken, in any order, before the spans that end there are closed.
 */

/** A step that a run takes at some time within its span, if the state at that time allows it. */
interface Step<State> {
  readonly from: number;
  readonly to: number;
  readonly isRequired: boolean;
  readonly after: (state: State) => State | undefined;
}

class ExhaustiveSearch<State> {
  readonly #steps: readonly Step<State>[];
  readonly #keyOf: (state: State) => string;
  readonly #moments: readonly number[];
  readonly #seen = new Set<string>();

  constructor(steps: readonly Step<State>[], keyOf: (state: State) => string) {
    this.#steps = steps;
    this.#keyOf = keyOf;
    const moments = new Set<number>();
    for (const { from, to } of steps) moments.add(from).add(to);
    this.#moments = [...moments].sort(ascending);
  }

  /** Whether the remaining steps can be taken from a state, starting at the time with this index. */
  isLegal(state: State, index = 0, done: ReadonlySet<number> = new Set()): boolean {
    const now = this.#moments[index];
    if (now === undefined) return true;
    const key = `${index} ${this.#keyOf(state)} ${[...done].sort(ascending).join()}`;
    if (this.#seen.has(key)) return false;
    this.#seen.add(key);
    for (const [number, step] of this.#steps.entries()) {
      if (done.has(number) || step.from > now || step.to < now) continue;
      const after = step.after(state);
      if (after !== undefined && this.isLegal(after, index, new Set(done).add(number))) return true;
    }
    for (const [number, step] of this.#steps.entries()) {
      if (step.isRequired && step.to === now && !done.has(number)) return false;
    }
    return this.isLegal(state, index + 1, done);
  }
}

function ascending(left: number, right: number): number {
  return left - right;
}

interface RegisterState {
  readonly version: number;
  readonly text: string;
  readonly applied: readonly KnownChange[];
}

function textAfter(amend: Amend, change: KnownChange, state: RegisterState): string | undefined {
  return change.kind === 'put' ? change.text : amend(state.text, change.text);
}

function afterChange(
  amend: Amend,
  change: KnownChange,
  state: RegisterState,
): RegisterState | undefined {
  if (state.version !== change.base || state.applied.includes(change)) return undefined;
  const text = textAfter(amend, change, state);
  if (text === undefined) return undefined;
  return { version: change.version, text, applied: [...state.applied, change] };
}

function afterRefusal(
  amend: Amend,
  change: KnownChange,
  state: RegisterState,
): RegisterState | undefined {
  if (state.applied.includes(change)) return undefined;
  const isLegal = state.version !== change.base || textAfter(amend, change, state) === undefined;
  return isLegal ? state : undefined;
}

function afterRead(read: ReadRecord, state: RegisterState): RegisterState | undefined {
  const isSame =
    (read.document?.version ?? 0) === state.version && (read.document?.text ?? '') === state.text;
  return isSame ? state : undefined;
}

function registerKey({ version, text, applied }: RegisterState): string {
  const records: number[] = [];
  for (const change of applied) records.push(...change.records);
  return `${version} ${text} ${records.sort(ascending).join()}`;
}

/** Whether some ordering explains a run of the register. Takes exponential time. */
export function isRegisterLegalExhaustive(
  changes: readonly KnownChange[],
  reads: readonly ReadRecord[],
  amend: Amend,
): boolean {
  const steps: Step<RegisterState>[] = [];
  for (const change of changes) {
    const isRequired = change.acceptedAt !== undefined;
    if (change.isInvalid) {
      if (isRequired) return false;
      continue;
    }
    const span = { from: change.firstSentAt, to: change.effectBy };
    if (mayTakeEffect(change))
      steps.push({ ...span, isRequired, after: (state) => afterChange(amend, change, state) });
    for (const { sentAt, endedAt } of change.refusals) {
      steps.push({
        from: sentAt,
        to: endedAt,
        isRequired: true,
        after: (state) => afterRefusal(amend, change, state),
      });
    }
  }
  for (const read of reads) {
    steps.push({
      from: read.sentAt,
      to: read.endedAt,
      isRequired: true,
      after: (state) => afterRead(read, state),
    });
  }
  return new ExhaustiveSearch(steps, registerKey).isLegal({ version: 0, text: '', applied: [] });
}

function afterCopy(flag: boolean): boolean {
  return flag;
}

function afterFlagRead(isEvacuated: boolean, flag: boolean): boolean | undefined {
  return isEvacuated === flag ? flag : undefined;
}

/** Whether some ordering explains a run of one zone. Takes exponential time. */
export function isZoneLegalExhaustive({ orders, reads }: ZoneView): boolean {
  const steps: Step<boolean>[] = [];
  for (const { kind, copies, firstSentAt, acceptedAt } of orders) {
    const target = kind === 'evacuate';
    for (const { sentAt: from, effectBy: to } of copies) {
      const after = () => afterCopy(target);
      if (from <= to) steps.push({ from, to, isRequired: false, after });
    }
    if (acceptedAt === undefined) continue;
    const after = (flag: boolean) => afterFlagRead(target, flag);
    steps.push({ from: firstSentAt, to: acceptedAt, isRequired: true, after });
  }
  for (const { sentAt, endedAt, isEvacuated } of reads) {
    steps.push({
      from: sentAt,
      to: endedAt,
      isRequired: true,
      after: (flag) => afterFlagRead(isEvacuated, flag),
    });
  }
  return new ExhaustiveSearch(steps, String).isLegal(false);
}
