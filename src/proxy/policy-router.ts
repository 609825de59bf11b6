import { tableIndexOf } from '../policy/table-index.js';
import type { ErrorCode } from '../common/errors.js';
import { later, type Moment } from '../common/ids.js';
import type { Version } from '../common/version.js';
import { ServiceBudgets, type TokenBudget } from './token-budget.js';
import { PolicyPicker } from './policy-picker.js';
import type { ProbedBackend, BackendStateListener } from './connection-probes.js';
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

/** How long a request may wait, and wait and run by the estimate, as shares of its row's time limit. */
const MAX_WAIT_SHARE = 1 / 3;
const MAX_ESTIMATED_SHARE = 1 / 2;
const STALE_TEXT = 'this proxy has not heard from the control nodes';
const DRAINING_TEXT = 'this proxy is being stopped';

/**
 * Decides for each request where it runs, whether it waits, or why it is rejected. Does no I/O: the forwarder carries out
 * the verdicts. Every request ends in exactly one way: its run ended, it was rejected, or its client disconnected.
 */
export class PolicyRouter implements BackendStateListener {
  readonly #settings: PolicyRouterSettings;
  readonly #freshness: Freshness;
  readonly #view: PolicyView;
  readonly #runners: RunnerPool;
  readonly #admission: PolicyAdmission;
  readonly #running = new Map<number, AdmittedRequest>();
  readonly #pending: AdmittedRequest[] = [];
  readonly #budgets: ServiceBudgets;
  readonly #picker: PolicyPicker;
  readonly #verdicts: RoutingVerdict[] = [];
  #isDraining = false;

  constructor(settings: PolicyRouterSettings) {
    this.#settings = settings;
    this.#freshness = new Freshness(settings.freshnessBoundMs, settings.incarnation);
    this.#view = new PolicyView(settings.proxyId);
    this.#admission = new PolicyAdmission(this.#view);
    this.#runners = new RunnerPool(settings.slowStartMs);
    this.#budgets = new ServiceBudgets(settings.retryShare, settings.extraRetries);
    this.#picker = new PolicyPicker(this.#view, this.#runners);
  }

  /** The version of the configuration that is in force here. */
  get configVersion(): Version {
    return this.#view.configVersion;
  }
  /** The number of the table that is in force here, as operators number them. */
  get tableNumber(): number {
    return this.#view.tableNumber;
  }
  /** The version of the placements that are in force here. */
  get placesVersion(): Version {
    return this.#view.placesVersion;
  }
  /** The revision of the list of machines that is in force here. */
  get runnerListRevision(): number {
    return this.#view.runnerListRevision;
  }
  /** The number of requests that run. */
  get running(): number {
    return this.#running.size;
  }
  /** The number of admitted requests that wait for a runner. */
  get pending(): number {
    return this.#pending.length;
  }

  /** Whether new requests may be accepted: there is a configuration, and its freshness was confirmed recently. */
  isFresh(now: Moment): boolean {
    return this.#view.hasConfig && this.#freshness.isFresh(now);
  }

  /** Returns the verdicts to carry out, in order, and clears them. */
  drainVerdicts(): RoutingVerdict[] {
    return this.#verdicts.splice(0);
  }

  // ---- configuration and fleet

  /** Applies an update if its version is newer than the one held here. */
  onUpdate(now: Moment, topic: string, version: Version, body: string): void {
    const change = this.#view.onUpdate(now, topic, version, body);
    // Pending requests were admitted by the previous table; the new one applies to every request that has not started.
    if (change === 'table') this.#readmitPending();
    if (change === 'places' || change === 'first places')
      this.#runners.setRunners(now, this.#view.placed, change === 'first places');
    this.#startPending(now);
  }

  /** Registers a freshness request; returns its nonce. */
  startFreshnessRequest(now: Moment): number {
    return this.#freshness.startRequest(now);
  }

  /** A freshness request was answered: these were the newest versions. */
  onFreshnessConfirmed(nonce: number, version: Version, runnerListRevision: number): void {
    this.#freshness.onConfirmed(nonce, this.#view.isAsNewAs(version, runnerListRevision));
  }

