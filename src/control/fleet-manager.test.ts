import { expect, test } from 'vitest';
import { moment } from '../common/ids.js';
import type { Fleet } from '../placement/fleet.js';
import { initialDoc } from './config-shapes.js';
import { FleetManager } from './fleet-manager.js';
import { IdlePlanner } from './testing/idle-planner.js';

/** Says what it is given to say. */
class TellingPlanner extends IdlePlanner {
  told: Fleet = { flows: 1, runners: [], waits: [] };

  override fleet(): Fleet {
    return this.told;
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
  /* not looked at */
}
function yes(): boolean {
  return true;
}
function one(): number {
  return 1;
}
function noRouting(): { readonly routing: undefined; readonly faults: readonly [] } {
  return { routing: undefined, faults: [] };
}
function noChange(): undefined {
  return undefined;
}
test('a fleet that stands still is told once, also while runners warm up', () => {
  const planner = new TellingPlanner();
  const bodies: string[] = [];
  function publish(_count: number, body: string): void {
    bodies.push(body);
  }
  const fleetManager = new FleetManager(
    { dialect: { read: noRouting, amend: noChange }, planner, isFirstStart: true, listMs: 1000 },
    { addEffect: ignore, write: ignore, publish, mayOrder: yes, proxyCount: one },
  );
  const doc = initialDoc(['a:1']);
  fleetManager.beginLeading(moment(0), [], 'a/2');
  planner.told = fleetOf(3000);
  fleetManager.onRunnerList(moment(0), [], doc);
  // The planner has nothing new to say; that a span it told has run down meanwhile is none.
  for (let at = 100; at < 5000; at += 100) fleetManager.tick(moment(at), doc);
  expect(bodies).toHaveLength(1);
  // Said anew with what is left of the span, it is still the same; a later end is news.
  planner.told = fleetOf(500);
  fleetManager.tick(moment(2500 + 2500), doc);
  expect(bodies).toHaveLength(2);
  planner.told = fleetOf(400);
  fleetManager.tick(moment(5100), doc);
  expect(bodies).toHaveLength(2);
});
