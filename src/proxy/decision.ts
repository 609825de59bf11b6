import { indexOf } from '../policy/table-index.js';
import type { ErrorCode } from '../common/errors.js';
import { later, type Moment } from '../common/ids.js';
import type { Version } from '../common/version.js';
import { ServiceBudgets } from './budget.js';
import { CandidateChoice } from './candidate-choice.js';
import type { Watched, Watcher } from './connection-probes.js';
import {
  isPlainService,
  type AdmittedRequest,
  type Asked,
  type DecisionSettings,
  type Verdict,
} from './decision-types.js';
import type { RowDemandCount, UnitDemandCount } from './demand-counter.js';
import { Freshness } from './freshness.js';
import { RowAdmission } from './row-admission.js';
import { RunnerPool } from './runner-pool.js';
import { TableView } from './table-view.js';

/** How long a request waits at most before it is refused, and how long it may wait by the estimate, of its lateness. */
const LONGEST_WAIT = 1 / 3;
const LONGEST_ESTIMATE = 1 / 2;
const BLIND_TEXT = 'this proxy has not heard from the control nodes';
const DRAINING_TEXT = 'this proxy is being stopped';

/**
 * The proxy's decisions, pure: which request runs where, which waits, which is refused and why.
 * The executor asks and obeys; every request it asks about ends in exactly one of run-and-ended, refused or gone.
 */
export class Decision implements Watcher {
  readonly #settings: DecisionSettings;
  readonly #freshness: Freshness;
  readonly #view: TableView;
  readonly #runners: RunnerPool;
  readonly #admission: RowAdmission;
  readonly #running = new Map<number, AdmittedRequest>();
  readonly #pending: AdmittedRequest[] = [];
  readonly #budgets: ServiceBudgets;
  readonly #choice: CandidateChoice;
  #verdicts: Verdict[] = [];
  #isDraining = false;

