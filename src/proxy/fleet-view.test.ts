import { expect, test } from 'vitest';
import type { FleetRunner } from '../placement/fleet.js';
import { FleetView } from './fleet-view.js';
import type { TrackedRunner } from './tracked-runner.js';
import { at, requestOf, runnerOf } from './testing/dispatch-fixtures.js';

function idOf(runner: TrackedRunner): string {
  return runner.info.id;
}

function acceptingRunners(fleet: FleetView): string[] {
  return fleet.runnersOf('llm').filter(fleet.acceptsRequests, fleet).map(idOf);
}

function update(view: FleetView, now: number, ...runners: FleetRunner[]): void {
  view.update(at(now), { flows: 0, runners, waits: [] });
}
test('a runner that is draining or in an evacuated zone gets no new requests', () => {
  const view = new FleetView();
  expect([view.isKnown, view.runnersOf('llm')]).toEqual([false, []]);
  update(
    view,
    0,
    runnerOf('a'),
    runnerOf('b', { zone: 'zb' }),
    runnerOf('c', { isLeaving: true }),
    runnerOf('d', { service: 'web' }),
  );
  expect([view.isKnown, view.proxyCount.value(at(0))]).toEqual([true, 1]);
  expect(acceptingRunners(view)).toEqual(['a', 'b']);
  view.setEvacuatedZones(['zb']);
  expect(acceptingRunners(view)).toEqual(['a']);
  view.setEvacuatedZones([]);
  expect(acceptingRunners(view)).toEqual(['a', 'b']);
});
test('a runner that is no longer listed is known, but gets no requests, while it processes one', () => {
  const view = new FleetView();
  update(view, 0, runnerOf('a'), runnerOf('b'));
  const busy = view.runner('a');
  const request = requestOf(at(0), 1);
  busy?.addRequest(at(0), request);
  update(view, 10);
  // The runner with a request is retained; the one without is forgotten.
  expect([view.runner('a'), view.runner('b')]).toEqual([busy, undefined]);
  expect(acceptingRunners(view)).toEqual([]);
  update(view, 20, runnerOf('a'));
  expect(view.runner('a')).toBe(busy);
  expect(acceptingRunners(view)).toEqual(['a']);
  busy?.removeRequest(request);
  update(view, 30);
  expect(view.runner('a')).toBe(undefined);
});
