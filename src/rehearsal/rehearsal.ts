import { randomUUID } from 'node:crypto';
import { compile } from '../policy/language.js';
import { number, optional, type } from 'superstruct';
import { call } from '../common/call.js';
import { parseAs } from '../common/json.js';
import { PlacesShape } from '../placement/shapes.js';
import type { Callers } from './callers.js';
import type { Fleet } from './fleet.js';
import { Judge, RULES, type Violation } from './judge.js';
import { readBackRecords, type EventRecord } from './records.js';
import { pause } from './stub-runner.js';

const CountersShape = type({
  memory: number(),
  runs: optional(number()),
  repeats: optional(number()),
});

/** Options of one rehearsal. */
export interface RehearsalPlan {
  /** How long traffic is sent before the first failure, s. */
  readonly seconds: number;
  /** Multiplies the traffic. */
  readonly factor: number;
  /** Whether failures are caused. */
  readonly isFailing: boolean;
  /** The name of the only step to run; empty for all steps. */
  readonly only: string;
}

/** One rehearsal of a fleet of real processes: starts it, submits its table, sends traffic, and checks the rules. */
export class Rehearsal {
  readonly #fleet: Fleet;
  readonly #log: (line: string) => void;
  readonly #events: EventRecord[] = [];
  #table = 0;

  constructor(fleet: Fleet, log: (line: string) => void) {
    this.#fleet = fleet;
    this.#log = log;
  }

  /** The recorded events, in the order in which they were noted. */
  get events(): readonly EventRecord[] {
    return this.#events;
  }
  /** The number of the last accepted table. */
  get table(): number {
    return this.#table;
  }

  /** Records an event. */
  addEvent(event: Omit<EventRecord, 'at'>, at = Date.now()): void {
    this.#events.push({ at, ...event });
  }

