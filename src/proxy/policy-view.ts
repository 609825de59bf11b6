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

/** A service that waits to be placed, with the leader's text and estimate. */
interface PlacementWait {
  readonly text: string;
  /** The time until its placement is ready as the leader reported it; 0 where it is unknown. */
  readonly reportedMs: number;
  readonly readyAt: Moment | undefined;
}

/** The minimum retry delay that clients are given for a model whose placement is due, ms. */
const MIN_RETRY_AFTER_MS = 1000;

/** What an update changed. */
export type PolicyChange = 'table' | 'places' | 'first places' | 'nothing';

/**
 * The state that the leader published to this proxy: the table, the placements of models, and the machines that are
 * draining. Updates that are not newer than what is held here are ignored.
 */
export class PolicyView {
  readonly #proxyId: string;
  #config: { readonly version: Version; readonly update: ConfigUpdate } | undefined;
  #places: { readonly version: Version; readonly update: Places } | undefined;
  #machines: Machines = { revision: 0, machines: [] };
  /** Runners that get no new requests: they are draining, or in an evacuated zone. */
  #excludedRunners = new Set<string>();
  readonly #seats = new Map<string, readonly Seat[]>();
  #waits: ReadonlyMap<string, PlacementWait> = new Map();
  readonly #placed = new Map<string, PlacedRunner>();
  readonly #proxyCount = new PublishedProxyCount();
  readonly #shares = new Map<string, number>();

  /** `proxyId`: the id under which the leader publishes this proxy's shares of rows. */
  constructor(proxyId: string) {
    this.#proxyId = proxyId;
  }

  /** The version of the configuration that is in force here. */
  get configVersion(): Version {
    return this.#config?.version ?? NO_VERSION;
  }
  /** The version of the placements that are in force here. */
  get placesVersion(): Version {
    return this.#places?.version ?? NO_VERSION;
  }
  /** The number of the table that is in force here, as operators number them; -1 before the first one. */
  get tableNumber(): number {
    return this.#config?.update.number ?? -1;
  }
  /** The revision of the list of machines. */
  get runnerListRevision(): number {
    return this.#machines.revision;
  }
  /** Whether a configuration has arrived. */
  get hasConfig(): boolean {
    return this.#config !== undefined;
  }
  /** The table that is in force here; empty before the first one. */
  get table(): Table {
    return this.#config?.update.table ?? EMPTY_TABLE;
  }
  /** The runners and plain back ends that the leader published, by id. */
  get placed(): ReadonlyMap<string, PlacedRunner> {
    return this.#placed;
  }

  /** The number of proxies that share fleet-wide limits; at least 1. */
  proxyCount(now: Moment): number {
    return this.#proxyCount.value(now);
  }

  /** Whether the configuration and the list of machines held here are at least as new as these. */
  isAsNewAs(version: Version, runnerListRevision: number): boolean {
    return (
      compareVersions(this.configVersion, version) >= 0 &&
      this.runnerListRevision >= runnerListRevision
    );
  }

  /** Applies an update, and returns what it changed. */
  onUpdate(now: Moment, topic: string, version: Version, body: string): PolicyChange {
    const change = this.#apply(now, topic, version, body);
    this.#updateExcluded();
    return change;
  }

  /** The row of the current table that admits a request. */
  rowOf(info: RequestInfo): Row | undefined {
    const mapping = this.mappingOf(info.method, info.path);
    return mapping ? findRow(this.table, mapping.type, info.model) : undefined;
  }

  /** The mapping of the current table that matches a method and path. */
  mappingOf(method: string, path: string): Mapping | undefined {
    return findMapping(this.table, mappedMethod(method), path);
  }

  /** The current version of the row that admitted a request; undefined if another row or none matches it now. */
  currentRow(request: AdmittedRequest): Row | undefined {
    const row = this.rowOf(request.info);
    return row && rowKey(row) === rowKey(request.row) ? row : undefined;
  }

  /** The runners that can serve a request according to the placements. */
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

  /** Whether no runner can serve a request. */
  isUnplaced(request: AdmittedRequest): boolean {
    return this.candidates(request).length === 0;
  }

  /** The leader's text on why a service is not placed yet; empty where there is none. */
  waitReason(service: string): string {
    return this.#waits.get(service)?.text ?? '';
  }

  /** How long until a service is placed by the leader's estimate, ms; 0 where that is unknown. */
  placementDelayMs(now: Moment, service: string): number {
    const readyAt = this.#waits.get(service)?.readyAt;
    return readyAt === undefined ? 0 : Math.max(MIN_RETRY_AFTER_MS, readyAt - now);
  }

  /** This proxy's share of a row's fleet-wide rate; an even share where the leader published none. */
  shareOf(now: Moment, row: Row): number {
    return this.#shares.get(rowKey(row)) ?? 1 / this.proxyCount(now);
  }

  /** The plain back ends, which don't report when they restart. */
  plainBackends(): readonly ProbedBackend[] {
    const list: ProbedBackend[] = [];
    for (const { id, address, service } of this.#placed.values())
      if (service !== '') list.push({ id, address });
    return list;
  }

  #apply(now: Moment, topic: string, version: Version, body: string): PolicyChange {
    if (topic === 'config' && compareVersions(version, this.configVersion) > 0) {
      const update = parseAs(ConfigUpdateShape, body);
      if (update) this.#config = { version, update };
      return 'table';
    }
    if (topic === 'places' && compareVersions(version, this.placesVersion) > 0) {
      const update = parseAs(PlacesShape, body);
      if (!update) return 'nothing';
      const change = this.#places === undefined ? 'first places' : 'places';
      this.#applyPlacements(now, update);
      this.#places = { version, update };
      this.#proxyCount.set(now, update.flows);
      return change;
    }
    if (topic === 'machines' && version.count > this.#machines.revision) {
      const update = parseAs(MachinesShape, body);
      if (update) this.#machines = update;
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
      // The leader reports the delay once when the wait begins, and it is counted down here; a repeated report does not
      // restart the countdown.
      const isSame =
        known !== undefined && known.text === place.wait && known.reportedMs === readyMs;
      const readyAt = readyMs > 0 ? later(now, readyMs) : undefined;
      waits.set(place.model, isSame ? known : { text: place.wait, reportedMs: readyMs, readyAt });
    }
    this.#waits = waits;
    for (const runner of update.runners) this.#placed.set(runner.id, runner);
    for (const share of update.shares)
      if (share.flow === this.#proxyId) this.#shares.set(share.row, share.share);
  }

  #updateExcluded(): void {
    const evacuated = new Set(this.#config?.update.emptied ?? []);
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

/** Mappings for GET also apply to HEAD. */
function mappedMethod(method: string): string {
  return method === 'HEAD' ? 'GET' : method;
}
