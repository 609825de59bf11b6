import { later, moment, type Moment } from '../common/ids.js';
import type { RunnerView } from '../placement/placer-types.js';
import type { Machines, RunnerReport } from '../placement/shapes.js';
import type { ControlEffect } from './control-effect.js';

/** The polled state of the runner on one machine. */
interface PolledRunner {
  /** Its last report. */
  report: RunnerReport | undefined;
  /** When that report was requested. */
  reportRequestedAt: Moment;
  /** When a report was requested last. */
  polledAt: Moment;
  /** When the last report arrived; before the first one, when this node became the leader. */
  lastSeenAt: Moment;
  /** Whether its last poll returned a report. */
  isReachable: boolean;
  /** Whether any poll of it has ended; always true for a plain back end: it is never polled, so that planning need not wait. */
  isPolled: boolean;
}

/** A runner without a report for this long counts as unreachable, and its models are placed elsewhere. */
const RUNNER_UNREACHABLE_MS = 4000;
const NEVER = moment(-1e12);

/** The platform's list of machines, and the reports that their runners were polled for. */
export class PolledRunners {
  readonly #pollIntervalMs: number;
  readonly #runners = new Map<string, PolledRunner>();
  #machines: Machines = { revision: 0, machines: [] };
  #servingSince: Moment = NEVER;

  constructor(pollIntervalMs: number) {
    this.#pollIntervalMs = pollIntervalMs;
  }

  /** The newest list of machines. */
  get machines(): Machines {
    return this.#machines;
  }

  /** The platform's list of machines arrived; returns whether it was newer than the known one and is in use now. */
  onMachineList(machines: Machines): boolean {
    if (machines.revision <= this.#machines.revision) return false;
    // A platform that has lost its data returns an empty list, which therefore never replaces a list with machines.
    if (machines.machines.length === 0 && this.#machines.machines.length > 0) return false;
    this.#machines = machines;
    const ids = new Set<string>();
    for (const { id, service } of machines.machines) {
      ids.add(id);
      if (!this.#runners.has(id)) this.#runners.set(id, newRunner(service !== ''));
    }
    for (const id of this.#runners.keys()) if (!ids.has(id)) this.#runners.delete(id);
    return true;
  }

  /** A poll of a runner that began at `requestedAt` ended; `report` is undefined if it returned none. */
  onReport(now: Moment, id: string, requestedAt: Moment, report: RunnerReport | undefined): void {
    const runner = this.#runners.get(id);
    if (!runner || requestedAt < runner.reportRequestedAt) return;
    runner.isPolled = true;
    runner.isReachable = report !== undefined;
    if (!report) return;
    runner.report = report;
    runner.reportRequestedAt = requestedAt;
    runner.lastSeenAt = now;
  }

  /** This node became the leader: each runner has to be polled again before it may count as unreachable. */
  beginLeading(now: Moment): void {
    this.#servingSince = now;
    for (const machine of this.#machines.machines) {
      const runner = this.#runners.get(machine.id);
      if (!runner) continue;
      runner.isPolled = machine.service !== '';
      runner.lastSeenAt = now;
    }
  }

  /** Requests the reports that are due. */
  poll(now: Moment, addEffect: (effect: ControlEffect) => void): void {
    for (const { id, address, service } of this.#machines.machines) {
      const runner = this.#runners.get(id);
      if (!runner || service !== '') continue;
      if (now < later(runner.polledAt, this.#pollIntervalMs)) continue;
      runner.polledAt = now;
      addEffect({ do: 'askReport', runner: id, address });
    }
  }

  /** Whether a new leader knows enough to plan: runners that are not polled yet would lose their placements. */
  isInformed(now: Moment): boolean {
    if (now - this.#servingSince > RUNNER_UNREACHABLE_MS) return true;
    for (const runner of this.#runners.values()) if (!runner.isPolled) return false;
    return true;
  }

  /** The runners as the placer sees them. */
  views(now: Moment): RunnerView[] {
    const views: RunnerView[] = [];
    for (const machine of this.#machines.machines) {
      const runner = this.#runners.get(machine.id);
      if (!runner) continue;
      const { report, reportRequestedAt, isReachable, lastSeenAt } = runner;
      const isUnreachable = !isReachable && now - lastSeenAt > RUNNER_UNREACHABLE_MS;
      const requestedAt = reportRequestedAt;
      views.push({ machine, report, requestedAt, isReachable, isPresumedLost: isUnreachable });
    }
    return views;
  }
}

function newRunner(isPolled: boolean): PolledRunner {
  return {
    report: undefined,
    reportRequestedAt: NEVER,
    polledAt: NEVER,
    lastSeenAt: NEVER,
    isReachable: false,
    isPolled,
  };
}
