import { expect, test } from 'vitest';
import { Callers as CallersClass } from './callers.js';
import { HAMLET } from './deployment.js';
import { Fleet as FleetClass } from './fleet.js';
import type { Violation } from './judge.js';
import { Rehearsal, isDone, isNamed } from './rehearsal.js';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

/** Rules without a time limit, which a slow machine cannot break; those with one are checked on virtual time. */
const RULES_WITHOUT_TIME = new Set<string>([
  'run-twice',
  'ran-though-turned-away',
  'not-whole',
  'stitched',
  'over-room',
  'over-store',
  'lost-table',
  'cut-by-plan',
]);
function isWithoutTime(violation: Violation): boolean {
  return RULES_WITHOUT_TIME.has(violation.rule);
}
function discard(): void {
  /* discards the progress lines */
}
function flowOf(edge: { readonly proxy: string }): string {
  return edge.proxy;
}
test('no rule is broken when real processes are killed, frozen, wiped and restarted under traffic', async () => {
  const root = mkdtempSync(join(tmpdir(), 'hamlet-'));
  const fleet = new FleetClass(HAMLET, root);
  try {
    const rehearsal = new Rehearsal(fleet, discard);
    await rehearsal.startFleet();
    const callers = new CallersClass(fleet.edges.map(flowOf), 3);
    for (const kind of HAMLET.traffic) callers.start(kind, 2);
    const counts = { done: 0 };
    async function hasServed(): Promise<boolean> {
      return callers.records.filter(isDone).length >= counts.done + 20;
    }
    async function awaitServed(what: string): Promise<void> {
      counts.done = callers.records.filter(isDone).length;
      await fleet.waitUntil(`twenty calls served ${what}`, 60_000, hasServed);
    }
    await awaitServed('at first');
    await fleet.signal('runner-01', 'SIGKILL');
    await awaitServed('with a runner killed');
    fleet.startProcess('runner-01');
    const killed = await rehearsal.leaderName();
    await fleet.signal(killed, 'SIGKILL');
    await rehearsal.awaitRecovery(60_000);
    fleet.startProcess(killed);
    await fleet.waitUntil('a sound replica at the killed leader', 60_000, () =>
      rehearsal.isSound(killed),
    );
    // A table accepted while a proxy is frozen is acknowledged only once that proxy's freshness has expired.
    const frozenAt = Date.now();
    await fleet.signal('flow-1', 'SIGSTOP');
    expect(await rehearsal.setCell('check/receipt-*', 'weight', 71)).toBe(200);
    await fleet.signal('flow-1', 'SIGCONT');
    rehearsal.addEvent(
      { what: 'frozen', node: fleet.edges[1]?.proxy ?? '', number: Date.now() - frozenAt },
      frozenAt,
    );
    await rehearsal.awaitRecovery(60_000);
    // The leader loses its disk right after it acknowledged an edit.
    const lost = await rehearsal.leaderName();
    expect(await rehearsal.setCell('check/receipt-*', 'weight', 72)).toBe(200);
    await fleet.signal(lost, 'SIGKILL');
    const controlNode = fleet.controlNodes.find((controlNode) => isNamed(lost, controlNode));
    if (controlNode) fleet.deleteData(controlNode);
    fleet.startProcess(lost);
    await fleet.waitUntil('a sound replica at the node that lost its disk', 60_000, () =>
      rehearsal.isSound(lost),
    );
    await rehearsal.awaitRecovery(60_000);
    await awaitServed('after these failures');
    // Every process is restarted by a planned stop, one at a time, with open streams.
    for (const [index, edge] of fleet.edges.entries()) {
      rehearsal.addEvent({ what: 'planned-stop', node: edge.proxy });
      expect(await fleet.signal(`flow-${index}`, 'SIGTERM')).toBe(0);
      fleet.startProcess(`flow-${index}`);
      expect(await fleet.signal(`link-${index}`, 'SIGTERM')).toBe(0);
      fleet.startProcess(`link-${index}`);
      await rehearsal.awaitRecovery(60_000);
    }
    for (const each of fleet.controlNodes.slice(0, 3)) {
      expect(await fleet.signal(each.name, 'SIGTERM')).toBe(0);
      fleet.startProcess(each.name);
      await rehearsal.awaitRecovery(60_000);
    }
    await awaitServed('after every program was restarted');
    await callers.stop();
    const violations = await rehearsal.violations(callers);
    expect(violations.filter(isWithoutTime)).toEqual([]);
    expect(rehearsal.table).toBe(3);
  } finally {
    await fleet.stop();
    rmSync(root, { recursive: true, force: true });
  }
}, 600_000);
