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
  type Asked,
  type Candidate,
} from './decision-types.js';
import type { Watched } from './connection-probes.js';

/** Who waits for a place, and when it is due as far as the leader can tell. */
interface Wait {
  readonly text: string;
  readonly toldMs: number;
  readonly readyAt: Moment | undefined;
}

/** Callers are never told to come back sooner than this to a model whose place is due, ms. */
const SOONEST_RETRY_MS = 1000;

/** What taking news changed. */
export type TableChange = 'table' | 'places' | 'first places' | 'nothing';

/** What a proxy was told: the table, where models are placed, and which machines leave. Nothing steps back a version. */
export class TableView {
  readonly #me: string;
  #config: { readonly version: Version; readonly news: ConfigUpdate } | undefined;
  #places: { readonly version: Version; readonly news: Places } | undefined;
  #machines: Machines = { revision: 0, machines: [] };
  /** Runners that get no new work: marked as leaving, or in an evacuated zone. */
  #barred = new Set<string>();
  readonly #seats = new Map<string, readonly Seat[]>();
  #waits: ReadonlyMap<string, Wait> = new Map();
  readonly #placed = new Map<string, PlacedRunner>();
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
  get marks(): number {
    return this.#machines.revision;
  }
  get hasConfig(): boolean {
    return this.#config !== undefined;
  }
  get table(): Table {
    return this.#config?.news.table ?? EMPTY_TABLE;
  }
  /** How many proxies share what holds over the whole fleet; at least one. */
  get proxies(): number {
    return Math.max(1, this.#places?.news.flows ?? 1);
  }
  get placed(): ReadonlyMap<string, PlacedRunner> {
    return this.#placed;
  }

  /** Whether what is held here is at least as new. */
  isAsNewAs(version: Version, marks: number): boolean {
    return compareVersions(this.configVersion, version) >= 0 && this.marks >= marks;
  }

  /** Takes a piece of news, and says what it changed. */
  take(now: Moment, topic: string, version: Version, body: string): TableChange {
    const change = this.#take(now, topic, version, body);
    this.#bar();
    return change;
  }

  /** The row that admits a request, as the table stands. */
  rowOf(asked: Asked): Row | undefined {
    const mapping = this.mappingOf(asked.method, asked.path);
    return mapping ? findRow(this.table, mapping.type, asked.model) : undefined;
  }

  mappingOf(method: string, path: string): Mapping | undefined {
    return findMapping(this.table, mappedMethod(method), path);
  }

  /** The row that admitted it, as it stands now; nothing if the table leads elsewhere by now. */
  rowNow(request: AdmittedRequest): Row | undefined {
    const row = this.rowOf(request.asked);
    return row && rowKey(row) === rowKey(request.row) ? row : undefined;
  }

  /** Runners that may serve a request as far as places tell. */
  candidates(request: AdmittedRequest): Candidate[] {
    if (isPlainService(request.service)) return this.#plainCandidates(request.service.slice(1));
    const list: Candidate[] = [];
    const { adapter } = request.asked;
    for (const seat of this.#seats.get(request.service) ?? []) {
      if (this.#barred.has(seat.runner)) continue;
      if (adapter !== '' && !seat.adapters.includes(adapter)) continue;
      list.push({ id: seat.runner, isPrimary: seat.primary });
    }
    return list;
  }

  isPlaceless(request: AdmittedRequest): boolean {
    return this.candidates(request).length === 0;
  }

  /** What the leader says of a service that waits for a place; empty where it says nothing. */
  waitText(service: string): string {
    return this.#waits.get(service)?.text ?? '';
  }

  /** How long until its place is due, as far as the leader told; 0 where nothing is known. */
  placeMs(now: Moment, service: string): number {
    const readyAt = this.#waits.get(service)?.readyAt;
    return readyAt === undefined ? 0 : Math.max(SOONEST_RETRY_MS, readyAt - now);
  }

  /** This proxy's share of what a row may take; an even one where none was told. */
  shareOf(row: Row): number {
    return this.#shares.get(rowKey(row)) ?? 1 / (this.#places?.news.flows ?? 1);
  }

  /** Plain back ends: whether they were started anew is told by nobody. */
  plainBackEnds(): readonly Watched[] {
    const list: Watched[] = [];
    for (const { id, address, service } of this.#placed.values())
      if (service !== '') list.push({ id, address });
    return list;
  }

  #take(now: Moment, topic: string, version: Version, body: string): TableChange {
    if (topic === 'config' && compareVersions(version, this.configVersion) > 0) {
      const news = parseAs(ConfigUpdateShape, body);
      if (news) this.#config = { version, news };
      return 'table';
    }
    if (topic === 'places' && compareVersions(version, this.placesVersion) > 0) {
      const news = parseAs(PlacesShape, body);
      if (!news) return 'nothing';
      const change = this.#places === undefined ? 'first places' : 'places';
      this.#takePlaces(now, news);
      this.#places = { version, news };
      return change;
    }
    if (topic === 'machines' && version.count > this.#machines.revision) {
      const news = parseAs(MachinesShape, body);
      if (news) this.#machines = news;
    }
    return 'nothing';
  }

  #takePlaces(now: Moment, news: Places): void {
    this.#seats.clear();
    const waits = new Map<string, Wait>();
    this.#placed.clear();
    this.#shares.clear();
    for (const place of news.places) {
      this.#seats.set(place.model, place.seats);
      const known = this.#waits.get(place.model);
      const readyMs = place.readyMs ?? 0;
      // Told once when it begins to wait, and counted down here; the same word again is no new beginning.
      const isSame = known !== undefined && known.text === place.wait && known.toldMs === readyMs;
      const readyAt = readyMs > 0 ? later(now, readyMs) : undefined;
      waits.set(place.model, isSame ? known : { text: place.wait, toldMs: readyMs, readyAt });
    }
    this.#waits = waits;
    for (const runner of news.runners) this.#placed.set(runner.id, runner);
    for (const share of news.shares)
      if (share.flow === this.#me) this.#shares.set(share.row, share.share);
  }

  #bar(): void {
    const evacuated = new Set(this.#config?.news.emptied ?? []);
    this.#barred = new Set();
    for (const machine of this.#machines.machines)
      if (machine.leaving || evacuated.has(machine.zone)) this.#barred.add(machine.id);
    for (const runner of this.#placed.values())
      if (evacuated.has(runner.zone)) this.#barred.add(runner.id);
  }

  #plainCandidates(service: string): Candidate[] {
    const list: Candidate[] = [];
    for (const runner of this.#placed.values())
      if (runner.service === service && !this.#barred.has(runner.id))
        list.push({ id: runner.id, isPrimary: true });
    return list;
  }
}

/** Whatever may be got may have its head asked for. */
function mappedMethod(method: string): string {
  return method === 'HEAD' ? 'GET' : method;
}
