import { expect, test } from 'vitest';
import { type Moment, moment } from '../common/ids.js';
import { type ConnectionProbeStep, type Prober, ConnectionProbes } from './connection-probes.js';

class Notes implements Prober {
  readonly list: string[] = [];
  onBackendDown(now: Moment, id: string): void {
    this.list.push(`${now} ${id} fell`);
  }
  onBackendUp(now: Moment, id: string): void {
    this.list.push(`${now} ${id} rose`);
  }
}
function countOf(steps: readonly ConnectionProbeStep[]): number {
  const [step] = steps;
  return step?.do === 'open' ? step.count : -1;
}
test('a back end that was away is known from one that let an idle connection go', () => {
  const notes = new Notes();
  const probes = new ConnectionProbes(notes);
  probes.setBackends(moment(0), [{ id: 'k', address: 'k:1' }]);
  probes.onOpen(moment(1), 'k', countOf(probes.drainSteps()));
  // Let go for being idle: it is there at once when asked for again, and nothing has happened.
  probes.onClose(moment(60_000), 'k', 1);
  probes.onOpen(moment(60_001), 'k', countOf(probes.drainSteps()));
  expect(notes.list).toEqual([]);
  // Its process ends: it turns connections down, until what is new there takes one.
  probes.onClose(moment(70_000), 'k', 2);
  probes.onClose(moment(70_001), 'k', countOf(probes.drainSteps()));
  probes.tick(moment(70_100));
  expect(probes.drainSteps()).toEqual([]);
  probes.tick(moment(70_300));
  probes.onOpen(moment(70_301), 'k', countOf(probes.drainSteps()));
  expect(notes.list).toEqual(['70001 k fell', '70301 k rose']);
  // Its machine is gone: nothing closes, but a new connection is neither taken nor turned down.
  probes.tick(moment(71_400));
  expect(countOf(probes.drainSteps())).toBe(5);
  probes.tick(moment(71_900));
  expect(countOf(probes.drainSteps())).toBe(6);
  expect(notes.list.slice(2)).toEqual(['71900 k fell']);
  probes.setBackends(moment(80_000), []);
  expect(probes.drainSteps()).toEqual([{ do: 'close', id: 'k' }]);
});
