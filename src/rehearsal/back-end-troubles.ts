import type { EdgeTroubles } from './edge-troubles.js';
import { MOODS, type Mood } from './sim-backend.js';
import {
  idOf,
  PLAIN_BACK_ENDS,
  RUNNERS,
  type SimulatedFleet,
  type FaultActions,
  type FaultTargets,
} from './simulated-fleet.js';

/** Kinds of troubles of runners and plain back ends. */
export const BACK_END_TROUBLES = [
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
type BackEndTroubleKind = (typeof BACK_END_TROUBLES)[number];

const CUT_SLACK_MS = 100;
const CROWD = 40;
/** A runner that is marked while dark: how long it is dark, and when it is marked and freed again; ms. */
const MARKED_DARK_MS = 5000;
const MARKED_AFTER_MS = 600;
const FREED_AFTER_MS = 6000;
/** No process is there again at the very moment at which it ended, ms. */
const START_MS = 200;

/** Troubles of runners and plain back ends. */
export class BackEndTroubles {
  readonly #stage: SimulatedFleet;
  readonly #hands: FaultActions;
  readonly #edge: EdgeTroubles;

  constructor(stage: SimulatedFleet, hands: FaultActions, edge: EdgeTroubles) {
    this.#stage = stage;
    this.#hands = hands;
    this.#edge = edge;
  }

  bringAbout(kind: BackEndTroubleKind, strike: FaultTargets): void {
    const { runner, plain, backEnd, spanMs } = strike;
    const { scheduler, outside, seeded } = this.#stage;
    switch (kind) {
      case 'restart-runner':
        outside.restart(runner);
        break;
      case 'vanish-runner':
        outside.down(runner, true);
        scheduler.after(spanMs, () => outside.up(runner));
        break;
      case 'dark-runner':
      case 'dark-back':
        this.#darken(kind === 'dark-runner' ? runner : plain, spanMs);
        break;
      case 'moody-back':
        this.#setMood(backEnd, seeded.pick(MOODS) ?? 'sound', spanMs);
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
        this.#markDark(runner, spanMs);
        break;
      case 'replace-runner':
        outside.replace(runner, spanMs);
        break;
    }
  }

  /** Ends what troubles did to back ends. */
  healAll(): void {
    const { outside, scheduler } = this.#stage;
    for (const back of outside.backs()) {
      back.mood = 'sound';
      outside.setDark(back.id, false);
      scheduler.after(START_MS, () => outside.up(back.id));
    }
    for (const id of [...RUNNERS, ...PLAIN_BACK_ENDS]) outside.platform.mark(id, false);
  }

  /** It takes as long as a process does to start; then everybody asks. */
  #restartPlain(plain: string): void {
    const { scheduler, outside, seeded } = this.#stage;
    const spanMs = seeded.between(100, 1500);
    outside.down(plain, false);
    scheduler.after(spanMs, () => outside.up(plain));
    scheduler.after(spanMs + seeded.between(0, 600), () => this.#edge.crowd(CROWD));
  }

  #cutOff(backEnd: string, spanMs: number): void {
    const { agents, seeded, findings } = this.#stage;
    this.#hands.cut(agents.map(idOf), [backEnd], seeded.isLikely(0.5), spanMs);
    findings.note({ what: 'cut', node: backEnd, number: spanMs + CUT_SLACK_MS });
  }

  #darken(id: string, spanMs: number): void {
    const { scheduler, outside, findings } = this.#stage;
    outside.setDark(id, true);
    findings.note({ what: 'frozen', node: id, number: spanMs });
    scheduler.after(spanMs, () => outside.setDark(id, false));
  }

  #setMood(id: string, mood: Mood, spanMs: number): void {
    const back = this.#stage.outside.back(id);
    if (!back) return;
    back.mood = mood;
    this.#stage.scheduler.after(spanMs, () => {
      if (back) back.mood = 'sound';
    });
  }

  /** It goes dark with orders on their way to it, is marked meanwhile, and comes back while still leaving. */
  #markDark(runner: string, spanMs: number): void {
    const { scheduler, outside } = this.#stage;
    this.#darken(runner, MARKED_DARK_MS);
    scheduler.after(MARKED_AFTER_MS, () => outside.platform.mark(runner, true));
    scheduler.after(FREED_AFTER_MS + spanMs, () => outside.platform.mark(runner, false));
  }
}
