import { expect, test } from 'vitest';
import { rowKey } from '../policy/table.js';
import { type ConfigDoc, initialDoc } from './config-shapes.js';
import { applyEdit } from './config-edits.js';

const row = {
  type: 'check',
  model: 'm',
  weight: 5,
  take: 3,
  lateMs: 900,
  repeatable: false,
  stream: true,
};
const doc: ConfigDoc = { ...initialDoc(['a']), number: 3, table: { mappings: [], rows: [row] } };
function apply(verb: string, edit: object): ConfigDoc {
  return applyEdit(doc, verb, JSON.stringify(edit)).doc;
}
test('a cell edit changes only that cell, and only if it was made from the current table', () => {
  const next = apply('cell', { id: 'e', base: 3, row: 'check/m', column: 'weight', value: 9 });
  expect(next.table.rows[0]?.weight).toBe(9);
  expect(next.number).toBe(4);
  expect(() =>
    apply('cell', { id: 'e', base: 2, row: 'check/m', column: 'weight', value: 9 }),
  ).toThrow(/table 3 is in force/);
  expect(() =>
    apply('cell', {
      id: 'e',
      base: 3,
      row: 'check/m',
      column: 'weight',
      value: 'much',
    }),
  ).toThrow(/1 fault/);
  expect(() =>
    apply('cell', { id: 'e', base: 3, row: 'check/n', column: 'weight', value: 1 }),
  ).toThrow(/1 fault/);
});
test('a rows edit puts and removes rows without changing the document that it was made from', () => {
  const next = apply('rows', {
    id: 'e',
    base: 3,
    put: [{ ...row, model: 'n' }],
    remove: ['check/m'],
  });
  expect(next.table.rows.map(rowKey)).toEqual(['check/n']);
  expect(doc.table.rows.map(rowKey)).toEqual(['check/m']);
});
