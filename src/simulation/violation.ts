/** A rule that must hold at every moment of a run; what operators saw is judged by the history's rules. */
export type StateRule =
  | 'two-leaders-in-one-epoch'
  | 'two-holders'
  | 'two-holders-with-one-fence'
  | 'lower-fence'
  | 'acknowledged-lost'
  | 'voters-without-majority'
  | 'one-version-two-bodies'
  | 'version-stepped-back'
  | 'no-leader-after-trouble'
  | 'late-acknowledgement'
  | 'read-never-answered'
  | 'core-threw';

/** A broken rule, with the moment of the run at which it was found. */
export interface RunViolation {
  readonly rule: string;
  readonly at: number;
  readonly text: string;
}

export type Report = (rule: StateRule, text: string) => void;

/** Collects violations; the same rule about the same thing counts once. */
export class ViolationLog {
  readonly #now: () => number;
  readonly #log: (line: string) => void;
  readonly #seen = new Set<string>();
  readonly #violations: RunViolation[] = [];

  constructor(now: () => number, log: (line: string) => void) {
    this.#now = now;
    this.#log = log;
  }

  get all(): readonly RunViolation[] {
    return this.#violations;
  }

  add(rule: string, text: string): void {
    const key = `${rule} ${text}`;
    if (this.#seen.has(key)) return;
    this.#seen.add(key);
    this.#violations.push({ rule, at: Math.round(this.#now()), text });
    this.#log(`VIOLATION ${key}`);
  }
}
