import { indexOf } from '../policy/table-index.js';
import type { ErrorCode } from '../common/errors.js';
import { later, type Moment } from '../common/ids.js';
import type { Version } from '../common/version.js';
import { ServiceBudgets, type TokenBudget } from './token-budget.js';
import { PolicyPicker } from './policy-picker.js';
import type { ProbedBackend, Prober } from './connection-probes.js';
import {
  isPlainService,
  type AdmittedRequest,
  type RequestInfo,
  type PolicyRouterSettings,
  type RoutingVerdict,
} from './policy-router-types.js';
import type { RowDemandCount, ModelDemandCount } from './demand-counter.js';
import { Freshness } from './freshness.js';
import { PolicyAdmission } from './policy-admission.js';
import { RunnerPool } from './runner-pool.js';
import { PolicyView } from './policy-view.js';

/** How long a request waits at most before it is refused, and how long it may wait by the estimate, of its lateness. */
const MAX_WAIT_SHARE = 1 / 3;
const MAX_ESTIMATED_SHARE = 1 / 2;
const STALE_TEXT = 'this proxy has not heard from the control nodes';
const DRAINING_TEXT = 'this proxy is being stopped';

/**
 * The proxy's decisions, pure: which request runs where, which waits, which is refused and why.
 * The executor asks and obeys; every request it asks about ends in exactly one of run-and-ended, refused or gone.
 */
export class PolicyRouter implements Prober {
  readonly #settings: PolicyRouterSettings;
  readonly #freshness: Freshness;
  readonly #view: PolicyView;
  readonly #runners: RunnerPool;
  readonly #admission: PolicyAdmission;
  readonly #running = new Map<number, AdmittedRequest>();
  readonly #pending: AdmittedRequest[] = [];
  readonly #budgets: ServiceBudgets;
  readonly #picker: PolicyPicker;
  #verdicts: RoutingVerdict[] = [];
  #isDraining = false;

  constructor(settings: PolicyRouterSettings) {
    this.#settings = settings;
    this.#freshness = new Freshness(settings.freshnessBoundMs, settings.incarnation);
    this.#view = new PolicyView(settings.me);
    this.#admission = new PolicyAdmission(this.#view);
    this.#runners = new RunnerPool(settings.slowStartMs);
    this.#budgets = new ServiceBudgets(settings.retryShare, settings.extraRetries);
    this.#picker = new PolicyPicker(this.#view, this.#runners);
  }

  get configVersion(): Version {
    return this.#view.configVersion;
  }
  /** The number of the table in force here, as operators count them. */
  get tableNumber(): number {
    return this.#view.tableNumber;
  }
  get placesVersion(): Version {
    return this.#view.placesVersion;
  }
  get runnerListRevision(): number {
    return this.#view.runnerListRevision;
  }
  get running(): number {
    return this.#running.size;
  }
  get pending(): number {
    return this.#pending.length;
  }

  /** Whether we may take new work: confirmed fresh lately, and there is a configuration to work by. */
  isFresh(now: Moment): boolean {
    return this.#view.hasConfig && this.#freshness.isFresh(now);
  }

  drain(): RoutingVerdict[] {
    const verdicts = this.#verdicts;
    this.#verdicts = [];
    return verdicts;
  }

  // ---- configuration and fleet

  /** Takes news; nothing ever steps back a version. */
  onUpdate(now: Moment, topic: string, version: Version, body: string): void {
    const change = this.#view.onUpdate(now, topic, version, body);
    // What waits was admitted by the table of before; a table is in force for all that has not begun to run.
    if (change === 'table') this.#readmitPending();
    if (change === 'places' || change === 'first places')
      this.#runners.setRunners(now, this.#view.placed, change === 'first places');
    this.#startPending(now);
  }

  startFreshnessRequest(now: Moment): number {
    return this.#freshness.startRequest(now);
  }

  onFreshnessConfirmed(nonce: number, version: Version, runnerListRevision: number): void {
    this.#freshness.onConfirmed(nonce, this.#view.isAsNewAs(version, runnerListRevision));
  }

