import { pino } from 'pino';
import { expect, test } from 'vitest';
import { logControlEvent, type ControlLogEvent } from './control-log-event.js';

/** Values of pino's levels. */
const INFO = 30;
const WARN = 40;
const ERROR = 50;

function lineOf(event: ControlLogEvent): unknown {
  const lines: string[] = [];
  const log = pino({ base: null, timestamp: false }, { write: (line: string) => lines.push(line) });
  logControlEvent(log, event);
  expect(lines).toHaveLength(1);
  return JSON.parse(lines[0] ?? '');
}

test('an event is one log line with its fields', () => {
  expect(lineOf({ event: 'leader changed', leader: 'a:1', epoch: 4 })).toEqual({
    level: INFO,
    msg: 'leader changed',
    leader: 'a:1',
    epoch: 4,
  });
});

test('failures are warnings, and errors of the core are errors', () => {
  expect(lineOf({ event: 'operation failed', code: 'disk-write', reason: 'full' })).toMatchObject({
    level: WARN,
    code: 'disk-write',
  });
  expect(lineOf({ event: 'input failed', stack: 'Error: x' })).toMatchObject({ level: ERROR });
});
