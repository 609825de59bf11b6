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
function positionOf(fault: Fault): string {
  return `${fault.row}.${fault.cell}`;
}
test('all faults are returned, each with its row and cell', () => {
  const { faults } = checkTable({
    mappings: [],
    rows: [
      { ...row, weight: 0 },
      { ...row, model: 'x y', lateMs: 1 },
    ],
  });
  expect(faults.map(positionOf)).toEqual(['rows[0].weight', 'rows[1].model', 'rows[1].lateMs']);
  const second = checkTable({
    mappings: [{ method: 'GET', path: '/a', type: 'none' }],
    rows: [row, row],
  });
  expect(second.faults.map(positionOf)).toEqual(['check/m-*.model', 'GET /a.type']);
});
test('the first matching row is found, and the mapping with the longest path', () => {
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