  /** Rejects pending requests, and from now on new ones; those that run go on. */
  startDraining(now: Moment): void {
    this.#isDraining = true;
    for (const request of this.#pending.splice(0))
      this.#reject(request.info.id, 'draining', DRAINING_TEXT);
    this.#startPending(now);
  }

  /**
   * Whether a request may still be written, called right before its first byte: since the runner was picked it may be
   * draining, its zone evacuated, the row removed, the deadline reached, or the freshness confirmation expired.
   */
  mayWrite(now: Moment, id: number): boolean {
    const request = this.#running.get(id);
    if (!request || !this.isFresh(now) || now >= request.deadline) return false;
    return (
      this.#view.currentRow(request) !== undefined &&
      this.#view.candidates(request).some((candidate) => candidate.id === request.runner)
    );
  }

  /** The request may not be written to its runner any more: it has not run, and is sent to another runner or rejected. */
  rerouteUnwritten(now: Moment, id: number): void {
    const request = this.#endRun(now, id, false);
    if (!request) return;
    request.triedRunners.delete(request.runner);
    if (now >= request.deadline)
      this.#reject(id, 'limit-passed', 'its limit passed before it was begun');
    else if (!this.isFresh(now)) this.#reject(id, 'blind', STALE_TEXT);
    else if (!this.#view.currentRow(request)) this.#rejectUnmapped(id);
    else this.#retryOrFail(now, request, 'waits-for-place', 'its place was lost');
    this.#startPending(now);
  }

  #readmitPending(): void {
    for (const request of this.#pending.splice(0)) {
      const row = this.#view.currentRow(request);
      if (row) this.#pending.push({ ...request, row });
      else this.#rejectUnmapped(request.info.id);
    }
    this.#pending.sort(byWeight);
  }

  // ---- back ends that report nothing about themselves

  /** The back ends to probe: nothing else shows whether they have restarted. */
  probedBackends(): readonly ProbedBackend[] {
    return this.#view.plainBackends();
  }

  /** A probe found that a back end is down. */
  onBackendDown(_now: Moment, id: string): void {
    this.#runners.onBackendDown(id);
  }

  /** A probe found that a back end is up again. */
  onBackendUp(now: Moment, id: string): void {
    if (!this.#runners.has(id)) return;
    this.#runners.onBackendUp(now, id);
    this.#startPending(now);
  }

  // ---- admission

  /** Whether the body must name a model; false for requests to plain back ends, undefined if no mapping matches. */
  needsModel(method: string, path: string): boolean | undefined {
    const mapping = this.#view.mappingOf(method, path);
    if (!mapping) return undefined;
    const model = tableIndexOf(this.#view.table).firstRowOf(mapping.type)?.model ?? '';
    return !isPlainService(model);
  }

  /** Takes a new request; its verdict is drained immediately, or later if the request has to wait. */
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

  /** The demand since the last call, for the placer; starts a new count. */
  takeDemand(): { units: ModelDemandCount[]; rows: RowDemandCount[] } {
    return this.#admission.takeDemand();
  }

  // ---- pending

  /** Adds a request, new or repeated, to those that wait, in the order in which they are served. */
  #insert(request: AdmittedRequest): void {
    this.#pending.push(request);
    this.#pending.sort(byWeight);
  }

  #enqueue(now: Moment, request: AdmittedRequest): void {
    this.#insert(request);
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

  /** Periodic tick: starts pending requests, and rejects those that can't be served in time. */
  tick(now: Moment): void {
    if (!this.isFresh(now)) {
      for (const request of this.#pending.splice(0))
        this.#reject(request.info.id, 'blind', STALE_TEXT);
    }
    this.#startPending(now);
    this.#shedLoad(now);
  }

  /** Starts all pending requests that can start, the ones of highest weight first. */
  #startPending(now: Moment): void {
    if (!this.isFresh(now)) return;
    for (const request of [...this.#pending]) {
      const chosen = this.#picker.pick(now, request);
      if (chosen === undefined) continue;
      this.#pending.splice(this.#pending.indexOf(request), 1);
      this.#startRun(now, request, chosen);
    }
  }

  /** Rejects requests early if, by the lengths of runs so far, they can't be served in time; none waits until its deadline. */
  #shedLoad(now: Moment): void {
    const aheadByService = new Map<string, number>();
    for (const request of [...this.#pending]) {
      const { service, arrivedAt, row } = request;
      if (this.#view.isUnplaced(request)) {
        const text = this.#view.waitReason(service) || 'its place was lost';
        this.#remove(request, 'waits-for-place', text, this.#view.placementDelayMs(now, service));
        continue;
      }
      const aheadCount = aheadByService.get(service) ?? 0;
      aheadByService.set(service, aheadCount + 1);
      const { waitMs, meanMs } = this.#picker.estimateWait(
        now,
        request,
        aheadCount,
        this.#running.values(),
      );
      // The rest of the time limit is a reserve for the run, since runs differ from their mean.
      const isTooLate =
        later(now, waitMs + meanMs) > later(arrivedAt, row.lateMs * MAX_ESTIMATED_SHARE);
      // Whatever the estimate is, a request that is to be rejected waits no longer than this.
      if (isTooLate || now >= later(arrivedAt, row.lateMs * MAX_WAIT_SHARE))
        this.#remove(request, 'crowded', `${aheadCount} wait before it`, waitMs);
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
      deadline: request.deadline,
      table: this.tableNumber,
    });
  }

  // ---- ends of runs

  /** Removes a run; its length counts toward the mean only if it completed. */
  #endRun(now: Moment, id: number, isCompleted: boolean): AdmittedRequest | undefined {
    const request = this.#running.get(id);
    if (!request) return undefined;
    this.#running.delete(id);
    this.#runners.onEnd(request.runner, isCompleted ? now - request.startedAt : undefined);
    return request;
  }

