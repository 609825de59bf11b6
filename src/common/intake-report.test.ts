import { pino } from 'pino';
import { expect, test } from 'vitest';
import { Counters } from './counters.js';
import { IntakeReport } from './intake-report.js';

test('limits that clients met are logged once, with their counters alone, and again when more were met', () => {
  const lines: unknown[] = [];
  const log = pino(
    { base: null, timestamp: false },
    { write: (line) => lines.push(JSON.parse(line)) },
  );
  const counters = new Counters();
  const report = new IntakeReport(counters, log);
  counters.add('requests', 5);
  report.report();
  counters.add('intake.resting', 2);
  report.report();
  report.report();
  counters.add('intake.unread');
  report.report();
  const level = 40;
  const msg = 'clients met limits';
  expect(lines).toEqual([
    { level, msg, 'intake.resting': 2 },
    { level, msg, 'intake.resting': 2, 'intake.unread': 1 },
  ]);
});
