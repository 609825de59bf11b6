import { expect, test } from 'vitest';
import type { LiveTable } from '../placement/live.js';
import { liveText } from './table-command.js';
test('the live table shows the runners of each model and the models that wait', () => {
  const noReplica = { runner: '', zone: '', isReady: false };
  const live: LiveTable = {
    number: 4,
    emptied: ['south'],
    underWay: 1,
    rows: [
      { row: 'check/m-*', weight: 9, take: 50, rate: 3.25 },
      { row: 'look/@kiosk', weight: 5, take: 9, rate: 0 },
    ],
    models: [
      {
        model: 'm-0',
        rows: ['check/m-*'],
        rate: 3.2,
        primary: { runner: 'r0', zone: 'north', isReady: true },
        understudy: { runner: 'r1', zone: 'middle', isReady: false },
        wait: '',
        waitMs: 0,
      },
      {
        model: 'm-1',
        rows: ['check/m-*'],
        rate: 0.05,
        primary: noReplica,
        understudy: noReplica,
        wait: 'primary waits for room',
        waitMs: 12_400,
      },
    ],
  };
  expect(liveText(live).split('\n')).toEqual([
    'table 4, emptied zones: south, orders under way: 1',
    'check/m-*  weight 9  3.3/s of 50/s',
    '  m-0  r0 (north) / r1 (middle) fetching  3.2/s',
    '  m-1  - / -  0.1/s  primary waits for room, for 12 s',
    'look/@kiosk  weight 5  0.0/s of 9/s',
    '  plain back ends, not placed',
    'waiting: m-1',
  ]);
});
