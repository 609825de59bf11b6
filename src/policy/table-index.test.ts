import { expect, test } from 'vitest';
import { Seeded } from '../rehearsal/seeded.js';
import { type Mapping, type Row, type Table, matchesModel } from './table.js';
import { indexOf } from './table-index.js';

/** As the rules say it, by walking everything. */
function slowRow(table: Table, type: string, model: string): Row | undefined {
  for (const row of table.rows)
    if (row.type === type && (row.model.startsWith('@') || matchesModel(row.model, model)))
      return row;
  return undefined;
}
function slowMapping(table: Table, method: string, path: string): Mapping | undefined {
  let best: Mapping | undefined;
  for (const mapping of table.mappings)
    if (
      mapping.method === method &&
      matchesModel(mapping.path, path) &&
      (!best || reach(mapping) > reach(best))
    )
      best = mapping;
  return best;
}
function reach(mapping: Mapping): number {
  return mapping.path.endsWith('*') ? mapping.path.length - 1 : mapping.path.length;
}
function slowWeight(table: Table, model: string): number {
  let most = 0;
  for (const row of table.rows)
    if (!row.model.startsWith('@') && matchesModel(row.model, model))
      most = Math.max(most, row.weight);
  return most;
}
function name(seeded: InstanceType<typeof Seeded>): string {
  let text = '';
  for (let length = 1 + seeded.below(3); length > 0; length -= 1)
    text += seeded.pick(['a', 'b']) ?? '';
  return text;
}
test('what the index finds is what walking the table finds', () => {
  for (let seed = 1; seed <= 60; seed += 1) {
    const seeded = new Seeded(seed);
    const rows: Row[] = [];
    const mappings: Mapping[] = [];
    for (let index = 0; index < 12; index += 1) {
      const model = seeded.isLikely(0.08)
        ? '@k'
        : seeded.isLikely(0.4)
          ? `${name(seeded)}*`
          : seeded.isLikely(0.1)
            ? '*'
            : name(seeded);
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
        path: `/${name(seeded)}${seeded.isLikely(0.5) ? '*' : ''}`,
        type: 's',
      });
    }
    const table: Table = { mappings, rows };
    for (let index = 0; index < 40; index += 1) {
      const asked = name(seeded);
      for (const type of ['s', 't', 'u'])
        expect(indexOf(table).row(type, asked)).toBe(slowRow(table, type, asked));
      expect(indexOf(table).weight(asked)).toBe(slowWeight(table, asked));
      const found = indexOf(table).mapping('GET', `/${asked}`);
      const slow = slowMapping(table, 'GET', `/${asked}`);
      expect(found === undefined ? undefined : reach(found)).toBe(
        slow === undefined ? undefined : reach(slow),
      );
    }
  }
});
