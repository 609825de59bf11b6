import { expect, test } from 'vitest';
import { compile, printTable } from './language.js';
import type { Fault } from './table.js';

const text =
  '# shop\nmap POST /v1/checks to check\nrow check receipt-* weight 80 take 40/s late 20s once stream\nrow check * late 1.5m repeatable\n';
function positionOf(fault: Fault): string {
  return `${fault.line}:${fault.column} ${fault.cell}`;
}
test('a printed table compiles to the same table', () => {
  const { table, faults } = compile(text);
  expect(faults).toEqual([]);
  expect(table.rows[0]).toEqual({
    type: 'check',
    model: 'receipt-*',
    weight: 80,
    take: 40,
    lateMs: 20_000,
    repeatable: false,
    stream: true,
  });
  expect(table.rows[1]?.lateMs).toBe(90_000);
  expect(compile(printTable(table)).table).toEqual(table);
});
test('every fault has a line and a column', () => {
  const { faults } = compile(
    'map POST /x of check\nrow check m weight heavy\nsing\nrow check n once repeatable',
  );
  expect(faults.map(positionOf)).toEqual([
    '1:13 mapping',
    '2:20 weight',
    '3:1 statement',
    '4:18 repeatable',
  ]);
});
test('faults of the table check have the line of their row or mapping', () => {
  expect(compile('row check m weight 5000\nmap GET /x to other').faults.map(positionOf)).toEqual([
    '1:1 weight',
  ]);
  expect(compile('row check m\nrow check m\nmap GET /x to other').faults.map(positionOf)).toEqual([
    '1:1 model',
    '3:1 type',
  ]);
});