  startDraining(now: Moment): void {
    this.#isDraining = true;
    for (const request of this.#pending.splice(0))
      this.#reject(request.info.id, 'draining', DRAINING_TEXT);
    this.#startPending(now);
  }

  /**
   * Asked again once the connection stands, right before the first byte: time may have passed since the choice,
   * and the runner may be leaving, its zone evacuated, the row gone, the limit past or this proxy blind.
   */
  mayWrite(now: Moment, id: number): boolean {
    const request = this.#running.get(id);
    if (!request || !this.isFresh(now) || now >= request.limit) return false;
    return (
      this.#view.rowNow(request) !== undefined &&
      this.#view.candidates(request).some((candidate) => candidate.id === request.runner)
    );
  }

  /** It was chosen and may no longer be written: it has not run, and is chosen anew or refused. */
  rerouteUnwritten(now: Moment, id: number): void {
    const request = this.#endRun(now, id, false);
    if (!request) return;
    request.triedRunners.delete(request.runner);
    if (now >= request.limit)
      this.#reject(id, 'limit-passed', 'its limit passed before it was begun');
    else if (!this.isFresh(now)) this.#reject(id, 'blind', STALE_TEXT);
    else if (!this.#view.rowNow(request)) this.#rejectUnmapped(id);
    else this.#retryOrFail(now, request, 'waits-for-place', 'its place was lost');
    this.#startPending(now);
  }

  #readmitPending(): void {
    for (const request of this.#pending.splice(0)) {
      const row = this.#view.rowNow(request);
      if (row) this.#pending.push({ ...request, row });
      else this.#rejectUnmapped(request.info.id);
    }
    this.#pending.sort(byWeight);
  }

  // ---- back ends that tell nothing of themselves

  /** Those to be probed: whether they were started anew is told by nobody. */
  probedBackends(): readonly ProbedBackend[] {
    return this.#view.plainBackEnds();
  }

  onBackendDown(_now: Moment, id: string): void {
    this.#runners.onBackendDown(id);
  }

  onBackendUp(now: Moment, id: string): void {
    if (!this.#runners.has(id)) return;
    this.#runners.onBackendUp(now, id);
    this.#startPending(now);
  }

  // ---- admission

  /** Whether the body names a model, or the request goes to plain back ends as it is. */
  needsModel(method: string, path: string): boolean | undefined {
    const mapping = this.#view.mappingOf(method, path);
    if (!mapping) return undefined;
    const model = indexOf(this.#view.table).firstOf(mapping.type)?.model ?? '';
    return !isPlainService(model);
  }

  /** Asked once for each request; the verdict is drained, at once or once it has waited. */
  onRequest(now: Moment, info: RequestInfo): void {
    if (this.#isDraining) {
      this.#reject(info.id, 'draining', DRAINING_TEXT);
      return;
    }
    if (!this.isFresh(now)) {
      this.#reject(info.id, 'blind', STALE_TEXT);
      return;
    }
    const admitted = this.#admission.admit(now, info);
    if ('request' in admitted) this.#enqueue(now, admitted.request);
    else this.#reject(info.id, admitted.kind, admitted.text, admitted.retryMs);
  }

  /** What was asked for since last told, for the placer. */
  takeDemand(): { units: ModelDemandCount[]; rows: RowDemandCount[] } {
    return this.#admission.takeDemand();
  }

  // ---- pending

  #enqueue(now: Moment, request: AdmittedRequest): void {
    this.#pending.push(request);
    this.#pending.sort(byWeight);
    if (this.#pending.length > this.#settings.maxPending) {
      const last = this.#pending.pop();
      if (last) {
        const { waitMs } = this.#picker.estimateWait(
          now,
          last,
          this.#pending.length,
          this.#running.values(),
        );
        this.#reject(last.info.id, 'crowded', 'too many wait, of more weight', waitMs);
      }
    }
    this.#startPending(now);
    this.#shedLoad(now);
  }

  tick(now: Moment): void {
    if (!this.isFresh(now)) {
      for (const request of this.#pending.splice(0))
        this.#reject(request.info.id, 'blind', STALE_TEXT);
    }
    this.#startPending(now);
    this.#shedLoad(now);
  }

  /** Starts whatever can start, the weightiest first. */
  #startPending(now: Moment): void {
    if (!this.isFresh(now)) return;
    for (const request of [...this.#pending]) {
      const chosen = this.#picker.pick(now, request);
      if (chosen === undefined) continue;
      this.#pending.splice(this.#pending.indexOf(request), 1);
      this.#startRun(now, request, chosen);
    }
  }

  /**
   * Refuses at once whatever can no longer be served in time, as far as the lengths of runs so far tell.
   * Nothing is held back until near its limit only to be told no then.
   */
  #shedLoad(now: Moment): void {
    const ahead = new Map<string, number>();
    for (const request of [...this.#pending]) {
      const { service, arrivedAt, row } = request;
      if (this.#view.isUnplaced(request)) {
        const text = this.#view.waitText(service) || 'its place was lost';
        this.#remove(request, 'waits-for-place', text, this.#view.placementDelayMs(now, service));
        continue;
      }
      const before = ahead.get(service) ?? 0;
      ahead.set(service, before + 1);
      const { waitMs, meanMs } = this.#picker.estimateWait(
        now,
        request,
        before,
        this.#running.values(),
      );
      // The rest of the lateness is for the run itself, since runs differ from their mean.
      const isTooLate =
        later(now, waitMs + meanMs) > later(arrivedAt, row.lateMs * MAX_ESTIMATED_SHARE);
      // Whatever the estimate says, nobody waits for longer to be told no.
      if (isTooLate || now >= later(arrivedAt, row.lateMs * MAX_WAIT_SHARE))
        this.#remove(request, 'crowded', `${before} wait before it`, waitMs);
    }
  }

  #remove(request: AdmittedRequest, kind: ErrorCode, text: string, retryMs: number): void {
    this.#pending.splice(this.#pending.indexOf(request), 1);
    this.#reject(request.info.id, kind, text, retryMs);
  }

