import { expect, test } from 'vitest';
import { LineCheck } from './line-check.js';

function faultOf(lines: readonly object[]): string {
  const check = new LineCheck('q');
  const text = lines.map(jsonLine).join('');
  // Pieces that end within lines, as they come from a socket.
  for (let at = 0; at < text.length; at += 7) check.take(text.slice(at, at + 7));
  check.end();
  return check.fault;
}
function jsonLine(value: object): string {
  return `${JSON.stringify(value)}\n`;
}
test('every fault of an incomplete or mixed response is reported', () => {
  const [first, second, end] = [
    { id: 'q', run: 'r', index: 0 },
    { id: 'q', run: 'r', index: 1 },
    { id: 'q', run: 'r', end: 2 },
  ];
  expect(faultOf([first, second, end])).toBe('');
  expect(faultOf([first, second])).toBe('no last line');
  expect(faultOf([first, first, end])).toContain('where 1 is due');
  expect(faultOf([second, end])).toContain('where 0 is due');
  expect(faultOf([first, { ...second, run: 'other' }, end])).toContain('stitched');
  expect(faultOf([first, { ...second, id: 'p' }, end])).toContain("another request's line");
  expect(faultOf([first, end])).toContain('ends at 2 after 1');
  expect(faultOf([first, second, end, second])).toContain('continues after');
});
