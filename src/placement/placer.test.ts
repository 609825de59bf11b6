import { expect, test } from 'vitest';
import { compile } from '../policy/language.js';
import { moment } from '../common/ids.js';
import { SeededRandom } from '../rehearsal/seeded-random.js';
import { matchesIntent } from './intent-log.js';
import { Placer } from './placer.js';
import { PLACER_DEFAULTS, type PlanInput, type RunnerView } from './placer-types.js';
import type { Catalog, Hold, Intent, Place, RunnerReport, Seat, ServiceDoc } from './shapes.js';

type Report = RunnerReport;
const table = compile('row check m-* weight 10\nrow check rare-* weight 1').table;
/** Runners that execute orders at once, and record violations of their memory and of the store's fetch limit. */
class PlacerFleet {
  readonly placer = new Placer(
    { ...PLACER_DEFAULTS, minResidencyMs: 1000, unloadDelayMs: 1000 },
    'p',
  );
  readonly runners = new Map<
    string,
    { zone: string; room: number; boot: string; holds: Hold[]; leaving: boolean; isUp: boolean }
  >();
  readonly catalog: Catalog;
  readonly executedIntents = new Set<string>();
  readonly violations: string[] = [];
  evacuatedZones: string[] = [];
  now = 1000;
  executesOrders = true;

  constructor(catalog: Catalog) {
    this.catalog = catalog;
  }

