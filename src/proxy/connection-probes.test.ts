import { expect, test } from 'vitest';
import { type Moment, moment } from '../common/ids.js';
import { type ConnectionProbeStep, type Watcher, ConnectionProbes } from './connection-probes.js';

class Notes implements Watcher {
  readonly list: string[] = [];
  fallen(now: Moment, id: string): void {
    this.list.push(`${now} ${id} fell`);
  }
  risen(now: Moment, id: string): void {
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
  probes.follow(moment(0), [{ id: 'k', address: 'k:1' }]);
  probes.opened(moment(1), 'k', countOf(probes.drain()));
  // Let go for being idle: it is there at once when asked for again, and nothing has happened.
  probes.closed(moment(60_000), 'k', 1);
  probes.opened(moment(60_001), 'k', countOf(probes.drain()));
  expect(notes.list).toEqual([]);
  // Its process ends: it turns connections down, until what is new there takes one.
  probes.closed(moment(70_000), 'k', 2);
  probes.closed(moment(70_001), 'k', countOf(probes.drain()));
  probes.tick(moment(70_100));
  expect(probes.drain()).toEqual([]);
  probes.tick(moment(70_300));
  probes.opened(moment(70_301), 'k', countOf(probes.drain()));
  expect(notes.list).toEqual(['70001 k fell', '70301 k rose']);
  // Its machine is gone: nothing closes, but a new connection is neither taken nor turned down.
  probes.tick(moment(71_400));
  expect(countOf(probes.drain())).toBe(5);
  probes.tick(moment(71_900));
  expect(countOf(probes.drain())).toBe(6);
  expect(notes.list.slice(2)).toEqual(['71900 k fell']);
  probes.follow(moment(80_000), []);
  expect(probes.drain()).toEqual([{ do: 'close', id: 'k' }]);
});
