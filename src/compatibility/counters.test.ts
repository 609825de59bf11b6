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
const COUNTED = /ounters\.(?:add|set)\(\s*(?:'([^']+)'|`([^`]+)`|([^)]*\?[^)]*))/g;

/** Names of counters in the sources of the programs; what they are completed by while a program runs is a star. */
function counterNames(): string[] {
  const names = new Set<string>();
  for (const file of readdirSync(SOURCES, { recursive: true, encoding: 'utf8' })) {
    if (!file.endsWith('.ts') || file.endsWith('.test.ts') || TEST_SUPPORT.test(file)) continue;
    const text = readFileSync(join(SOURCES, file), 'utf8');
    for (const [, plain, template, choice = ''] of text.matchAll(COUNTED)) {
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

test('what the names of counters are completed by stays', () => {
  // Typed lists: a value of another name does not compile. `orders.*`, `refused.*`
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

test('the codes of errors keep their names, statuses and hints to come back', () => {
  const codes = Object.entries(ERROR_RESPONSES).map(
    ([code, { status, retryAfterSeconds, isOutcomeUnknown }]) => [
      code,
      [status, retryAfterSeconds, isOutcomeUnknown ? 'unsure' : 'turned-away'],
    ],
  );
  expectGolden('operators/error-codes.json', Object.fromEntries(codes));
});
