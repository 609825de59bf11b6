import { expect, test } from 'vitest';
import { compile } from '../policy/language.js';
import { TableCheck, type Finding, type FleetView } from './table-check.js';

function fleetOf(
  rooms: readonly (readonly [string, number])[],
  models: readonly (readonly [string, number])[],
): FleetView {
  const runners = [];
  for (const [index, [zone, room]] of rooms.entries()) {
    const id = `r${index}`;
    runners.push({
      machine: { id, address: id, zone, service: '', leaving: false },
      report: { id, boot: 'b', room, slots: 4, upMs: 60_000, holds: [] },
      isReachable: true,
    });
  }
  return {
    number: 1,
    table: { mappings: [], rows: [] },
    emptied: [],
    catalog: { limit: 2, models: models.map(modelOfSize), adapters: [] },
    docs: [],
    runners,
    demand: [{ unit: 'm-0\n', rate: 2 }],
  };
}
function modelOfSize([name, size]: readonly [string, number]): { name: string; size: number } {
  return { name, size };
}
function kinds(text: string, fleet: FleetView): string[] {
  const { table, faults } = compile(text);
  expect(faults).toEqual([]);
  return new TableCheck(table, fleet, { runMs: 1000 }).check().findings.map(kindOf);
}
function kindOf(finding: Finding): string {
  return `${finding.kind} ${finding.subject}`;
}
const CLEAN = 'map POST /c to check\nrow check m-* weight 9 take 5/s';
test('a table that fits has no findings, and the report lists the orders that it would cause', () => {
  const { table } = compile(CLEAN);
  const report = new TableCheck(
    table,
    fleetOf(
      [
        ['a', 20],
        ['b', 20],
      ],
      [
        ['m-0', 10],
        ['m-1', 10],
      ],
    ),
    { runMs: 1000 },
  ).check();
  expect(report.findings).toEqual([]);
  expect(report.waits).toEqual([]);
  expect(report.orders).toContain('load m-0 at r0');
  expect(report.orders).toHaveLength(4);
});
test('unreached rows, shadowed rows and rates above the capacity of the fleet are found', () => {
  const fleet = fleetOf(
    [
      ['a', 20],
      ['b', 20],
    ],
    [['m-0', 10]],
  );
  expect(
    kinds(
      'map POST /c to check\nrow check m-*\nrow check m-0\nrow other m-0 take 1/s\nrow check x take 1/s',
      fleet,
    ),
  ).toEqual([
    'take-above-fleet check/m-*',
    'shadowed-row check/m-0',
    'take-above-fleet check/m-0',
    'unreached-row other/m-0',
    'unknown-model check/x',
  ]);
  expect(kinds('map GET /l to lookup\nrow lookup @kiosk', fleet)).toEqual([
    'no-back-end lookup/@kiosk',
  ]);
});
test('models that fit no runner, or runners of one zone only, are found', () => {
  expect(
    kinds(
      CLEAN,
      fleetOf(
        [
          ['a', 20],
          ['b', 20],
        ],
        [['m-0', 30]],
      ),
    ),
  ).toEqual(['fits-nowhere m-0']);
  expect(
    kinds(
      CLEAN,
      fleetOf(
        [
          ['a', 40],
          ['b', 20],
        ],
        [['m-0', 30]],
      ),
    ),
  ).toEqual(['no-pair m-0', 'zone-lost a']);
});
