import { later, type Moment } from '../common/ids.js';
import { parseAs } from '../common/json.js';
import { compareVersions, NO_VERSION, type Version } from '../common/version.js';
import { ConfigUpdateShape, type ConfigUpdate } from '../control/config-shapes.js';
import {
  MachinesShape,
  PlacesShape,
  type Machines,
  type PlacedRunner,
  type Places,
  type Seat,
} from '../placement/shapes.js';
import {
  EMPTY_TABLE,
  findMapping,
  findRow,
  rowKey,
  type Mapping,
  type Row,
  type Table,
} from '../policy/table.js';
import {
  isPlainService,
  type AdmittedRequest,
  type RequestInfo,
  type Candidate,
} from './policy-router-types.js';
import { PublishedProxyCount } from './published-proxy-count.js';
import type { ProbedBackend } from './connection-probes.js';

/** Who waits for a place, and when it is due as far as the leader can tell. */
interface PlacementWait {
  readonly text: string;
  readonly reportedMs: number;
  readonly readyAt: Moment | undefined;
}

/** Callers are never told to come back sooner than this to a model whose place is due, ms. */
const MIN_RETRY_AFTER_MS = 1000;

/** What taking news changed. */
export type PolicyChange = 'table' | 'places' | 'first places' | 'nothing';

/** What a proxy was told: the table, where models are placed, and which machines leave. Nothing steps back a version. */
export class PolicyView {
  readonly #me: string;
  #config: { readonly version: Version; readonly news: ConfigUpdate } | undefined;
  #places: { readonly version: Version; readonly news: Places } | undefined;
  #machines: Machines = { revision: 0, machines: [] };
  /** Runners that get no new work: marked as leaving, or in an evacuated zone. */
  #excludedRunners = new Set<string>();
  readonly #seats = new Map<string, readonly Seat[]>();
  #waits: ReadonlyMap<string, PlacementWait> = new Map();
  readonly #placed = new Map<string, PlacedRunner>();
  readonly #proxyCount = new PublishedProxyCount();
  readonly #shares = new Map<string, number>();

  /** `me` is the proxy's id, by which the leader tells it its shares of rows. */
  constructor(me: string) {
    this.#me = me;
  }

  get configVersion(): Version {
    return this.#config?.version ?? NO_VERSION;
  }
  get placesVersion(): Version {
    return this.#places?.version ?? NO_VERSION;
  }
  /** The number of the table in force here, as operators count them. */
  get tableNumber(): number {
    return this.#config?.news.number ?? -1;
  }
  /** The revision of the list of machines. */
  get runnerListRevision(): number {
    return this.#machines.revision;
  }
  get hasConfig(): boolean {
    return this.#config !== undefined;
  }
  get table(): Table {
    return this.#config?.news.table ?? EMPTY_TABLE;
  }
  get placed(): ReadonlyMap<string, PlacedRunner> {
    return this.#placed;
  }

  /** How many proxies share limits that hold over the fleet; at least 1. */
  proxyCount(now: Moment): number {
    return this.#proxyCount.value(now);
  }

  /** Whether what is held here is at least as new. */
  isAsNewAs(version: Version, runnerListRevision: number): boolean {
    return (
      compareVersions(this.configVersion, version) >= 0 &&
      this.runnerListRevision >= runnerListRevision
    );
  }

  /** Takes a piece of news, and says what it changed. */
  onUpdate(now: Moment, topic: string, version: Version, body: string): PolicyChange {
    const change = this.#apply(now, topic, version, body);
    this.#updateExcluded();
    return change;
  }

  /** The row that admits a request, as the table stands. */
  rowOf(info: RequestInfo): Row | undefined {
    const mapping = this.mappingOf(info.method, info.path);
    return mapping ? findRow(this.table, mapping.type, info.model) : undefined;
  }

  mappingOf(method: string, path: string): Mapping | undefined {
    return findMapping(this.table, mappedMethod(method), path);
  }

  /** The row that admitted it, as it stands now; nothing if the table leads elsewhere by now. */
  rowNow(request: AdmittedRequest): Row | undefined {
    const row = this.rowOf(request.info);
    return row && rowKey(row) === rowKey(request.row) ? row : undefined;
  }