  /** The run completed. */
  onRunCompleted(now: Moment, id: number): void {
    this.#endRun(now, id, true);
    this.#startPending(now);
  }

  /** No byte was written, or the runner has not started the request: another runner may be picked; a verdict follows. */
  onUnprocessed(now: Moment, id: number, reason: 'unreached' | 'full'): void {
    const request = this.#endRun(now, id, false);
    if (!request) return;
    const { runner, service } = request;
    if (reason === 'full') {
      this.#runners.onFull(now, runner);
      this.#retryOrFail(now, request, 'crowded', 'its runners are full');
      return;
    }
    if (isPlainService(service)) this.#runners.onBackendUnreachable(now, runner);
    else this.#runners.onFailure(now, runner);
    this.#retryOrFail(now, request, 'no-runner', 'no runner could be reached');
  }

  /**
   * Bytes were written and no complete response came back. Returns whether the request is retried; if not, its outcome is
   * unknown. `mayRepeat`: false where part of the response was already forwarded. `isStale`: the run failed because an
   * idle connection had closed.
   */
  onRunFailed(now: Moment, id: number, mayRepeat: boolean, isStale = false): boolean {
    const request = this.#endRun(now, id, false);
    if (!request) return false;
    // A stale idle connection says nothing about the runner, which may be picked again immediately.
    if (isStale) request.triedRunners.delete(request.runner);
    else this.#runners.onFailure(now, request.runner);
    if (!mayRepeat || !this.#mayRetry(now, request)) {
      this.#startPending(now);
      return false;
    }
    this.#retryOrFail(now, request, 'no-runner', 'no other runner could be reached');
    return true;
  }

  /** Whether the request may be retried. The budget is checked last, since spending from it can't be undone. */
  #mayRetry(now: Moment, request: AdmittedRequest): boolean {
    if (!request.row.repeatable || this.#isDraining || now >= request.deadline) return false;
    return this.#budget(now, request.service).trySpend();
  }

  #budget(now: Moment, service: string): TokenBudget {
    return this.#budgets.of(service, this.#view.proxyCount(now));
  }

  #retryOrFail(now: Moment, request: AdmittedRequest, kind: ErrorCode, text: string): void {
    const hasOther = this.#view
      .candidates(request)
      .some((candidate) => !request.triedRunners.has(candidate.id));
    // A retry whose earlier attempt was written may have run: InFlightRequests never reports it as rejected.
    // Rejections must come early: at most a third of the time limit is spent on finding a runner.
    const isWaitExhausted = now >= later(request.arrivedAt, request.row.lateMs * MAX_WAIT_SHARE);
    if (!hasOther || this.#isDraining || isWaitExhausted) this.#reject(request.info.id, kind, text);
    else this.#insert(request);
    this.#startPending(now);
    this.#shedLoad(now);
  }

  /** The client disconnected while its request was pending or running. */
  onClientDisconnect(now: Moment, id: number): void {
    const index = this.#pending.findIndex((request) => request.info.id === id);
    if (index >= 0) this.#pending.splice(index, 1);
    this.#endRun(now, id, false);
    this.#startPending(now);
  }
}

function byWeight(a: AdmittedRequest, b: AdmittedRequest): number {
  return b.row.weight - a.row.weight || a.deadline - b.deadline || a.info.id - b.info.id;
}
