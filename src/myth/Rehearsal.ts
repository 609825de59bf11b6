import { randomUUID } from 'node:crypto';
import { call } from '../kin/Call.js';
import type { Callers } from './Callers.js';
import type { Fleet } from './Fleet.js';
import { Judge, RULES } from './Judge.js';
import { readBackRecords, type EventRecord } from './Records.js';
import { pause } from './RunnerStand.js';

export interface RehearsalPlan { readonly seconds: number; readonly factor: number; readonly isFailing: boolean }

/** One rehearsal of a fleet: founds it, gives it its table, sends traffic, and judges. */
export class Rehearsal {
  readonly #fleet: Fleet;
  readonly #say: (line: string) => void;
  readonly #events: EventRecord[] = [];
  #table = 0;

  constructor(fleet: Fleet, say: (line: string) => void) {
    this.#fleet = fleet;
    this.#say = say;
  }

  get events(): readonly EventRecord[] { return this.#events; }
  get table(): number { return this.#table; }

  note(event: Omit<EventRecord, 'at'>): void { this.#events.push({ at: Date.now(), ...event }); }

  /** From nothing to a fleet that serves its table. */
  async begin(): Promise<void> {
    const fleet = this.#fleet;
    const start = Date.now();
    await fleet.start();
    await fleet.until('a leader that serves', 60_000, this.#isServing.bind(this));
    this.#say(`leader after ${Date.now() - start} ms`);
    await this.putTable(fleet.deployment.table);
    this.#say(`table ${this.#table} accepted after ${Date.now() - start} ms`);
    await fleet.until('every flow fresh and on the table', 30_000, this.#areFlowsFresh.bind(this));
    await fleet.until('the models placed', 60_000, this.#arePlaced.bind(this));
    this.#say(`placed after ${Date.now() - start} ms`);
  }

  async #isServing(): Promise<boolean> {
    const { value } = await this.#fleet.operate('GET', '/status');
    return value['leader'] !== '' && value['leader'] !== undefined && (await this.#fleet.operate('GET', '/table')).status === 200;
  }

  async #areFlowsFresh(): Promise<boolean> {
    for (const edge of this.#fleet.edges) {
      const counters: unknown = JSON.parse((await call('GET', edge.flowStatus, '/counters', undefined, 2000)).body);
      if (typeof counters !== 'object' || counters === null || !('fresh' in counters) || counters.fresh !== true) return false;
    }
    return true;
  }

  /** Every kind of traffic is served by somebody. */
  async #arePlaced(): Promise<boolean> {
    const { value } = await this.#fleet.operate('GET', '/status');
    const places = value['places'];
    if (typeof places !== 'object' || places === null || !('places' in places) || !Array.isArray(places.places)) return false;
    let seated = 0;
    for (const place of places.places) {
      const item: unknown = place;
      if (typeof item === 'object' && item !== null && 'seats' in item && Array.isArray(item.seats) && item.seats.length > 0) seated += 1;
    }
    return seated >= Math.min(8, this.#fleet.deployment.catalog.models.length / 2);
  }

  async putTable(text: string): Promise<void> {
    const id = randomUUID();
    const base = Number((await this.#fleet.operateUntil('GET', '/table', undefined, 20_000)).value['number']);
    const returned = await this.#fleet.operateUntil('PUT', '/table', { id, base, text }, 20_000);
    if (returned.status !== 200) throw new Error(`the table was not accepted: ${JSON.stringify(returned)}`);
    this.#table = Number(returned.value['number']);
    this.note({ what: 'table-accepted', number: this.#table });
  }

  async setCell(row: string, column: string, value: string | number | boolean): Promise<number> {
    const returned = await this.#fleet.operateUntil('PATCH', '/table/cell', { id: randomUUID(), base: this.#table, row, column, value }, 20_000);
    if (returned.status === 200) {
      this.#table = Number(returned.value['number']);
      this.note({ what: 'table-accepted', number: this.#table });
    }
    return returned.status;
  }

  async emptyZone(zone: string, isEmpty: boolean): Promise<void> {
    if (!isEmpty) this.note({ what: 'zone-filling', zone });
    const returned = await this.#fleet.operateUntil(isEmpty ? 'PUT' : 'DELETE', `/zones/${zone}/empty`, { id: randomUUID() }, 20_000);
    if (returned.status !== 200) throw new Error(`zone ${zone}: ${JSON.stringify(returned)}`);
    if (isEmpty) this.note({ what: 'zone-emptied', zone });
  }

  /** Sends the traffic, and judges everything that was recorded. Says whether no rule was broken. */
  async run(callers: Callers, plan: RehearsalPlan): Promise<boolean> {
    for (const kind of this.#fleet.deployment.traffic) callers.begin(kind, plan.factor);
    await pause(plan.seconds * 1000);
    await callers.end();
    return this.judge(callers);
  }

  async judge(callers: Callers): Promise<boolean> {
    const read = await this.#fleet.operateUntil('GET', '/table', undefined, 20_000);
    this.note({ what: 'table-read', number: Number(read.value['number']) });
    const backs = readBackRecords(this.#fleet.backRecords());
    const violations = new Judge({ callers: callers.records, backs, events: this.#events, zones: this.#fleet.zones() }).judge();
    const counts = new Map<string, number>();
    for (const rule of RULES) counts.set(rule, 0);
    for (const violation of violations) counts.set(violation.rule, (counts.get(violation.rule) ?? 0) + 1);
    this.#say(`judged ${callers.records.length} calls and ${backs.length} records: ${violations.length} broken rules`);
    for (const [rule, count] of counts) if (count > 0) this.#say(`  ${rule}: ${count}`);
    for (const violation of violations.slice(0, 20)) this.#say(`  ${violation.rule}: ${violation.text}`);
    let done = 0;
    for (const record of callers.records) if (record.outcome === 'done') done += 1;
    // A fleet that turns everything away breaks no rule, and is of no use.
    const isUseful = done >= callers.records.length * 0.5;
    if (!isUseful) this.#say(`only ${done} of ${callers.records.length} calls were served`);
    return violations.length === 0 && isUseful;
  }
}