  /** Runners that may serve a request as far as places tell. */
  candidates(request: AdmittedRequest): Candidate[] {
    if (isPlainService(request.service)) return this.#plainCandidates(request.service.slice(1));
    const list: Candidate[] = [];
    const { adapter } = request.info;
    for (const seat of this.#seats.get(request.service) ?? []) {
      if (this.#excludedRunners.has(seat.runner)) continue;
      if (adapter !== '' && !seat.adapters.includes(adapter)) continue;
      list.push({ id: seat.runner, isPrimary: seat.primary });
    }
    return list;
  }

  isUnplaced(request: AdmittedRequest): boolean {
    return this.candidates(request).length === 0;
  }

  /** What the leader says of a service that waits for a place; empty where it says nothing. */
  waitText(service: string): string {
    return this.#waits.get(service)?.text ?? '';
  }

  /** How long until its place is due, as far as the leader told; 0 where nothing is known. */
  placementDelayMs(now: Moment, service: string): number {
    const readyAt = this.#waits.get(service)?.readyAt;
    return readyAt === undefined ? 0 : Math.max(MIN_RETRY_AFTER_MS, readyAt - now);
  }

  /** This proxy's share of what a row may take; an even one where none was told. */
  shareOf(now: Moment, row: Row): number {
    return this.#shares.get(rowKey(row)) ?? 1 / this.proxyCount(now);
  }

  /** Plain back ends: whether they were started anew is told by nobody. */
  plainBackEnds(): readonly ProbedBackend[] {
    const list: ProbedBackend[] = [];
    for (const { id, address, service } of this.#placed.values())
      if (service !== '') list.push({ id, address });
    return list;
  }

  #apply(now: Moment, topic: string, version: Version, body: string): PolicyChange {
    if (topic === 'config' && compareVersions(version, this.configVersion) > 0) {
      const update = parseAs(ConfigUpdateShape, body);
      if (update) this.#config = { version, news: update };
      return 'table';
    }
    if (topic === 'places' && compareVersions(version, this.placesVersion) > 0) {
      const news = parseAs(PlacesShape, body);
      if (!news) return 'nothing';
      const change = this.#places === undefined ? 'first places' : 'places';
      this.#applyPlacements(now, news);
      this.#places = { version, news };
      this.#proxyCount.set(now, news.flows);
      return change;
    }
    if (topic === 'machines' && version.count > this.#machines.revision) {
      const news = parseAs(MachinesShape, body);
      if (news) this.#machines = news;
    }
    return 'nothing';
  }

  #applyPlacements(now: Moment, update: Places): void {
    this.#seats.clear();
    const waits = new Map<string, PlacementWait>();
    this.#placed.clear();
    this.#shares.clear();
    for (const place of update.places) {
      this.#seats.set(place.model, place.seats);
      const known = this.#waits.get(place.model);
      const readyMs = place.readyMs ?? 0;
      // Told once when it begins to wait, and counted down here; the same word again is no new beginning.
      const isSame =
        known !== undefined && known.text === place.wait && known.reportedMs === readyMs;
      const readyAt = readyMs > 0 ? later(now, readyMs) : undefined;
      waits.set(place.model, isSame ? known : { text: place.wait, reportedMs: readyMs, readyAt });
    }
    this.#waits = waits;
    for (const runner of update.runners) this.#placed.set(runner.id, runner);
    for (const share of update.shares)
      if (share.flow === this.#me) this.#shares.set(share.row, share.share);
  }

  #updateExcluded(): void {
    const evacuated = new Set(this.#config?.news.emptied ?? []);
    this.#excludedRunners = new Set();
    for (const machine of this.#machines.machines)
      if (machine.leaving || evacuated.has(machine.zone)) this.#excludedRunners.add(machine.id);
    for (const runner of this.#placed.values())
      if (evacuated.has(runner.zone)) this.#excludedRunners.add(runner.id);
  }

  #plainCandidates(service: string): Candidate[] {
    const list: Candidate[] = [];
    for (const runner of this.#placed.values())
      if (runner.service === service && !this.#excludedRunners.has(runner.id))
        list.push({ id: runner.id, isPrimary: true });
    return list;
  }
}

/** Whatever may be got may have its head asked for. */
function mappedMethod(method: string): string {
  return method === 'HEAD' ? 'GET' : method;
}
