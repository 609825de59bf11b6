import type { EdgeFaults } from './edge-faults.js';
import { MISBEHAVIORS, type Behavior } from './sim-backend.js';
import {
  idOf,
  PLAIN_BACK_ENDS,
  RUNNERS,
  type SimulatedFleet,
  type FaultActions,
  type FaultTargets,
} from './simulated-fleet.js';

/** The kinds of faults of runners and plain back ends. */
export const BACK_END_FAULTS = [
  'restart-runner',
  'vanish-runner',
  'dark-runner',
  'moody-back',
  'breaking-plain',
  'restart-back',
  'dark-back',
  'cut-back',
  'mark-runner',
  'mark-dark-runner',
  'replace-runner',
] as const;
type BackEndFaultKind = (typeof BACK_END_FAULTS)[number];

/** How much longer than a cut its effects may last, ms. */
const CUT_SLACK_MS = 100;
/** Requests that each proxy gets at once after a plain back end's restart. */
const BURST_SIZE = 40;
/** A runner marked as leaving while frozen: how long it is frozen, and when its mark is set and at the earliest removed; ms. */
const MARKED_FROZEN_MS = 5000;
const MARKED_AFTER_MS = 600;
const UNMARKED_AFTER_MS = 6000;
/** Minimum time that a process takes to start again after its end, ms. */
const RESTART_DELAY_MS = 200;

/** Injects faults of runners and plain back ends. */
export class BackEndFaults {
  readonly #stage: SimulatedFleet;
  readonly #actions: FaultActions;
  readonly #edge: EdgeFaults;

  constructor(stage: SimulatedFleet, hands: FaultActions, edge: EdgeFaults) {
    this.#stage = stage;
    this.#actions = hands;
    this.#edge = edge;
  }

  /** Injects one fault of a kind. */
  inject(kind: BackEndFaultKind, strike: FaultTargets): void {
    const { runner, plain, backEnd, spanMs } = strike;
    const { scheduler, outside, seeded } = this.#stage;
    switch (kind) {
      case 'restart-runner':
        outside.restart(runner);
        break;
      case 'vanish-runner':
        outside.kill(runner, true);
        scheduler.after(spanMs, () => outside.start(runner));
        break;
      case 'dark-runner':
      case 'dark-back':
        this.#freeze(kind === 'dark-runner' ? runner : plain, spanMs);
        break;
      case 'moody-back':
        this.#setMood(backEnd, seeded.pick(MISBEHAVIORS) ?? 'sound', spanMs);
        break;
      case 'breaking-plain':
        for (const id of PLAIN_BACK_ENDS) this.#setMood(id, 'breaks', spanMs);
        break;
      case 'restart-back':
        this.#restartPlain(plain);
        break;
      case 'cut-back':
        this.#cutOff(backEnd, spanMs);
        break;
      case 'mark-runner':
        outside.platform.mark(backEnd, true);
        scheduler.after(spanMs, () => outside.platform.mark(backEnd, false));
        break;
      case 'mark-dark-runner':
        this.#markWhileFrozen(runner, spanMs);
        break;
      case 'replace-runner':
        outside.replace(runner, spanMs);
        break;
    }
  }

  /** Ends all faults of back ends and removes all leaving marks. */
  healAll(): void {
    const { outside, scheduler } = this.#stage;
    for (const back of outside.backends()) {
      back.behavior = 'sound';
      outside.setFrozen(back.id, false);
      scheduler.after(RESTART_DELAY_MS, () => outside.start(back.id));
    }
    for (const id of [...RUNNERS, ...PLAIN_BACK_ENDS]) outside.platform.mark(id, false);
  }

  /** Restarts a plain back end, with a realistic start time; a burst of requests to all proxies follows. */
  #restartPlain(plain: string): void {
    const { scheduler, outside, seeded } = this.#stage;
    const spanMs = seeded.between(100, 1500);
    outside.kill(plain, false);
    scheduler.after(spanMs, () => outside.start(plain));
    scheduler.after(spanMs + seeded.between(0, 600), () => this.#edge.sendBurst(BURST_SIZE));
  }

  #cutOff(backEnd: string, spanMs: number): void {
    const { agents, seeded, findings } = this.#stage;
    this.#actions.cut(agents.map(idOf), [backEnd], seeded.isLikely(0.5), spanMs);
    findings.addEvent({ what: 'cut', node: backEnd, number: spanMs + CUT_SLACK_MS });
  }

  #freeze(id: string, spanMs: number): void {
    const { scheduler, outside, findings } = this.#stage;
    outside.setFrozen(id, true);
    findings.addEvent({ what: 'frozen', node: id, number: spanMs });
    scheduler.after(spanMs, () => outside.setFrozen(id, false));
  }

  #setMood(id: string, mood: Behavior, spanMs: number): void {
    const back = this.#stage.outside.backend(id);
    if (!back) return;
    back.behavior = mood;
    this.#stage.scheduler.after(spanMs, () => {
      if (back) back.behavior = 'sound';
    });
  }

  /** Freezes a runner with orders in flight to it, marks it meanwhile, and resumes it while it is still marked. */
  #markWhileFrozen(runner: string, spanMs: number): void {
    const { scheduler, outside } = this.#stage;
    this.#freeze(runner, MARKED_FROZEN_MS);
    scheduler.after(MARKED_AFTER_MS, () => outside.platform.mark(runner, true));
    scheduler.after(UNMARKED_AFTER_MS + spanMs, () => outside.platform.mark(runner, false));
  }
}
