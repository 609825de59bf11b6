import { expect, test } from 'vitest';
import { type Fault, checkTable, findMapping, findRow } from './table.js';

const row = {
  type: 'check',
  model: 'm-*',
  weight: 5,
  take: 3,
  lateMs: 900,
  repeatable: false,
  stream: true,
};
function placeOf(fault: Fault): string {
  return `${fault.row}.${fault.cell}`;
}
test('every fault is named by row and cell at once', () => {
  const { faults } = checkTable({
    mappings: [],
    rows: [
      { ...row, weight: 0 },
      { ...row, model: 'x y', lateMs: 1 },
    ],
  });
  expect(faults.map(placeOf)).toEqual(['rows[0].weight', 'rows[1].model', 'rows[1].lateMs']);
  const second = checkTable({
    mappings: [{ method: 'GET', path: '/a', type: 'none' }],
    rows: [row, row],
  });
  expect(second.faults.map(placeOf)).toEqual(['check/m-*.model', 'GET /a.type']);
});
test('rows are found in order, mappings by the longest path', () => {
  const table = checkTable({
    mappings: [
      { method: 'GET', path: '/a/*', type: 'check' },
      { method: 'GET', path: '/a/b', type: 'check' },
    ],
    rows: [row, { ...row, model: '*' }],
  }).table;
  expect(findRow(table, 'check', 'm-1')?.model).toBe('m-*');
  expect(findRow(table, 'check', 'n')?.model).toBe('*');
  expect(findRow(table, 'other', 'n')).toBeUndefined();
  expect(findMapping(table, 'GET', '/a/b')?.path).toBe('/a/b');
  expect(findMapping(table, 'POST', '/a/b')).toBeUndefined();
});