  /** Starts the fleet and waits until it serves its table. Throws if a step takes too long. */
  async startFleet(): Promise<void> {
    const fleet = this.#fleet;
    const start = Date.now();
    await fleet.start();
    await fleet.waitUntil('a serving leader', 60_000, () => this.#isServing());
    this.#log(`leader after ${Date.now() - start} ms`);
    await this.putTable(fleet.deployment.table);
    this.#log(`table ${this.#table} accepted after ${Date.now() - start} ms`);
    await fleet.waitUntil('every proxy fresh', 30_000, () => this.#areProxiesFresh());
    await fleet.waitUntil('the models placed', 60_000, () => this.#arePlaced());
    this.#log(`placed after ${Date.now() - start} ms`);
  }

  async #isServing(): Promise<boolean> {
    const { value } = await this.#fleet.callApi('GET', '/status');
    return (
      value['leader'] !== '' &&
      value['leader'] !== undefined &&
      (await this.#fleet.callApi('GET', '/table')).status === 200
    );
  }

  async #areProxiesFresh(): Promise<boolean> {
    for (const edge of this.#fleet.edges) {
      const counters: unknown = JSON.parse(
        (await call('GET', edge.proxyStatus, '/counters', undefined, 2000)).body,
      );
      if (
        typeof counters !== 'object' ||
        counters === null ||
        !('fresh' in counters) ||
        counters.fresh !== true
      )
        return false;
    }
    return true;
  }

  /** Whether enough models have a replica: eight, or half of the catalog if that is fewer. */
  async #arePlaced(): Promise<boolean> {
    const { value } = await this.#fleet.callApi('GET', '/status');
    const places = value['places'];
    if (
      typeof places !== 'object' ||
      places === null ||
      !('places' in places) ||
      !Array.isArray(places.places)
    )
      return false;
    let placedCount = 0;
    for (const place of places.places) {
      const item: unknown = place;
      if (
        typeof item === 'object' &&
        item !== null &&
        'seats' in item &&
        Array.isArray(item.seats) &&
        item.seats.length > 0
      )
        placedCount += 1;
    }
    return placedCount >= Math.min(8, this.#fleet.deployment.catalog.models.length / 2);
  }

  /** Submits a table. Throws if it is not accepted. */
  async putTable(text: string): Promise<void> {
    const id = randomUUID();
    const base = Number(
      (await this.#fleet.callApiWithRetry('GET', '/table', undefined, 20_000)).value['number'],
    );
    const returned = await this.#fleet.callApiWithRetry(
      'PUT',
      '/table',
      { id, base, text },
      20_000,
    );
    if (returned.status !== 200)
      throw new Error(`the table was not accepted: ${JSON.stringify(returned)}`);
    this.#table = Number(returned.value['number']);
    this.addEvent({ what: 'table-accepted', number: this.#table });
  }

  /** Sets one cell of the table and returns the HTTP status. */
  async setCell(row: string, column: string, value: string | number | boolean): Promise<number> {
    const returned = await this.#fleet.callApiWithRetry(
      'PATCH',
      '/table/cell',
      { id: randomUUID(), base: this.#table, row, column, value },
      20_000,
    );
    if (returned.status === 200) {
      this.#table = Number(returned.value['number']);
      this.addEvent({ what: 'table-accepted', number: this.#table });
    }
    return returned.status;
  }

  /** Evacuates a zone or restores it. Throws if that is rejected. */
  async setZoneEvacuated(zone: string, isEmpty: boolean): Promise<void> {
    if (!isEmpty) this.addEvent({ what: 'zone-filling', zone });
    const returned = await this.#fleet.callApiWithRetry(
      isEmpty ? 'PUT' : 'DELETE',
      `/zones/${zone}/empty`,
      { id: randomUUID() },
      20_000,
    );
    if (returned.status !== 200) throw new Error(`zone ${zone}: ${JSON.stringify(returned)}`);
    if (isEmpty) this.addEvent({ what: 'zone-emptied', zone });
  }

  /** Sends the traffic, causes failures if planned, and checks the rules. Returns whether all checks passed. */
  async run(callers: Callers, plan: RehearsalPlan): Promise<boolean> {
    for (const kind of this.#fleet.deployment.traffic) callers.start(kind, plan.factor);
    await pause(plan.seconds * 500);
    const halfway = await this.#proxyCounters();
    await pause(plan.seconds * 500);
    const final = await this.#proxyCounters();
    this.#log(
      `proxies halfway and at the end: max memory ${halfway.memory} and ${final.memory} MB, runs ${halfway.runs} and ${final.runs}, retries ${final.repeats}`,
    );
    const hasRecovered = plan.isFailing ? await this.#causeFailures(callers, plan.only) : true;
    await callers.stop();
    return (await this.judge(callers)) && hasRecovered;
  }

  /** Sums of runs and retries over all proxies, and the maximum memory of one of them, MB. */
  async #proxyCounters(): Promise<{
    readonly memory: number;
    readonly runs: number;
    readonly repeats: number;
  }> {
    let [memory, runs, repeats] = [0, 0, 0];
    for (const edge of this.#fleet.edges) {
      const counters = parseAs(
        CountersShape,
        (await call('GET', edge.proxyStatus, '/counters', undefined, 2000)).body,
      );
      memory = Math.max(memory, Math.round((counters?.memory ?? 0) / 1e6));
      runs += counters?.runs ?? 0;
      repeats += counters?.repeats ?? 0;
    }
    return { memory, runs, repeats };
  }

  /** The name of the leader's process; of the first control node if the leader is unknown. */
  async leaderName(): Promise<string> {
    const { value } = await this.#fleet.callApi('GET', '/status');
    for (const controlNode of this.#fleet.controlNodes)
      if (controlNode.listen === value['leader']) return controlNode.name;
    return this.#fleet.controlNodes[0]?.name ?? '';
  }

  async #runStep(name: string, run: () => Promise<void>): Promise<void> {
    const start = Date.now();
    try {
      await run();
    } catch (thrown) {
      for (const controlNode of this.#fleet.controlNodes) {
        const { me, role, epoch, leader, standing, voters, scores, config } = (
          await this.#fleet.callApi('GET', '/status', undefined, controlNode)
        ).value;
        this.#log(JSON.stringify({ me, role, epoch, leader, standing, voters, scores, config }));
      }
      throw thrown;
    }
    this.#log(`${name}: ${Date.now() - start} ms`);
  }

  /** Waits until a leader serves and every proxy is fresh. Throws after `limitMs`. */
  async awaitRecovery(limitMs: number): Promise<void> {
    await this.#fleet.waitUntil('a serving leader and every proxy fresh', limitMs, () =>
      this.#isServingAndFresh(),
    );
  }

  async #isServingAndFresh(): Promise<boolean> {
    return (await this.#isServing()) && (await this.#areProxiesFresh());
  }

  /** Runs the failure steps in sequence, with a further failure at the end. Returns whether service recovered. */
  async #causeFailures(callers: Callers, only: string): Promise<boolean> {
    const fleet = this.#fleet;
    const [edge] = fleet.edges;
    const row = /^row (\S+) (\S+)/m.exec(fleet.deployment.table)?.slice(1).join('/') ?? '';
    const log = this.#log;
    const self = {
      setCell: (row: string, column: string, value: string | number | boolean) =>
        this.setCell(row, column, value),
      awaitService: (limitMs: number) => this.awaitRecovery(limitMs),
      race: (row: string) => this.#raceEdits(row),
      leader: () => this.leaderName(),
      emptyZone: (zone: string, isEmpty: boolean) => this.setZoneEvacuated(zone, isEmpty),
      note: this.addEvent.bind(this),
      table: () => this.#tableNumber(),
      primariesAt: (runner: string) => this.#primariesAt(runner),
      isSound: (name: string) => this.isSound(name),
      isVoter: (fresh: string, old: string) => this.#isVoter(fresh, old),
    };
    const [runner, otherRunner] = fleet.deployment.runners;
    const zone = fleet.deployment.zones[0] ?? '';
    async function setOneCell(): Promise<void> {
      await self.setCell(row, 'weight', 91);
    }
    async function raceOperators(): Promise<void> {
      log(`statuses of two concurrent edits: ${await self.race(row)}`);
    }
    async function killLeader(): Promise<void> {
      const name = await self.leader();
      await fleet.signal(name, 'SIGKILL');
      await pause(1500);
      fleet.startProcess(name);
      await self.awaitService(30_000);
    }
    async function freezeLeader(): Promise<void> {
      const name = await self.leader();
      await fleet.signal(name, 'SIGSTOP');
      await pause(7000);
      await fleet.signal(name, 'SIGCONT');
      await self.awaitService(30_000);
    }
    async function swapSeed(): Promise<void> {
      // A control node is lost permanently and replaced by one with an empty disk and a new address.
      const old = fleet.controlNodes[2];
      if (!old) return;
      await fleet.signal(old.name, 'SIGKILL');
      const fresh = await fleet.addControlNode(old.zone);
      await fleet.waitUntil(
        'a sound replica at the new control node',
        20_000,
        self.isSound.bind(undefined, fresh.name),
      );
      const returned = await fleet.callApiWithRetry(
        'POST',
        '/voters/swap',
        { id: randomUUID(), old: old.listen, new: fresh.listen },
        20_000,
      );
      if (returned.status !== 200) throw new Error(`swap: ${JSON.stringify(returned)}`);
      await fleet.waitUntil(
        'three voters including the new control node',
        20_000,
        self.isVoter.bind(undefined, fresh.listen, old.listen),
      );
      await self.awaitService(30_000);
    }
    async function loseDisk(): Promise<void> {
      // The leader loses its disk right after it acknowledged an edit.
      const name = await self.leader();
      await self.setCell(row, 'weight', 92);
      await fleet.signal(name, 'SIGKILL');
      const controlNode = fleet.controlNodes.find((controlNode) => isNamed(name, controlNode));
      if (controlNode) fleet.deleteData(controlNode);
      fleet.startProcess(name);
      await self.awaitService(30_000);
      // One disk at a time: a further fault before this replica is sound could destroy the last copy of what it lost.
      await fleet.waitUntil(
        'a sound replica at the node that lost its disk',
        30_000,
        self.isSound.bind(undefined, name),
      );
      const read = await fleet.callApiWithRetry('GET', '/table', undefined, 20_000);
      self.note({ what: 'table-read', number: Number(read.value['number']) });
    }
    async function markLeaving(): Promise<void> {
      if (!runner) return;
      await fleet.markLeaving(runner.id, true);
      await pause(7000);
      await fleet.markLeaving(runner.id, false);
    }
    async function evacuateZone(): Promise<void> {
      await self.emptyZone(zone, true);
      await pause(8000);
      await self.emptyZone(zone, false);
    }
    async function killRunner(): Promise<void> {
      if (!otherRunner) return;
      const models = await self.primariesAt(otherRunner.id);
      const start = Date.now();
      await fleet.signal(otherRunner.id, 'SIGKILL');
      await pause(3000);
      const counts = new Map<string, number>();
      for (const record of callers.records) {
        if (record.sentAt < start || !models.has(record.model)) continue;
        counts.set(record.outcome, (counts.get(record.outcome) ?? 0) + 1);
      }
      log(
        `requests in the 3 s after the kill, for models whose primary the runner was: ${JSON.stringify(Object.fromEntries(counts))}`,
      );
      fleet.startProcess(otherRunner.id);
      await pause(3000);
    }
    async function freezeRunner(): Promise<void> {
      if (!runner) return;
      await fleet.signal(runner.id, 'SIGSTOP');
      await pause(4000);
      await fleet.signal(runner.id, 'SIGCONT');
      await pause(2000);
    }
    async function freezeProxy(): Promise<void> {
      const start = Date.now();
      await fleet.signal('flow-0', 'SIGSTOP');
      // A table accepted while the proxy is frozen must be in effect there before it serves again.
      await self.setCell(row, 'weight', 93);
      await pause(1000);
      await fleet.signal('flow-0', 'SIGCONT');
      self.note({ what: 'frozen', node: edge?.proxy ?? '', number: Date.now() - start }, start);
      await pause(1500);
    }
    async function restartProxies(): Promise<void> {
      for (const [index, place] of fleet.edges.entries()) {
        self.note({ what: 'planned-stop', node: place.proxy });
        const code = await fleet.signal(`flow-${index}`, 'SIGTERM');
        if (code !== 0) throw new Error(`flow-${index} ended with ${code}`);
        fleet.startProcess(`flow-${index}`);
      }
      await self.awaitService(30_000);
    }
    async function restartControl(): Promise<void> {
      for (const index of fleet.edges.keys()) {
        await fleet.signal(`link-${index}`, 'SIGTERM');
        fleet.startProcess(`link-${index}`);
        await pause(300);
      }
      for (const controlNode of fleet.controlNodes) {
        await fleet.signal(controlNode.name, 'SIGTERM');
        fleet.startProcess(controlNode.name);
        await self.awaitService(30_000);
      }
    }
    async function failOnceMore(): Promise<void> {
      await fleet.signal('link-0', 'SIGKILL');
      await fleet.signal(await self.leader(), 'SIGKILL');
      fleet.startProcess('link-0');
      await self.awaitService(30_000);
      for (const controlNode of fleet.controlNodes) fleet.startProcess(controlNode.name);
      await self.awaitService(30_000);
      await pause(3000);
    }
    async function sendBurst(): Promise<void> {
      // A burst of concurrent requests for models that rarely get requests.
      const kind = fleet.deployment.traffic[0];
      const rare = fleet.deployment.catalog.models.filter(isRare);
      if (!kind || !edge) return;
      const sends = [];
      for (let index = 0; index < 200; index += 1)
        sends.push(callers.send(kind, rare[index % rare.length]?.name));
      await Promise.all(sends);
    }
    async function cutLeader(): Promise<void> {
      const name = await self.leader();
      const controlNode = fleet.controlNodes.find((controlNode) => isNamed(name, controlNode));
      if (!controlNode) return;
      const rest = new Set([...fleet.controlNodes.map(listenOf), ...fleet.edges.map(listenOf)]);
      rest.delete(controlNode.listen);
      fleet.cuts.set(true, new Set([controlNode.listen]), rest);
      await pause(6000);
      // The others continue without the leader that is cut off, which must not acknowledge an edit.
      const reply = await fleet.callApi(
        'PATCH',
        '/table/cell',
        { id: randomUUID(), base: self.table(), row, column: 'weight', value: 77 },
        controlNode,
      );
      log(`status of an edit at the leader that is cut off: ${reply.status}`);
      await self.setCell(row, 'weight', 94);
      fleet.cuts.set(false, new Set([controlNode.listen]), rest);
      await self.awaitService(30_000);
    }
    async function cutEdge(): Promise<void> {
      if (!edge) return;
      const controlNodes = new Set(fleet.controlNodes.map(listenOf));
      fleet.cuts.set(true, new Set([edge.listen]), controlNodes);
      await self.setCell(row, 'weight', 95);
      await pause(3000);
      fleet.cuts.set(false, new Set([edge.listen]), controlNodes);
      await self.awaitService(30_000);
    }
    async function cutCore(): Promise<void> {
      const controlNodes = new Set(fleet.controlNodes.map(listenOf));
      const edges = new Set(fleet.edges.map(listenOf));
      fleet.cuts.set(true, edges, controlNodes);
      // The edit reaches no proxy; it is acknowledged once the freshness of all proxies has expired.
      await self.setCell(row, 'weight', 96);
      await pause(2000);
      fleet.cuts.set(false, edges, controlNodes);
      await self.awaitService(30_000);
    }
    const steps: readonly (readonly [string, () => Promise<void>])[] = [
      ['one cell', setOneCell],
      ['two operators', raceOperators],
      ['leader killed', killLeader],
      ['leader frozen and woken', freezeLeader],
      ['disk lost after a yes', loseDisk],
      ['leader cut off', cutLeader],
      ['edge cut off', cutEdge],
      ['whole core cut off', cutCore],
      ['runner leaving', markLeaving],
      ['zone emptied', evacuateZone],
      ['runner killed', killRunner],
      ['runner dark', freezeRunner],
      ['proxy frozen and woken', freezeProxy],
      ['crowd on rare models', sendBurst],
      ['proxies restarted', restartProxies],
      ['links and control nodes restarted', restartControl],
      ['seed swapped', swapSeed],
      ['one more fault', failOnceMore],
    ];
    for (const [name, run] of steps)
      if (only === '' || name === only) await this.#runStep(name, run);
    const before = callers.records.length;
    await pause(5000);
    const lateCalls = callers.records.slice(before);
    const served = lateCalls.filter(isDone).length;
    this.#log(`after the last failure: ${served} of ${lateCalls.length} requests served`);
    return served >= lateCalls.length * 0.7;
  }

  /** Whether a control node's replica is sound. */
  async isSound(name: string): Promise<boolean> {
    const controlNode = this.#fleet.controlNodes.find((controlNode) => isNamed(name, controlNode));
    return (
      controlNode !== undefined &&
      (await this.#fleet.callApi('GET', '/status', undefined, controlNode)).value['standing'] ===
        'sound'
    );
  }

  async #isVoter(fresh: string, old: string): Promise<boolean> {
    const { voters }: Record<string, unknown> = (await this.#fleet.callApi('GET', '/status')).value;
    return (
      Array.isArray(voters) &&
      voters.length === 3 &&
      voters.includes(fresh) &&
      !voters.includes(old)
    );
  }

  /** The models of which a runner is the primary. */
  async #primariesAt(runner: string): Promise<ReadonlySet<string>> {
    const status = (await this.#fleet.callApi('GET', '/status')).value;
    const models = new Set<string>();
    const places: unknown = status['places'];
    if (PlacesShape.is(places))
      for (const place of places.places)
        if (place.seats[0]?.runner === runner) models.add(place.model);
    return models;
  }

  #tableNumber(): number {
    return this.#table;
  }

  /** Sends two concurrent edits of a cell with the same base; returns their HTTP statuses. */
  async #raceEdits(row: string): Promise<string> {
    const base = this.#table;
    const edits = [];
    for (const [index, controlNode] of this.#fleet.controlNodes.slice(0, 2).entries()) {
      edits.push(
        this.#fleet.callApi(
          'PATCH',
          '/table/cell',
          { id: randomUUID(), base, row, column: 'weight', value: 50 + index },
          controlNode,
        ),
      );
    }
    const statuses: number[] = [];
    for (const returned of await Promise.all(edits)) {
      statuses.push(returned.status);
      if (returned.status !== 200) continue;
      this.#table = Number(returned.value['number']);
      this.addEvent({ what: 'table-accepted', number: this.#table });
    }
    return statuses.sort().join(' and ');
  }

  /** Reads the table back, evaluates all records, and returns the violations. */
  async violations(callers: Callers): Promise<readonly Violation[]> {
    const read = await this.#fleet.callApiWithRetry('GET', '/table', undefined, 20_000);
    this.addEvent({ what: 'table-read', number: Number(read.value['number']) });
    const backs = readBackRecords(this.#fleet.recordPaths());
    const lateness = new Map<string, number>();
    for (const row of compile(this.#fleet.deployment.table).table.rows)
      lateness.set(row.type, Math.max(row.lateMs, lateness.get(row.type) ?? 0));
    this.#log(`checked ${callers.records.length} requests and ${backs.length} back-end records`);
    return new Judge({
      callers: callers.records,
      backs,
      events: this.#events,
      zones: this.#fleet.zones(),
      lateness,
    }).judge();
  }

  /** Evaluates and prints the violations. Returns whether there are none and enough requests were served. */
  async judge(callers: Callers): Promise<boolean> {
    const violations = await this.violations(callers);
    const counts = new Map<string, number>();
    for (const rule of RULES) counts.set(rule, 0);
    for (const violation of violations)
      counts.set(violation.rule, (counts.get(violation.rule) ?? 0) + 1);
    this.#log(`${violations.length} violations`);
    for (const [rule, count] of counts) if (count > 0) this.#log(`  ${rule}: ${count}`);
    for (const violation of violations.slice(0, 20))
      this.#log(`  ${violation.rule}: ${violation.text}`);
    let done = 0;
    for (const record of callers.records) if (record.outcome === 'done') done += 1;
    // A fleet that rejects every request breaks no rule, so require that half of them were served.
    const isUseful = done >= callers.records.length * 0.5;
    if (!isUseful) this.#log(`only ${done} of ${callers.records.length} requests were served`);
    return violations.length === 0 && isUseful;
  }
}

/** Whether a control node has this name. */
export function isNamed(name: string, controlNode: { readonly name: string }): boolean {
  return controlNode.name === name;
}
function listenOf(place: { readonly listen: string }): string {
  return place.listen;
}
/** Whether a request was served completely. */
export function isDone(record: { readonly outcome: string }): boolean {
  return record.outcome === 'done';
}
function isRare(model: { readonly name: string }): boolean {
  return model.name.startsWith('rare') || model.name.startsWith('seldom');
}
