import { expect, test } from 'vitest';
import { moment } from '../common/ids.js';
import type { Share } from './shapes.js';
import { QuotaShares } from './quota-shares.js';

function sumOf(list: readonly Share[]): number {
  let sum = 0;
  for (const item of list) sum += item.share;
  return sum;
}
test('a quota is divided by demand, and the shares never exceed the whole', () => {
  const shares = new QuotaShares();
  shares.add(moment(0), { flow: 'a', units: [], rows: [{ row: 'r', count: 50 }] });
  shares.add(moment(0), { flow: 'b', units: [], rows: [] });
  // Of a quota of 20 per second, one proxy has a demand of 10 and the other none: the remainder is divided evenly.
  expect(
    shares.allocate(moment(0), [
      { key: 'r', take: 20 },
      { key: 'other', take: 5 },
    ]),
  ).toEqual([
    { flow: 'a', row: 'r', share: 0.75 },
    { flow: 'b', row: 'r', share: 0.25 },
  ]);
  const crowded = shares.allocate(moment(0), [{ key: 'r', take: 2 }]);
  expect(sumOf(crowded)).toBeLessThanOrEqual(1);
  expect(crowded[0]?.share).toBeGreaterThan(0.8);
  shares.add(moment(60_000), { flow: 'b', units: [], rows: [{ row: 'r', count: 10 }] });
  expect(shares.allocate(moment(60_000), [{ key: 'r', take: 20 }])).toEqual([
    { flow: 'b', row: 'r', share: 1 },
  ]);
});
