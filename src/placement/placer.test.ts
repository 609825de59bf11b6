import { expect, test } from 'vitest';
import { compile } from '../policy/language.js';
import { moment } from '../common/ids.js';
import { Seeded } from '../rehearsal/seeded.js';
import { isThat } from './intent-log.js';
import { Placer } from './placer.js';
import { PLACER_DEFAULTS, type PlanInput, type RunnerView } from './placer-types.js';
import type { Catalog, Hold, Intent, Place, RunnerReport, Seat, ServiceDoc } from './shapes.js';

type Report = RunnerReport;
const table = compile('row check m-* weight 10\nrow check rare-* weight 1').table;
/** Runners that obey at once, watching room and fetch slots themselves. */
class Yard {
  readonly placer = new Placer(
    { ...PLACER_DEFAULTS, minResidencyMs: 1000, unloadDelayMs: 1000 },
    'p',
  );
  readonly runners = new Map<
    string,
    { zone: string; room: number; boot: string; holds: Hold[]; leaving: boolean; isUp: boolean }
  >();
  readonly catalog: Catalog;
  readonly seen = new Set<string>();
  readonly broken: string[] = [];
  emptied: string[] = [];
  now = 1000;
  obeys = true;

  constructor(catalog: Catalog) {
    this.catalog = catalog;
  }

  add(id: string, zone: string, room: number): void {
    this.runners.set(id, { zone, room, boot: 'b1', holds: [], leaving: false, isUp: true });
  }

  input(): PlanInput {
    const runners: RunnerView[] = [];
    for (const [id, runner] of this.runners) {
      const report: Report = {
        id,
        boot: runner.boot,
        room: runner.room,
        slots: 4,
        upMs: 60_000,
        holds: runner.holds.map(copyOf),
      };
      runners.push({
        machine: { id, address: id, zone: runner.zone, service: '', leaving: runner.leaving },
        report,
        requestedAt: moment(this.now),
        isReachable: runner.isUp,
        isUnreachable: !runner.isUp,
      });
    }
    return { table, catalog: this.catalog, runners, evacuatedZones: this.emptied };
  }

  step(millis = 500): void {
    this.now += millis;
    this.placer.plan(moment(this.now), this.input());
    for (const runner of this.runners.values())
      for (const hold of runner.holds) if (hold.state === 'loading') hold.state = 'ready';
    if (!this.obeys) return;
    for (const doc of this.placer.docs()) for (const intent of doc.intents) this.#obey(intent);
  }

