import { expect, test } from 'vitest';
import type { Protocol } from './Protocol.js';
import {
  election,
  explore,
  refusal,
  repair,
  replication,
  SEARCHES,
  SEEDS,
  voterChange,
  type Extent,
  type Search,
} from './Searches.js';

/** No search here comes near it: a verdict never depends on the memory or speed of the machine. */
const MOST_STATES = 1_000_000;

function checkSound(search: Search): void {
  const report = search.run(search.usual, MOST_STATES);
  expect(report.counterexample).toBeUndefined();
  expect(report.states).toBeLessThan(MOST_STATES);
  // A search that ended early by itself would show nothing.
  if (search.usual.kind === 'every-order') expect(report.depth).toBe(search.usual.depth);
  else expect(report.isExhausted).toBe(true);
}

for (const [index, search] of SEARCHES.entries()) {
  test(
    `search ${index + 1} of the ${search.model} finds nothing`,
    checkSound.bind(undefined, search),
  );
}

/** Says which invariant a search over a protocol with a mistake breaks. */
function brokenBy<Command, Event, Facts, Ghost>(
  protocol: Protocol<Command, Event, Facts, Ghost>,
  extent: Extent,
): string {
  return explore(protocol, extent, MOST_STATES).counterexample?.invariant ?? 'none';
}

function orders(depth: number): Extent {
  return { kind: 'every-order', depth };
}

function faults(most: number): Extent {
  return { kind: 'faults', faults: most };
}

function checkUnsyncedWords(): void {
  const protocol = election('contested', true, 'speaks-unsynced');
  expect(brokenBy(protocol, orders(3))).toContain('spoken before it was synced');
}

function checkForgottenGrant(): void {
  const protocol = election('contested', false, 'grant-forgotten');
  expect(brokenBy(protocol, orders(4))).toContain('two leaders in epoch');
}

function checkMissingGap(): void {
  const protocol = election('after a leader', false, 'no-lease-gap');
  expect(brokenBy(protocol, faults(1))).toContain('two holders may order within the lease');
}

function checkOneCopy(): void {
  const protocol = replication('calm', true, 'committed-at-one-copy');
  expect(brokenBy(protocol, orders(6))).toContain('without a majority of synced copies');
}

function checkUnsyncedAcknowledgement(): void {
  const protocol = replication('calm', true, 'acknowledged-unsynced');
  expect(brokenBy(protocol, orders(6))).toContain('without a majority of synced copies');
}

function checkOldWriter(): void {
  const protocol = replication('takeover', false, 'old-epoch-written');
  expect(brokenBy(protocol, orders(6))).toContain('though "ab" was committed');
}

function checkRepairByOne(): void {
  const protocol = repair('wiped', [SEEDS], 'repaired-by-one');
  expect(brokenBy(protocol, orders(7))).toContain('though "ab" was committed');
}

function checkRepairedTwice(): void {
  const protocol = repair('wiped after a grant', [SEEDS], 'grant-forgotten');
  expect(brokenBy(protocol, orders(7))).toContain('two leaders in epoch');
}

function checkSkippedJointSet(): void {
  const protocol = voterChange('joint-set-skipped');
  expect(brokenBy(protocol, faults(0))).toContain('two sets of voters could decide apart');
}

function checkHastyRefusal(): void {
  const protocol = refusal('refused-for-a-pending-one');
  expect(brokenBy(protocol, faults(0))).toContain('is refused though its base');
}

test('words before their record is synced are found', checkUnsyncedWords);
test('a grant that does not outlast a restart is found', checkForgottenGrant);
test('a lease that begins right after another is found', checkMissingGap);
test('a change committed at one copy is found', checkOneCopy);
test('an acknowledgement before the sync is found', checkUnsyncedAcknowledgement);
test('a write taken from a former leader is found', checkOldWriter);
test('a repair from one other voter is found', checkRepairByOne);
test('a repaired voter that votes twice in an epoch is found', checkRepairedTwice);
test('new voters that take over without the joint set are found', checkSkippedJointSet);
test('a refusal for an order that is still under way is found', checkHastyRefusal);
