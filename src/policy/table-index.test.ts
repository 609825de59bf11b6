import { expect, test } from 'vitest';
import { SeededRandom } from '../rehearsal/seeded-random.js';
import { type Mapping, type Row, type Table, matchesModel } from './table.js';
import { tableIndexOf } from './table-index.js';

/** The reference implementations: linear scans of the table. */
function scanForRow(table: Table, type: string, model: string): Row | undefined {
  for (const row of table.rows)
    if (row.type === type && (row.model.startsWith('@') || matchesModel(row.model, model)))
      return row;
  return undefined;
}
function scanForMapping(table: Table, method: string, path: string): Mapping | undefined {
  let best: Mapping | undefined;
  for (const mapping of table.mappings)
    if (
      mapping.method === method &&
      matchesModel(mapping.path, path) &&
      (!best || matchLength(mapping) > matchLength(best))
    )
      best = mapping;
  return best;
}
function matchLength(mapping: Mapping): number {
  return mapping.path.endsWith('*') ? mapping.path.length - 1 : mapping.path.length;
}
function scanForWeight(table: Table, model: string): number {
  let maxWeight = 0;
  for (const row of table.rows)
    if (!row.model.startsWith('@') && matchesModel(row.model, model))
      maxWeight = Math.max(maxWeight, row.weight);
  return maxWeight;
}
function randomName(seeded: InstanceType<typeof SeededRandom>): string {
  let text = '';
  for (let length = 1 + seeded.below(3); length > 0; length -= 1)
    text += seeded.pick(['a', 'b']) ?? '';
  return text;
}
test('the index finds the same as a scan of the table', () => {
  for (let seed = 1; seed <= 60; seed += 1) {
    const seeded = new SeededRandom(seed);
    const rows: Row[] = [];
    const mappings: Mapping[] = [];
    for (let index = 0; index < 12; index += 1) {
      const model = seeded.isLikely(0.08)
        ? '@k'
        : seeded.isLikely(0.4)
          ? `${randomName(seeded)}*`
          : seeded.isLikely(0.1)
            ? '*'
            : randomName(seeded);
      rows.push({
        type: seeded.pick(['s', 't']) ?? 's',
        model,
        weight: 1 + seeded.below(100),
        take: 1,
        lateMs: 1000,
        repeatable: false,
        stream: false,
      });
      mappings.push({
        method: seeded.pick(['GET', 'POST'] as const) ?? 'GET',
        path: `/${randomName(seeded)}${seeded.isLikely(0.5) ? '*' : ''}`,
        type: 's',
      });
    }
    const table: Table = { mappings, rows };
    for (let index = 0; index < 40; index += 1) {
      const lookup = randomName(seeded);
      for (const type of ['s', 't', 'u'])
        expect(tableIndexOf(table).row(type, lookup)).toBe(scanForRow(table, type, lookup));
      expect(tableIndexOf(table).weight(lookup)).toBe(scanForWeight(table, lookup));
      const found = tableIndexOf(table).mapping('GET', `/${lookup}`);
      const scanned = scanForMapping(table, 'GET', `/${lookup}`);
      expect(found === undefined ? undefined : matchLength(found)).toBe(
        scanned === undefined ? undefined : matchLength(scanned),
      );
    }
  }
});
