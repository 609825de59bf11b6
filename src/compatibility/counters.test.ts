import { readdirSync, readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { expect, test } from 'vitest';
import { ERROR_RESPONSES } from '../common/errors.js';
import type { OrderOutcome } from '../control/order-sender.js';
import type { RejectReason } from '../proxy/dispatch-types.js';
import { expectGolden } from './testing/golden.js';

const SOURCES = join(dirname(fileURLToPath(import.meta.url)), '..');
const TEST_SUPPORT = /^(rehearsal|simulation|compatibility)\b/;
const COUNTER_CALLS = /ounters\.(?:add|set)\(\s*(?:'([^']+)'|`([^`]+)`|([^)]*\?[^)]*))/g;

/** Names of the counters in the programs' sources; a star stands for each part that is filled in at run time. */
function counterNames(): string[] {
  const names = new Set<string>();
  for (const file of readdirSync(SOURCES, { recursive: true, encoding: 'utf8' })) {
    if (!file.endsWith('.ts') || file.endsWith('.test.ts') || TEST_SUPPORT.test(file)) continue;
    const text = readFileSync(join(SOURCES, file), 'utf8');
    for (const [, plain, template, choice = ''] of text.matchAll(COUNTER_CALLS)) {
      if (plain !== undefined) names.add(plain);
      if (template !== undefined) names.add(template.replaceAll(/\$\{[^}]*\}/g, '*'));
      for (const [, name = ''] of choice.matchAll(/'([^']+)'/g)) names.add(name);
    }
  }
  return [...names].sort();
}

test('the counters of the programs keep their names', () => {
  expectGolden('operators/counters.json', counterNames());
});

test('the variable parts of counter names stay the same', () => {
  // The types make a renamed value a compile error. They complete `orders.*` and `refused.*`.
  const outcomes: readonly OrderOutcome[] = ['taken', 'turnedAway', 'unsure', 'unsent'];
  const reasons: Readonly<Record<RejectReason, true>> = {
    'no-config': true,
    'no-route': true,
    'no-runner': true,
    full: true,
    late: true,
    'not-loaded': true,
  };
  expect(new Set(outcomes).size).toBe(4);
  expect(Object.keys(reasons)).toHaveLength(6);
});

test('the error codes keep their names, statuses and retry-after values', () => {
  const codes = Object.entries(ERROR_RESPONSES).map(
    ([code, { status, retryAfterSeconds, isOutcomeUnknown }]) => [
      code,
      [status, retryAfterSeconds, isOutcomeUnknown ? 'unsure' : 'turned-away'],
    ],
  );
  expectGolden('operators/error-codes.json', Object.fromEntries(codes));
});
