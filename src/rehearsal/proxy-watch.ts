import { compareVersions, NO_VERSION, versionText, type Version } from '../common/version.js';
import type { RunFindings } from './run-findings.js';
import type { SimOperators } from './sim-operators.js';
import type { SimEnvironment } from './sim-environment.js';
import type { SimProxy } from './sim-proxy.js';

/** How long a proxy may count as fresh without a list of runners after control nodes learned the list, ms. */
const FRESHNESS_SLACK_MS = 3000;
/** How long a leaving runner may still get new work after control nodes learned that it leaves, ms. */
const LEAVING_SLACK_MS = 3000;
/** How long a zone may still get new work after its evacuation was acknowledged, ms. */
const EVACUATION_SLACK_MS = 50;

/** Checks the invariants of each proxy throughout a simulated run, and records violations as findings. */
export class ProxyWatch {
  readonly #outside: SimEnvironment;
  readonly #operators: SimOperators;
  readonly #findings: RunFindings;
  readonly #lastTableNumbers = new Map<string, number>();
  readonly #lastVersions = new Map<string, Version>();
  #runCount = 0;
  #lastRunAt = 0;

  constructor(outside: SimEnvironment, operators: SimOperators, findings: RunFindings) {
    this.#outside = outside;
    this.#operators = operators;
    this.#findings = findings;
  }

  /** Number of requests that proxies sent to runners. */
  get runCount(): number {
    return this.#runCount;
  }
  /** Time at which a proxy last sent a request to a runner, ms. */
  get lastRunAt(): number {
    return this.#lastRunAt;
  }

  /** Checks the configuration, table and list of runners that one proxy uses at present. */
  check(proxy: SimProxy, now: number): void {
    const { router: decision } = proxy;
    if (!decision || !proxy.isUp) {
      this.#lastVersions.delete(proxy.id);
      this.#lastTableNumbers.delete(proxy.id);
      return;
    }
    const version = decision.configVersion;
    const { tableNumber, runnerListRevision: listRevision } = decision;
    this.#checkMonotonic(proxy.id, version, tableNumber);
    if (proxy.isFrozen || !decision.isFresh(proxy.now())) return;
    this.#checkNewestTable(proxy.id, version, tableNumber);
    for (const [revision, shownAt] of this.#outside.platform.shown) {
      if (listRevision >= revision || now <= shownAt + FRESHNESS_SLACK_MS) continue;
      const ageMs = Math.round(now - shownAt);
      this.#findings.addViolation(
        `leaving: ${proxy.id} has not received revision ${revision} that control nodes learned ${ageMs} ms ago`,
      );
    }
  }

  /** Checks that a proxy was allowed to send a runner the request it has just sent. */
  onRunStarted(proxy: string, runner: string, now: number): void {
    this.#runCount += 1;
    this.#lastRunAt = now;
    for (const machine of this.#outside.platform.list) {
      if (machine.id !== runner) continue;
      const learnedAt = this.#outside.platform.learned(runner);
      if (machine.leaving && learnedAt !== undefined && now > learnedAt + LEAVING_SLACK_MS)
        this.#findings.addViolation(
          `leaving-got-work: ${proxy} sent work to ${runner} ${Math.round(now - learnedAt)} ms after its leaving was learned`,
        );
      const evacuatedAt = this.#operators.evacuated.get(machine.zone);
      if (evacuatedAt !== undefined && now > evacuatedAt + EVACUATION_SLACK_MS)
        this.#findings.addViolation(
          `emptied-got-work: ${proxy} sent work to ${runner} in ${machine.zone} ${Math.round(now - evacuatedAt)} ms after the evacuation was acknowledged`,
        );
    }
  }

  #checkMonotonic(proxy: string, version: Version, tableNumber: number): void {
    const seen = this.#lastVersions.get(proxy) ?? NO_VERSION;
    if (compareVersions(version, seen) < 0)
      this.#findings.addViolation(
        `slip: ${proxy} went from ${versionText(seen)} back to ${versionText(version)}`,
      );
    this.#lastVersions.set(proxy, version);
    const seenNumber = this.#lastTableNumbers.get(proxy) ?? -1;
    if (tableNumber < seenNumber)
      this.#findings.addViolation(
        `slip: ${proxy} went from table ${seenNumber} back to ${tableNumber}`,
      );
    this.#lastTableNumbers.set(proxy, tableNumber);
  }

  #checkNewestTable(proxy: string, version: Version, tableNumber: number): void {
    const { newest, newestNumber } = this.#operators;
    if (compareVersions(version, newest) < 0)
      this.#findings.addViolation(
        `old-table: ${proxy} uses ${versionText(version)} after ${versionText(newest)} was reported as in force`,
      );
    if (tableNumber < newestNumber)
      this.#findings.addViolation(
        `old-table: ${proxy} uses table ${tableNumber} after ${newestNumber}`,
      );
  }
}