  #reject(id: number, kind: ErrorCode, text: string, retryMs = 0): void {
    this.#verdicts.push({ do: 'reject', id, kind, text, retryMs });
  }

  #rejectUnmapped(id: number): void {
    this.#reject(id, 'unmapped', 'the table no longer has a row for it');
  }

  // ---- runs

  #startRun(now: Moment, request: AdmittedRequest, runner: string): void {
    const placed = this.#view.placed.get(runner);
    if (!placed || !this.#runners.has(runner)) return;
    request.runner = runner;
    request.startedAt = now;
    request.triedRunners.add(runner);
    this.#runners.onStart(runner);
    this.#picker.onStarted(runner, request);
    if (!request.isBudgetCredited) this.#budget(now, request.service).credit();
    request.isBudgetCredited = true;
    this.#running.set(request.info.id, request);
    this.#verdicts.push({
      do: 'run',
      id: request.info.id,
      runner,
      address: placed.address,
      isPlain: isPlainService(request.service),
      row: request.row,
      limit: request.limit,
      table: this.tableNumber,
    });
  }

  // ---- ends

  /** Only a run that went its way tells how long runs are. */
  #endRun(now: Moment, id: number, hasRun: boolean): AdmittedRequest | undefined {
    const request = this.#running.get(id);
    if (!request) return undefined;
    this.#running.delete(id);
    this.#runners.onEnd(request.runner, hasRun ? now - request.startedAt : undefined);
    return request;
  }

  /** The run ended, whole. */
  onRunCompleted(now: Moment, id: number): void {
    this.#endRun(now, id, true);
    this.#startPending(now);
  }

  /** No byte was written, or the runner said it has not begun: another runner may be chosen; the verdict follows. */
  onUnprocessed(now: Moment, id: number, why: 'unreached' | 'full'): void {
    const request = this.#endRun(now, id, false);
    if (!request) return;
    const { runner, service } = request;
    if (why === 'full') {
      this.#runners.onFull(now, runner);
      this.#retryOrFail(now, request, 'crowded', 'its runners are full');
      return;
    }
    if (isPlainService(service)) this.#runners.onBackendUnreachable(now, runner);
    else this.#runners.onFailure(now, runner);
    this.#retryOrFail(now, request, 'no-runner', 'no runner could be reached');
  }

  /** Bytes were written and nothing whole came back. Says whether it runs again; if not, its outcome is unsure. */
  onRunFailed(now: Moment, id: number, mayRepeat: boolean, isStale = false): boolean {
    const request = this.#endRun(now, id, false);
    if (!request) return false;
    // A kept connection that had gone stale says nothing of the runner, which may be chosen again at once.
    if (isStale) request.triedRunners.delete(request.runner);
    else this.#runners.onFailure(now, request.runner);
    if (!mayRepeat || !this.#mayRetry(now, request)) {
      this.#startPending(now);
      return false;
    }
    this.#retryOrFail(now, request, 'no-runner', 'no other runner could be reached');
    return true;
  }

  /** The budget is spent last, since it is spent for good. */
  #mayRetry(now: Moment, request: AdmittedRequest): boolean {
    if (!request.row.repeatable || this.#isDraining || now >= request.limit) return false;
    return this.#budget(now, request.service).trySpend();
  }

  #budget(now: Moment, service: string): TokenBudget {
    return this.#budgets.of(service, this.#view.proxyCount(now));
  }

  #retryOrFail(now: Moment, request: AdmittedRequest, kind: ErrorCode, text: string): void {
    const hasOther = this.#view
      .candidates(request)
      .some((candidate) => !request.triedRunners.has(candidate.id));
    // A repeat that had bytes written once may have run: it is never told as refused. See the executor.
    // Whoever is to hear a no hears it early: a third of the lateness is spent on finding a runner, and no more.
    const isSpent = now >= later(request.arrivedAt, request.row.lateMs * MAX_WAIT_SHARE);
    if (!hasOther || this.#isDraining || isSpent) this.#reject(request.info.id, kind, text);
    else this.#pending.unshift(request);
    this.#startPending(now);
    this.#shedLoad(now);
  }

  /** The client went away while its request was pending or running. */
  onClientDisconnect(now: Moment, id: number): void {
    const index = this.#pending.findIndex((request) => request.info.id === id);
    if (index >= 0) this.#pending.splice(index, 1);
    this.#endRun(now, id, false);
    this.#startPending(now);
  }
}

function byWeight(a: AdmittedRequest, b: AdmittedRequest): number {
  return b.row.weight - a.row.weight || a.limit - b.limit || a.info.id - b.info.id;
}