  #obey(intent: Intent): void {
    const runner = this.runners.get(intent.runner);
    if (this.seen.has(intent.id) || !runner?.isUp) return;
    this.seen.add(intent.id);
    this.placer.orderTaken(moment(this.now), intent.id);
    if (intent.verb === 'unload') {
      runner.holds = runner.holds.filter((hold) => !isThat(intent, hold));
      return;
    }
    runner.holds.push({
      model: intent.model,
      adapter: intent.adapter,
      size: intent.size,
      state: 'loading',
      running: 0,
    });
    let used = 0;
    for (const hold of runner.holds) used += hold.size;
    if (used > runner.room) this.broken.push(`${intent.runner} holds ${used} of ${runner.room}`);
    let fetching = 0;
    for (const each of this.runners.values())
      for (const hold of each.holds) if (hold.state === 'loading') fetching += 1;
    if (fetching > this.catalog.limit) this.broken.push(`${fetching} fetches at once`);
  }

  ask(model: string, count: number): void {
    this.placer.demand.add(moment(this.now), `${model}\n`, count);
  }

  seats(model: string): string[] {
    const place = this.placer.places(this.input()).places.find((place) => isModel(model, place));
    return (place?.seats ?? []).map(runnerOf);
  }

  waitOf(model: string): string {
    return (
      this.placer.places(this.input()).places.find((place) => isModel(model, place))?.wait ?? ''
    );
  }
}
function copyOf(hold: Hold): Hold {
  return { ...hold };
}
function isModel(model: string, place: Place): boolean {
  return place.model === model;
}
function runnerOf(seat: Seat): string {
  return seat.runner;
}
function models(...names: string[]): Catalog {
  return { limit: 2, models: names.map(sized), adapters: [] };
}
function sized(name: string): { name: string; size: number } {
  return { name, size: 10 };
}
function intentsOf(doc: ServiceDoc): readonly Intent[] {
  return doc.intents;
}
test('a busy model has a pair across zones, and its understudy takes over at once', () => {
  const yard = new Yard(models('m-0', 'm-1'));
  yard.add('r0', 'a', 20);
  yard.add('r1', 'a', 20);
  yard.add('r2', 'b', 20);
  for (let index = 0; index < 12; index += 1) {
    yard.ask('m-0', 5);
    yard.step();
  }
  const seats = yard.seats('m-0');
  expect(seats).toHaveLength(2);
  expect(new Set(seats.map((id) => yard.runners.get(id)?.zone ?? '')).size).toBe(2);
  // The primary dies: the understudy takes over in the same plan, with nothing to fetch first.
  const [primary = ''] = seats;
  const runner = yard.runners.get(primary);
  if (runner) runner.isUp = false;
  yard.step();
  expect(yard.seats('m-0')[0]).toBe(seats[1]);
});
test('what does not fit waits and says so, and has its turn later', () => {
  const yard = new Yard(models('m-0', 'm-1', 'rare-0'));
  yard.add('r0', 'a', 20);
  for (let index = 0; index < 8; index += 1) {
    yard.ask('m-0', 5);
    yard.ask('m-1', 5);
    yard.step();
  }
  expect(yard.seats('rare-0')).toEqual([]);
  expect(yard.waitOf('rare-0')).toMatch(/waits for room/);
  expect(yard.waitOf('m-0')).toMatch(/second zone/);
  // The busy ones go idle and the rare one is asked for: it gets its turn.
  yard.now += 300_000;
  for (let index = 0; index < 20; index += 1) {
    yard.ask('rare-0', 10);
    yard.step();
  }
  expect(yard.seats('rare-0')).toEqual(['r0']);
  expect(yard.broken).toEqual([]);
});
test('a leaving runner or emptied zone keeps no seat', () => {
  const yard = new Yard(models('m-0'));
  yard.add('r0', 'a', 20);
  yard.add('r1', 'b', 20);
  for (let index = 0; index < 8; index += 1) {
    yard.ask('m-0', 5);
    yard.step();
  }
  const [primary = ''] = yard.seats('m-0');
  const runner = yard.runners.get(primary);
  if (runner) runner.leaving = true;
  yard.step();
  expect(yard.seats('m-0')).not.toContain(primary);
  expect(yard.seats('m-0')).toHaveLength(1);
  yard.emptied = ['a', 'b'];
  yard.step();
  expect(yard.seats('m-0')).toEqual([]);
});
test('room and slots stay taken by what is intended, across a change of leader', () => {
  // Nobody obeys: what is intended must hold its room and its slot all the same, also for the next leader.
  const yard = new Yard(models('m-0', 'm-1', 'm-2', 'm-3'));
  yard.obeys = false;
  yard.add('r0', 'a', 10);
  yard.add('r1', 'b', 100);
  for (let index = 0; index < 10; index += 1) yard.step();
  const docs = yard.placer.docs();
  expect(docs.flatMap(intentsOf)).toHaveLength(2);
  const next = new Placer(PLACER_DEFAULTS, 'q');
  next.restore(docs, 'q');
  next.plan(moment(yard.now + 1000), yard.input());
  expect(next.docs().flatMap(intentsOf)).toHaveLength(2);
});
test('under steady demand the places settle and nothing is fetched in turns', () => {
  // More models than fit: under steady demand the places settle, and nothing is fetched only to go again.
  const yard = new Yard(models('m-0', 'm-1', 'm-2', 'rare-0', 'rare-1', 'rare-2', 'rare-3'));
  yard.add('r0', 'a', 30);
  yard.add('r1', 'b', 30);
  yard.add('r2', 'c', 30);
  for (let index = 0; index < 150; index += 1) {
    yard.ask('m-0', 3);
    yard.ask('m-1', 2);
    yard.ask('m-2', 1);
    yard.step();
  }
  const before = yard.seen.size;
  for (let index = 0; index < 150; index += 1) {
    yard.ask('m-0', 3);
    yard.ask('m-1', 2);
    yard.ask('m-2', 1);
    yard.step();
  }
  expect(yard.seen.size).toBe(before);
  for (const model of ['m-0', 'm-1', 'm-2']) expect(yard.seats(model)).toHaveLength(2);
});
test('a zone filled again takes back what it holds', () => {
  // A zone is emptied and filled again: what is still held there is taken back, not unloaded for idle models.
  const yard = new Yard(models('m-0', 'rare-0', 'rare-1'));
  yard.add('r0', 'a', 20);
  yard.add('r1', 'b', 20);
  for (let index = 0; index < 30; index += 1) {
    yard.ask('m-0', 3);
    yard.step();
  }
  expect(yard.seats('m-0')).toHaveLength(2);
  yard.emptied = ['a'];
  for (let index = 0; index < 20; index += 1) {
    yard.ask('m-0', 3);
    yard.step();
  }
  yard.emptied = [];
  for (let index = 0; index < 3; index += 1) {
    yard.ask('m-0', 3);
    yard.step();
  }
  expect(yard.seats('m-0')).toHaveLength(2);
});
test('room and fetch slots hold over seeds of restarts, leavings and late obeying', () => {
  for (let seed = 1; seed <= 40; seed += 1) {
    const seeded = new Seeded(seed);
    const yard = new Yard(models('m-0', 'm-1', 'm-2', 'm-3', 'm-4', 'm-5', 'rare-0', 'rare-1'));
    for (let index = 0; index < 4; index += 1)
      yard.add(`r${index}`, ['a', 'b', 'c'][index % 3] ?? 'a', 25 + 10 * (index % 2));
    for (let index = 0; index < 200; index += 1) {
      yard.ask(seeded.pick(yard.catalog.models)?.name ?? '', seeded.below(8));
      const runner = yard.runners.get(`r${seeded.below(4)}`);
      if (runner && seeded.isLikely(0.03)) {
        runner.boot += 'x';
        runner.holds = [];
      }
      if (runner && seeded.isLikely(0.05)) runner.isUp = !runner.isUp;
      if (runner && seeded.isLikely(0.03)) runner.leaving = !runner.leaving;
      yard.obeys = seeded.isLikely(0.8);
      yard.step(seeded.between(100, 2000));
    }
    expect(yard.broken).toEqual([]);
  }
});
