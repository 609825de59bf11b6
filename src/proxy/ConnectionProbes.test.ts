import { expect, test } from 'vitest';
import { type Moment, moment } from '../common/Ids.js';
import { type WatchStep, type Watcher, Watches } from './ConnectionProbes.js';

class Notes implements Watcher {
  readonly list: string[] = [];
  fallen(now: Moment, id: string): void {
    this.list.push(`${now} ${id} fell`);
  }
  risen(now: Moment, id: string): void {
    this.list.push(`${now} ${id} rose`);
  }
}
function countOf(steps: readonly WatchStep[]): number {
  const [step] = steps;
  return step?.do === 'open' ? step.count : -1;
}
function checkIdle(): void {
  const notes = new Notes();
  const watches = new Watches(notes);
  watches.follow(moment(0), [{ id: 'k', address: 'k:1' }]);
  watches.opened(moment(1), 'k', countOf(watches.drain()));
  // Let go for being idle: it is there at once when asked for again, and nothing has happened.
  watches.closed(moment(60_000), 'k', 1);
  watches.opened(moment(60_001), 'k', countOf(watches.drain()));
  expect(notes.list).toEqual([]);
  // Its process ends: it turns connections down, until what is new there takes one.
  watches.closed(moment(70_000), 'k', 2);
  watches.closed(moment(70_001), 'k', countOf(watches.drain()));
  watches.beat(moment(70_100));
  expect(watches.drain()).toEqual([]);
  watches.beat(moment(70_300));
  watches.opened(moment(70_301), 'k', countOf(watches.drain()));
  expect(notes.list).toEqual(['70001 k fell', '70301 k rose']);
  // Its machine is gone: nothing closes, but a new connection is neither taken nor turned down.
  watches.beat(moment(71_400));
  expect(countOf(watches.drain())).toBe(5);
  watches.beat(moment(71_900));
  expect(countOf(watches.drain())).toBe(6);
  expect(notes.list.slice(2)).toEqual(['71900 k fell']);
  watches.follow(moment(80_000), []);
  expect(watches.drain()).toEqual([{ do: 'close', id: 'k' }]);
}
test('a back end that was away is known from one that let an idle connection go', checkIdle);
