/** A rule that must hold throughout a run; what operators observed is checked by the rules of the history. */
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

/** A violated rule and when the violation was found. */
export interface RunViolation {
  /** The name of the rule. */
  readonly rule: string;
  /** Virtual time of the run in milliseconds. */
  readonly at: number;
  /** A description of the violation. */
  readonly text: string;
}

/** Reports a violation of a rule. */
export type Report = (rule: StateRule, text: string) => void;

/** Collects violations; a violation with the same rule and text is recorded once. */
export class ViolationLog {
  readonly #now: () => number;
  readonly #log: (line: string) => void;
  readonly #seen = new Set<string>();
  readonly #violations: RunViolation[] = [];

  constructor(now: () => number, log: (line: string) => void) {
    this.#now = now;
    this.#log = log;
  }

  /** All violations, in the order in which they were found. */
  get all(): readonly RunViolation[] {
    return this.#violations;
  }

  /** Records a violation and logs it, unless it is known. */
  add(rule: string, text: string): void {
    const key = `${rule} ${text}`;
    if (this.#seen.has(key)) return;
    this.#seen.add(key);
    this.#violations.push({ rule, at: Math.round(this.#now()), text });
    this.#log(`VIOLATION ${key}`);
  }
}
