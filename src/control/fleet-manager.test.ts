import { expect, test } from 'vitest';
import { moment } from '../common/ids.js';
import type { Fleet } from '../placement/fleet.js';
import { initialDoc } from './config-shapes.js';
import { FleetManager } from './fleet-manager.js';
import { IdlePlanner } from './testing/idle-planner.js';

/** Returns the fleet that a test sets. */
class FixedFleetPlanner extends IdlePlanner {
  nextFleet: Fleet = { flows: 1, runners: [], waits: [] };

  override fleet(): Fleet {
    return this.nextFleet;
  }
}

function fleetOf(coldMs: number): Fleet {
  return {
    flows: 1,
    runners: [
      {
        id: 'r',
        address: 'r:1',
        zone: 'z',
        service: 's',
        slots: 1,
        isLeaving: false,
        coldMs,
        holds: [],
        coming: [],
      },
    ],
    waits: [],
  };
}
function ignore(): void {
  /* The test does not check it. */
}
function returnTrue(): boolean {
  return true;
}
function returnOne(): number {
  return 1;
}
function noRouting(): { readonly routing: undefined; readonly faults: readonly [] } {
  return { routing: undefined, faults: [] };
}
function noChange(): undefined {
  return undefined;
}
test('an unchanged fleet is published once, also while the warm-up times of runners count down', () => {
  const planner = new FixedFleetPlanner();
  const bodies: string[] = [];
  function publish(_count: number, body: string): void {
    bodies.push(body);
  }
  const fleetManager = new FleetManager(
    { dialect: { read: noRouting, amend: noChange }, planner, isFirstStart: true, listMs: 1000 },
    { addEffect: ignore, write: ignore, publish, mayOrder: returnTrue, proxyCount: returnOne },
  );
  const doc = initialDoc(['a:1']);
  fleetManager.beginLeading(moment(0), [], 'a/2');
  planner.nextFleet = fleetOf(3000);
  fleetManager.onRunnerList(moment(0), [], doc);
  // The planner returns the same fleet; that a duration in it has counted down meanwhile is no change.
  for (let at = 100; at < 5000; at += 100) fleetManager.tick(moment(at), doc);
  expect(bodies).toHaveLength(1);
  // The remaining duration is published again only if the moment of its end has moved.
  planner.nextFleet = fleetOf(500);
  fleetManager.tick(moment(2500 + 2500), doc);
  expect(bodies).toHaveLength(2);
  planner.nextFleet = fleetOf(400);
  fleetManager.tick(moment(5100), doc);
  expect(bodies).toHaveLength(2);
});
