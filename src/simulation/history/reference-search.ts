import type { ReadRecord } from './history.js';
import { mayTakeEffect, type Amend, type KnownChange, type ZoneView } from './orders.js';

/**
 * A plain search that tries every ordering of the steps of a run: the reference that tests hold the fast searches
 * against, for small runs only. It goes through the moments at which spans begin and end; at each of them any open
 * step may be taken, in any order, before the spans that end there are closed.
 */

/** A step that a run takes at some moment of its span, if the state at that moment lets it. */
interface Step<State> {
  readonly from: number;
  readonly to: number;
  readonly isRequired: boolean;
  readonly after: (state: State) => State | undefined;
}

class PlainSearch<State> {
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
  readonly taken: readonly KnownChange[];
}

function textAfter(amend: Amend, change: KnownChange, state: RegisterState): string | undefined {
  return change.kind === 'put' ? change.text : amend(state.text, change.text);
}

function afterChange(
  amend: Amend,
  change: KnownChange,
  state: RegisterState,
): RegisterState | undefined {
  if (state.version !== change.base || state.taken.includes(change)) return undefined;
  const text = textAfter(amend, change, state);
  if (text === undefined) return undefined;
  return { version: change.version, text, taken: [...state.taken, change] };
}

function afterRefusal(
  amend: Amend,
  change: KnownChange,
  state: RegisterState,
): RegisterState | undefined {
  if (state.taken.includes(change)) return undefined;
  const isLegal = state.version !== change.base || textAfter(amend, change, state) === undefined;
  return isLegal ? state : undefined;
}

function afterRead(read: ReadRecord, state: RegisterState): RegisterState | undefined {
  const isSame =
    (read.document?.version ?? 0) === state.version && (read.document?.text ?? '') === state.text;
  return isSame ? state : undefined;
}

function registerKey({ version, text, taken }: RegisterState): string {
  const records: number[] = [];
  for (const change of taken) records.push(...change.records);
  return `${version} ${text} ${records.sort(ascending).join()}`;
}

/** Whether some ordering explains a run of the register. */
export function isRegisterLegalByTrying(
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
  return new PlainSearch(steps, registerKey).isLegal({ version: 0, text: '', taken: [] });
}

function afterCopy(wants: boolean): boolean {
  return wants;
}

function afterFlagRead(isEvacuated: boolean, flag: boolean): boolean | undefined {
  return isEvacuated === flag ? flag : undefined;
}

/** Whether some ordering explains a run of one zone. */
export function isZoneLegalByTrying({ orders, reads }: ZoneView): boolean {
  const steps: Step<boolean>[] = [];
  for (const { kind, copies, firstSentAt, acceptedAt } of orders) {
    const wants = kind === 'evacuate';
    for (const { sentAt: from, effectBy: to } of copies) {
      const after = () => afterCopy(wants);
      if (from <= to) steps.push({ from, to, isRequired: false, after });
    }
    if (acceptedAt === undefined) continue;
    const after = (flag: boolean) => afterFlagRead(wants, flag);
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
  return new PlainSearch(steps, String).isLegal(false);
}
