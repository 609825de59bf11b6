import { compareVersions, NO_VERSION, versionText, type Version } from '../common/version.js';
import type { RunFindings } from './run-findings.js';
import type { SimOperators } from './sim-operators.js';
import type { SimOutside } from './sim-outside.js';
import type { SimProxy } from './sim-proxy.js';

/** How long after a list was learned a proxy may still be fresh without it, ms. */
const FRESHNESS_SLACK_MS = 3000;
/** How long after its mark was learned a leaving runner may still get new work, ms. */
const LEAVING_MS = 3000;
/** How long after its evacuation was acknowledged a zone may still get new work, ms. */
const EVACUATED_MS = 50;

/** What must hold at every moment of a simulated run at each proxy. */
export class ProxyWatch {
  readonly #outside: SimOutside;
  readonly #operators: SimOperators;
  readonly #findings: RunFindings;
  readonly #seenNumbers = new Map<string, number>();
  readonly #seenVersions = new Map<string, Version>();
  #runs = 0;
  #lastRunAt = 0;

  constructor(outside: SimOutside, operators: SimOperators, findings: RunFindings) {
    this.#outside = outside;
    this.#operators = operators;
    this.#findings = findings;
  }

  /** Requests that proxies gave to runners. */
  get runs(): number {
    return this.#runs;
  }
  get lastRunAt(): number {
    return this.#lastRunAt;
  }

  /** Looks at what one proxy works by now. */
  look(proxy: SimProxy, now: number): void {
    const { decision } = proxy;
    if (!decision || !proxy.isUp) {
      this.#seenVersions.delete(proxy.id);
      this.#seenNumbers.delete(proxy.id);
      return;
    }
    const version = decision.configVersion;
    const { tableNumber, runnerListRevision: marks } = decision;
    this.#lookForStepBack(proxy.id, version, tableNumber);
    if (proxy.isFrozen || !decision.isFresh(proxy.now())) return;
    this.#lookForOldTable(proxy.id, version, tableNumber);
    for (const [revision, shownAt] of this.#outside.platform.shown) {
      if (marks >= revision || now <= shownAt + FRESHNESS_SLACK_MS) continue;
      const age = Math.round(now - shownAt);
      this.#findings.find(
        `leaving: ${proxy.id} has not heard revision ${revision} learned ${age} ms ago`,
      );
    }
  }

  /** A proxy gave a runner new work. */
  ran(proxy: string, runner: string, now: number): void {
    this.#runs += 1;
    this.#lastRunAt = now;
    for (const machine of this.#outside.platform.list) {
      if (machine.id !== runner) continue;
      const learned = this.#outside.platform.learned(runner);
      if (machine.leaving && learned !== undefined && now > learned + LEAVING_MS)
        this.#findings.find(
          `leaving-got-work: ${proxy} drew ${runner} ${Math.round(now - learned)} ms after its mark was learned`,
        );
      const evacuatedAt = this.#operators.evacuated.get(machine.zone);
      if (evacuatedAt !== undefined && now > evacuatedAt + EVACUATED_MS)
        this.#findings.find(
          `emptied-got-work: ${proxy} drew ${runner} in ${machine.zone} ${Math.round(now - evacuatedAt)} ms after the yes`,
        );
    }
  }

  #lookForStepBack(proxy: string, version: Version, tableNumber: number): void {
    const seen = this.#seenVersions.get(proxy) ?? NO_VERSION;
    if (compareVersions(version, seen) < 0)
      this.#findings.find(
        `slip: ${proxy} went from ${versionText(seen)} back to ${versionText(version)}`,
      );
    this.#seenVersions.set(proxy, version);
    const seenNumber = this.#seenNumbers.get(proxy) ?? -1;
    if (tableNumber < seenNumber)
      this.#findings.find(`slip: ${proxy} went from table ${seenNumber} back to ${tableNumber}`);
    this.#seenNumbers.set(proxy, tableNumber);
  }

  #lookForOldTable(proxy: string, version: Version, tableNumber: number): void {
    const { newest, newestNumber } = this.#operators;
    if (compareVersions(version, newest) < 0)
      this.#findings.find(
        `old-table: ${proxy} works by ${versionText(version)} after ${versionText(newest)} was told as in force`,
      );
    if (tableNumber < newestNumber)
      this.#findings.find(
        `old-table: ${proxy} works by table ${tableNumber} after ${newestNumber}`,
      );
  }
}