  addRunner(id: string, zone: string, room: number): void {
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
        isPresumedLost: !runner.isUp,
      });
    }
    return { table, catalog: this.catalog, runners, evacuatedZones: this.evacuatedZones };
  }

  step(millis = 500): void {
    this.now += millis;
    this.placer.plan(moment(this.now), this.input());
    for (const runner of this.runners.values())
      for (const hold of runner.holds) if (hold.state === 'loading') hold.state = 'ready';
    if (!this.executesOrders) return;
    for (const doc of this.placer.docs()) for (const intent of doc.intents) this.#execute(intent);
  }

  #execute(intent: Intent): void {
    const runner = this.runners.get(intent.runner);
    if (this.executedIntents.has(intent.id) || !runner?.isUp) return;
    this.executedIntents.add(intent.id);
    this.placer.onOrderAccepted(moment(this.now), intent.id);
    if (intent.verb === 'unload') {
      runner.holds = runner.holds.filter((hold) => !matchesIntent(intent, hold));
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
    if (used > runner.room)
      this.violations.push(`${intent.runner} holds ${used} of ${runner.room}`);
    let fetching = 0;
    for (const each of this.runners.values())
      for (const hold of each.holds) if (hold.state === 'loading') fetching += 1;
    if (fetching > this.catalog.limit) this.violations.push(`${fetching} fetches at once`);
  }

  request(model: string, count: number): void {
    this.placer.demand.add(moment(this.now), `${model}\n`, count);
  }

  readyRunners(model: string): string[] {
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
function catalogOf(...names: string[]): Catalog {
  return { limit: 2, models: names.map(catalogModel), adapters: [] };
}
function catalogModel(name: string): { name: string; size: number } {
  return { name, size: 10 };
}
function intentsOf(doc: ServiceDoc): readonly Intent[] {
  return doc.intents;
}
test('a busy model has a primary and an understudy in two zones, and the understudy takes over at once', () => {
  const fleet = new PlacerFleet(catalogOf('m-0', 'm-1'));
  fleet.addRunner('r0', 'a', 20);
  fleet.addRunner('r1', 'a', 20);
  fleet.addRunner('r2', 'b', 20);
  for (let index = 0; index < 12; index += 1) {
    fleet.request('m-0', 5);
    fleet.step();
  }
  const readyRunners = fleet.readyRunners('m-0');
  expect(readyRunners).toHaveLength(2);
  expect(new Set(readyRunners.map((id) => fleet.runners.get(id)?.zone ?? '')).size).toBe(2);
  // The primary fails: the understudy takes over in the same plan, without a fetch.
  const [primary = ''] = readyRunners;
  const runner = fleet.runners.get(primary);
  if (runner) runner.isUp = false;
  fleet.step();
  expect(fleet.readyRunners('m-0')[0]).toBe(readyRunners[1]);
});
test('a model that does not fit waits with a reason, and is placed later', () => {
  const fleet = new PlacerFleet(catalogOf('m-0', 'm-1', 'rare-0'));
  fleet.addRunner('r0', 'a', 20);
  for (let index = 0; index < 8; index += 1) {
    fleet.request('m-0', 5);
    fleet.request('m-1', 5);
    fleet.step();
  }
  expect(fleet.readyRunners('rare-0')).toEqual([]);
  expect(fleet.waitOf('rare-0')).toMatch(/waits for room/);
  expect(fleet.waitOf('m-0')).toMatch(/second zone/);
  // The busy models become idle and the rare one is requested: it is placed now.
  fleet.now += 300_000;
  for (let index = 0; index < 20; index += 1) {
    fleet.request('rare-0', 10);
    fleet.step();
  }
  expect(fleet.readyRunners('rare-0')).toEqual(['r0']);
  expect(fleet.violations).toEqual([]);
});
test('a leaving runner or an evacuated zone keeps no placement', () => {
  const fleet = new PlacerFleet(catalogOf('m-0'));
  fleet.addRunner('r0', 'a', 20);
  fleet.addRunner('r1', 'b', 20);
  for (let index = 0; index < 8; index += 1) {
    fleet.request('m-0', 5);
    fleet.step();
  }
  const [primary = ''] = fleet.readyRunners('m-0');
  const runner = fleet.runners.get(primary);
  if (runner) runner.leaving = true;
  fleet.step();
  expect(fleet.readyRunners('m-0')).not.toContain(primary);
  expect(fleet.readyRunners('m-0')).toHaveLength(1);
  fleet.evacuatedZones = ['a', 'b'];
  fleet.step();
  expect(fleet.readyRunners('m-0')).toEqual([]);
});
test('open intents keep their memory and fetch slots reserved across a change of leader', () => {
  // No order is executed: the intents must reserve their memory and fetch slots all the same, also for the next leader.
  const fleet = new PlacerFleet(catalogOf('m-0', 'm-1', 'm-2', 'm-3'));
  fleet.executesOrders = false;
  fleet.addRunner('r0', 'a', 10);
  fleet.addRunner('r1', 'b', 100);
  for (let index = 0; index < 10; index += 1) fleet.step();
  const docs = fleet.placer.docs();
  expect(docs.flatMap(intentsOf)).toHaveLength(2);
  const next = new Placer(PLACER_DEFAULTS, 'q');
  next.restore(docs, 'q');
  next.plan(moment(fleet.now + 1000), fleet.input());
  expect(next.docs().flatMap(intentsOf)).toHaveLength(2);
});
test('under steady demand the placements settle, and no models are fetched in turns', () => {
  // More models than fit: under steady demand the placements settle, and no model is fetched only to be evicted again.
  const fleet = new PlacerFleet(
    catalogOf('m-0', 'm-1', 'm-2', 'rare-0', 'rare-1', 'rare-2', 'rare-3'),
  );
  fleet.addRunner('r0', 'a', 30);
  fleet.addRunner('r1', 'b', 30);
  fleet.addRunner('r2', 'c', 30);
  for (let index = 0; index < 150; index += 1) {
    fleet.request('m-0', 3);
    fleet.request('m-1', 2);
    fleet.request('m-2', 1);
    fleet.step();
  }
  const before = fleet.executedIntents.size;
  for (let index = 0; index < 150; index += 1) {
    fleet.request('m-0', 3);
    fleet.request('m-1', 2);
    fleet.request('m-2', 1);
    fleet.step();
  }
  expect(fleet.executedIntents.size).toBe(before);
  for (const model of ['m-0', 'm-1', 'm-2']) expect(fleet.readyRunners(model)).toHaveLength(2);
});
test('a zone back in service gets back the models that it still holds', () => {
  // A zone is evacuated and put back into service: the models still loaded there are used, not unloaded for idle ones.
  const fleet = new PlacerFleet(catalogOf('m-0', 'rare-0', 'rare-1'));
  fleet.addRunner('r0', 'a', 20);
  fleet.addRunner('r1', 'b', 20);
  for (let index = 0; index < 30; index += 1) {
    fleet.request('m-0', 3);
    fleet.step();
  }
  expect(fleet.readyRunners('m-0')).toHaveLength(2);
  fleet.evacuatedZones = ['a'];
  for (let index = 0; index < 20; index += 1) {
    fleet.request('m-0', 3);
    fleet.step();
  }
  fleet.evacuatedZones = [];
  for (let index = 0; index < 3; index += 1) {
    fleet.request('m-0', 3);
    fleet.step();
  }
  expect(fleet.readyRunners('m-0')).toHaveLength(2);
});
test('memory and fetch limits hold under random restarts, leaving runners and late orders', () => {
  for (let seed = 1; seed <= 40; seed += 1) {
    const seeded = new SeededRandom(seed);
    const fleet = new PlacerFleet(
      catalogOf('m-0', 'm-1', 'm-2', 'm-3', 'm-4', 'm-5', 'rare-0', 'rare-1'),
    );
    for (let index = 0; index < 4; index += 1)
      fleet.addRunner(`r${index}`, ['a', 'b', 'c'][index % 3] ?? 'a', 25 + 10 * (index % 2));
    for (let index = 0; index < 200; index += 1) {
      fleet.request(seeded.pick(fleet.catalog.models)?.name ?? '', seeded.below(8));
      const runner = fleet.runners.get(`r${seeded.below(4)}`);
      if (runner && seeded.isLikely(0.03)) {
        runner.boot += 'x';
        runner.holds = [];
      }
      if (runner && seeded.isLikely(0.05)) runner.isUp = !runner.isUp;
      if (runner && seeded.isLikely(0.03)) runner.leaving = !runner.leaving;
      fleet.executesOrders = seeded.isLikely(0.8);
      fleet.step(seeded.between(100, 2000));
    }
    expect(fleet.violations).toEqual([]);
  }
});
