import { expect, test } from 'vitest';
import { Callers } from './callers.js';
import { HAMLET } from './deployment.js';
import { type EdgeSpec, Fleet, type ControlNodeSpec, PROGRAM } from './fleet.js';
import { Rehearsal } from './rehearsal.js';
import { spawn } from 'node:child_process';
import { mkdtempSync, openSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

function ignore(): void {
  /* the test needs no progress messages */
}
interface CommandResult {
  readonly code: number;
  readonly text: string;
}
async function runCommand(root: string, args: readonly string[]): Promise<CommandResult> {
  const path = join(root, 'command.out');
  const out = openSync(path, 'w');
  const child = spawn(process.execPath, [PROGRAM, ...args], { stdio: ['ignore', out, out] });
  const code = await new Promise((resolve: (code: number) => void) => {
    child.once('exit', (code: number | null) => {
      resolve(code ?? -1);
    });
  });
  return { code, text: readFileSync(path, 'utf8') };
}
function proxyAddressOf(edge: EdgeSpec): string {
  return edge.proxy;
}
function apiFlags(controlNode: ControlNodeSpec): string[] {
  return ['--api', controlNode.api];
}
test('separate processes connect, apply a policy table and serve a stream, and an edited table cell changes the placement', async () => {
  const root = mkdtempSync(join(tmpdir(), 'hamlet-'));
  const fleet = new Fleet(HAMLET, root);
  try {
    const rehearsal = new Rehearsal(fleet, ignore);
    await rehearsal.startFleet();
    const callers = new Callers(fleet.edges.map(proxyAddressOf), 1);
    const [check] = HAMLET.traffic;
    if (!check) throw new Error('no traffic');
    // A streamed request is served to its end; it is retried until the model is loaded, as a client with Retry-After does.
    await fleet.waitUntil(
      'a streamed request served',
      30_000,
      async (): Promise<boolean> =>
        check !== undefined &&
        (await callers.send({ ...check, models: ['receipt-00'] })).outcome === 'done',
    );
    const api = fleet.controlNodes.flatMap(apiFlags);
    expect(
      await runCommand(root, ['operator', 'set', 'check/receipt-*', 'weight', '99', ...api]),
    ).toMatchObject({ code: 0 });
    expect((await runCommand(root, ['operator', 'table', ...api])).text).toContain(
      'row check receipt-* weight 99',
    );
    expect(
      await runCommand(root, ['operator', 'set', 'check/receipt-*', 'weight', '0', ...api]),
    ).toMatchObject({ code: 1 });
    // One cell of the table selects which rare models are in use; the others are unloaded within seconds.
    await fleet.waitUntil('rare models placed', 60_000, async (): Promise<boolean> =>
      / {2}rare-0[1-3] runner/.test((await runCommand(root, ['operator', 'status', ...api])).text),
    );
    expect(
      await runCommand(root, ['operator', 'set', 'check/rare-*', 'model', 'rare-00', ...api]),
    ).toMatchObject({ code: 0 });
    await fleet.waitUntil(
      'the other rare models are unloaded',
      15_000,
      async (): Promise<boolean> =>
        !/ {2}rare-0[1-3] runner/.test(
          (await runCommand(root, ['operator', 'status', ...api])).text,
        ),
    );
    // --watch follows the placement until it has settled, and --live prints each row together with its placements.
    const watched = await runCommand(root, ['operator', 'table', '--watch', ...api]);
    expect(watched).toMatchObject({ code: 0 });
    expect(watched.text).toContain('settled');
    expect((await runCommand(root, ['operator', 'table', '--live', ...api])).text).toMatch(
      /check\/receipt-\* {2}weight 99[^\n]*\n {2}receipt-0\d {2}runner-\d+ \(\w+\) \/ runner-\d+/,
    );
    expect(
      await runCommand(root, ['operator', 'rows', '--remove', 'check/rare-00', ...api]),
    ).toMatchObject({
      code: 0,
    });
    expect((await runCommand(root, ['operator', 'status', ...api])).text).toMatch(
      /receipt-00 runner-\d+ \/ runner-\d+/,
    );
    expect(
      await runCommand(root, ['control', '--listen', 'nowhere:1', '--zone', 'A']),
    ).toMatchObject({
      code: 2,
    });
    await callers.stop();
    expect(await rehearsal.violations(callers)).toEqual([]);
    expect(await fleet.signal('flow-0', 'SIGTERM')).toBe(0);
    expect(await fleet.signal('link-0', 'SIGTERM')).toBe(0);
    expect(await fleet.signal('mind-0', 'SIGTERM')).toBe(0);
  } finally {
    await fleet.stop();
    rmSync(root, { recursive: true, force: true });
  }
}, 600_000);
