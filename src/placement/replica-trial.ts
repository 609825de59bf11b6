import { moment } from '../common/ids.js';
import { Placer } from './placer.js';
import type { PlacerSettings, PlanInput, RunnerView } from './placer-types.js';
import type { Hold, Intent, Place, ServiceDoc } from './shapes.js';

/** The result of a trial run of the placer. */
export interface TrialOutcome {
  readonly places: readonly Place[];
  readonly orders: readonly Intent[];
}

const STEP_MS = 500;

/** Runs the placer on virtual time against a copy of a fleet whose runners execute orders at once. */
export class ReplicaTrial {
  readonly #placer: Placer;
  readonly #input: PlanInput;
  readonly #holds = new Map<string, Hold[]>();
  readonly #executedIntents = new Set<string>();
  readonly #orders: Intent[] = [];
  readonly #demand: ReadonlyMap<string, number>;
  #now = 1000;

  constructor(
    settings: PlacerSettings,
    input: PlanInput,
    docs: readonly ServiceDoc[],
    demand: ReadonlyMap<string, number>,
  ) {
    this.#placer = new Placer(settings, 'trial');
    this.#placer.restore(docs, 'trial');
    this.#input = input;
    this.#demand = demand;
    // Unreachable runners keep the models of their last report; the placer gives them no orders.
    for (const view of input.runners)
      this.#holds.set(view.machine.id, (view.report?.holds ?? []).map(copyOf));
    for (const [unit, rate] of demand)
      this.#placer.demand.add(moment(this.#now), unit, (rate * settings.demandWindowMs) / 1000);
  }

  /** Simulates `steps` planning steps and returns the resulting places and the executed orders. */
  run(steps: number): TrialOutcome {
    for (let step = 0; step < steps; step += 1) {
      this.#now += STEP_MS;
      for (const [unit, rate] of this.#demand)
        this.#placer.demand.add(moment(this.#now), unit, (rate * STEP_MS) / 1000);
      this.#placer.plan(moment(this.#now), this.#planInput());
      for (const holds of this.#holds.values())
        for (const hold of holds) if (hold.state === 'loading') hold.state = 'ready';
      for (const doc of this.#placer.docs())
        for (const intent of doc.intents) this.#execute(intent);
    }
    this.#placer.plan(moment(this.#now + STEP_MS), this.#planInput());
    return { places: this.#placer.places(this.#planInput()).places, orders: this.#orders };
  }

  #planInput(): PlanInput {
    const runners: RunnerView[] = [];
    for (const view of this.#input.runners) {
      const holds = (this.#holds.get(view.machine.id) ?? []).map(copyOf);
      runners.push({
        ...view,
        requestedAt: moment(this.#now),
        report: view.report ? { ...view.report, holds } : undefined,
      });
    }
    return { ...this.#input, runners };
  }

  #execute(intent: Intent): void {
    if (this.#executedIntents.has(intent.id)) return;
    this.#executedIntents.add(intent.id);
    this.#orders.push(intent);
    this.#placer.onOrderAccepted(moment(this.#now), intent.id);
    const holds = this.#holds.get(intent.runner) ?? [];
    const rest = holds.filter((hold) => isOtherHold(intent, hold));
    if (intent.verb === 'load')
      rest.push({
        model: intent.model,
        adapter: intent.adapter,
        size: intent.size,
        state: 'loading',
        running: 0,
      });
    this.#holds.set(intent.runner, rest);
  }
}

function copyOf(hold: Hold): Hold {
  return { ...hold };
}

function isOtherHold(intent: Intent, hold: Hold): boolean {
  return hold.model !== intent.model || hold.adapter !== intent.adapter;
}