  constructor(settings: DecisionSettings) {
    this.#settings = settings;
    this.#freshness = new Freshness(settings.blindMs, settings.incarnation);
    this.#view = new TableView(settings.me);
    this.#admission = new RowAdmission(this.#view);
    this.#runners = new RunnerPool(settings.rampMs);
    this.#budgets = new ServiceBudgets(settings.repeatShare, settings.repeatFew);
    this.#choice = new CandidateChoice(this.#view, this.#runners);
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
  get marks(): number {
    return this.#view.marks;
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

  drain(): Verdict[] {
    const verdicts = this.#verdicts;
    this.#verdicts = [];
    return verdicts;
  }

  // ---- news

  /** Takes news; nothing ever steps back a version. */
  news(now: Moment, topic: string, version: Version, body: string): void {
    const change = this.#view.take(now, topic, version, body);
    // What waits was admitted by the table of before; a table is in force for all that has not begun to run.
    if (change === 'table') this.#admitAnew();
    if (change === 'places' || change === 'first places')
      this.#runners.follow(now, this.#view.placed, change === 'first places');
    this.#advance(now);
  }

  ask(now: Moment): number {
    return this.#freshness.ask(now);
  }

  confirmFreshness(nonce: number, version: Version, marks: number): void {
    this.#freshness.confirmFreshness(nonce, this.#view.isAsNewAs(version, marks));
  }

  startDraining(now: Moment): void {
    this.#isDraining = true;
    for (const request of this.#pending.splice(0))
      this.#refuse(request.asked.id, 'draining', DRAINING_TEXT);
    this.#advance(now);
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
  withdraw(now: Moment, id: number): void {
    const request = this.#end(now, id, false);
    if (!request) return;
    request.tried.delete(request.runner);
    if (now >= request.limit)
      this.#refuse(id, 'limit-passed', 'its limit passed before it was begun');
    else if (!this.isFresh(now)) this.#refuse(id, 'blind', BLIND_TEXT);
    else if (!this.#view.rowNow(request)) this.#refuseUnmapped(id);
    else this.#retryOrEnd(now, request, 'waits-for-place', 'its place was lost');
    this.#advance(now);
  }

  #admitAnew(): void {
    for (const request of this.#pending.splice(0)) {
      const row = this.#view.rowNow(request);
      if (row) this.#pending.push({ ...request, row });
      else this.#refuseUnmapped(request.asked.id);
    }
    this.#pending.sort(byWeight);
  }

  // ---- back ends that tell nothing of themselves

  /** Those to be probed: whether they were started anew is told by nobody. */
  silentBacks(): readonly Watched[] {
    return this.#view.plainBackEnds();
  }

  fallen(_now: Moment, id: string): void {
    this.#runners.fallen(id);
  }

  risen(now: Moment, id: string): void {
    if (!this.#runners.has(id)) return;
    this.#runners.risen(now, id);
    this.#advance(now);
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
  gate(now: Moment, asked: Asked): void {
    if (this.#isDraining) {
      this.#refuse(asked.id, 'draining', DRAINING_TEXT);
      return;
    }
    if (!this.isFresh(now)) {
      this.#refuse(asked.id, 'blind', BLIND_TEXT);
      return;
    }
    const admitted = this.#admission.admit(now, asked);
    if ('request' in admitted) this.#pend(now, admitted.request);
    else this.#refuse(asked.id, admitted.kind, admitted.text, admitted.retryMs);
  }

  /** What was asked for since last told, for the placer. */
  takeDemand(): { units: UnitDemandCount[]; rows: RowDemandCount[] } {
    return this.#admission.takeDemand();
  }

  // ---- pending

  #pend(now: Moment, request: AdmittedRequest): void {
    this.#pending.push(request);
    this.#pending.sort(byWeight);
    if (this.#pending.length > this.#settings.mostPending) {
      const last = this.#pending.pop();
      if (last) {
        const { waitMs } = this.#choice.turn(
          now,
          last,
          this.#pending.length,
          this.#running.values(),
        );
        this.#refuse(last.asked.id, 'crowded', 'too many wait, of more weight', waitMs);
      }
    }
    this.#advance(now);
    this.#shed(now);
  }

  tick(now: Moment): void {
    if (!this.isFresh(now)) {
      for (const request of this.#pending.splice(0))
        this.#refuse(request.asked.id, 'blind', BLIND_TEXT);
    }
    this.#advance(now);
    this.#shed(now);
  }

  /** Starts whatever can start, the weightiest first. */
  #advance(now: Moment): void {
    if (!this.isFresh(now)) return;
    for (const request of [...this.#pending]) {
      const chosen = this.#choice.choose(now, request);
      if (chosen === undefined) continue;
      this.#pending.splice(this.#pending.indexOf(request), 1);
      this.#start(now, request, chosen);
    }
  }

  /**
   * Refuses at once whatever can no longer be served in time, as far as the lengths of runs so far tell.
   * Nothing is held back until near its limit only to be told no then.
   */
  #shed(now: Moment): void {
    const ahead = new Map<string, number>();
    for (const request of [...this.#pending]) {
      const { service, arrivedAt, row } = request;
      if (this.#view.isPlaceless(request)) {
        const text = this.#view.waitText(service) || 'its place was lost';
        this.#remove(request, 'waits-for-place', text, this.#view.placeMs(now, service));
        continue;
      }
      const before = ahead.get(service) ?? 0;
      ahead.set(service, before + 1);
      const { waitMs, meanMs } = this.#choice.turn(now, request, before, this.#running.values());
      // The rest of the lateness is for the run itself, since runs differ from their mean.
      const isTooLate =
        later(now, waitMs + meanMs) > later(arrivedAt, row.lateMs * LONGEST_ESTIMATE);
      // Whatever the estimate says, nobody waits for longer to be told no.
      if (isTooLate || now >= later(arrivedAt, row.lateMs * LONGEST_WAIT))
        this.#remove(request, 'crowded', `${before} wait before it`, waitMs);
    }
  }

  #remove(request: AdmittedRequest, kind: ErrorCode, text: string, retryMs: number): void {
    this.#pending.splice(this.#pending.indexOf(request), 1);
    this.#refuse(request.asked.id, kind, text, retryMs);
  }

  #refuse(id: number, kind: ErrorCode, text: string, retryMs = 0): void {
    this.#verdicts.push({ do: 'turnAway', id, kind, text, retryMs });
  }

  #refuseUnmapped(id: number): void {
    this.#refuse(id, 'unmapped', 'the table no longer has a row for it');
  }

  // ---- runs

  #start(now: Moment, request: AdmittedRequest, runner: string): void {
    const placed = this.#view.placed.get(runner);
    if (!placed || !this.#runners.has(runner)) return;
    request.runner = runner;
    request.startedAt = now;
    request.tried.add(runner);
    this.#runners.started(runner);
    this.#choice.given(runner, request);
    if (!request.isCounted) this.#budgets.of(request.service, this.#view.proxies).earn();
    request.isCounted = true;
    this.#running.set(request.asked.id, request);
    this.#verdicts.push({
      do: 'run',
      id: request.asked.id,
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
  #end(now: Moment, id: number, hasRun: boolean): AdmittedRequest | undefined {
    const request = this.#running.get(id);
    if (!request) return undefined;
    this.#running.delete(id);
    this.#runners.ended(request.runner, hasRun ? now - request.startedAt : undefined);
    return request;
  }

  /** The run ended, whole. */
  done(now: Moment, id: number): void {
    this.#end(now, id, true);
    this.#advance(now);
  }

  /** No byte was written, or the runner said it has not begun: another runner may be chosen; the verdict follows. */
  notRun(now: Moment, id: number, why: 'unreached' | 'full'): void {
    const request = this.#end(now, id, false);
    if (!request) return;
    const { runner, service } = request;
    if (why === 'full') {
      this.#runners.full(now, runner);
      this.#retryOrEnd(now, request, 'crowded', 'its runners are full');
      return;
    }
    if (isPlainService(service)) this.#runners.unreachedPlain(now, runner);
    else this.#runners.broken(now, runner);
    this.#retryOrEnd(now, request, 'no-runner', 'no runner could be reached');
  }

  /** Bytes were written and nothing whole came back. Says whether it runs again; if not, its outcome is unsure. */
  broke(now: Moment, id: number, mayRepeat: boolean, isStale = false): boolean {
    const request = this.#end(now, id, false);
    if (!request) return false;
    // A kept connection that had gone stale says nothing of the runner, which may be chosen again at once.
    if (isStale) request.tried.delete(request.runner);
    else this.#runners.broken(now, request.runner);
    if (!mayRepeat || !this.#mayRepeat(now, request)) {
      this.#advance(now);
      return false;
    }
    this.#retryOrEnd(now, request, 'no-runner', 'no other runner could be reached');
    return true;
  }

  /** The budget is spent last, since it is spent for good. */
  #mayRepeat(now: Moment, request: AdmittedRequest): boolean {
    if (!request.row.repeatable || this.#isDraining || now >= request.limit) return false;
    return this.#budgets.of(request.service, this.#view.proxies).spend();
  }

  #retryOrEnd(now: Moment, request: AdmittedRequest, kind: ErrorCode, text: string): void {
    const hasOther = this.#view
      .candidates(request)
      .some((candidate) => !request.tried.has(candidate.id));
    // A repeat that had bytes written once may have run: it is never told as refused. See the executor.
    // Whoever is to hear a no hears it early: a third of the lateness is spent on finding a runner, and no more.
    const isSpent = now >= later(request.arrivedAt, request.row.lateMs * LONGEST_WAIT);
    if (!hasOther || this.#isDraining || isSpent) this.#refuse(request.asked.id, kind, text);
    else this.#pending.unshift(request);
    this.#advance(now);
    this.#shed(now);
  }

  /** The client went away while its request was pending or running. */
  gone(now: Moment, id: number): void {
    const index = this.#pending.findIndex((request) => request.asked.id === id);
    if (index >= 0) this.#pending.splice(index, 1);
    this.#end(now, id, false);
    this.#advance(now);
  }
}

function byWeight(a: AdmittedRequest, b: AdmittedRequest): number {
  return b.row.weight - a.row.weight || a.limit - b.limit || a.asked.id - b.asked.id;
}
