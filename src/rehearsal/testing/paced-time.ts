import { performance as realClock } from 'node:perf_hooks';
import { setImmediate as nextEventLoopTurn } from 'node:timers/promises';
import { vi } from 'vitest';

/** Timers and clocks that are replaced. */
const PACED_APIS = [
  'setTimeout',
  'clearTimeout',
  'setInterval',
  'clearInterval',
  'performance',
  'hrtime',
] as const;
/** Step of the paced clock, ms. */
const STEP_MS = 10;
/** Turns of the event loop without input or output after which none is assumed to be in progress. */
const IDLE_TURNS = 3;

/**
 * Runs work with paced timers and clocks, which advance by a step only once the process is idle: everything written to its
 * own sockets was read, and every file operation has returned. A late event loop, as on a busy machine, delays the steps
 * but does not change what happens in each, so that rates per paced second are the same on any machine. Restores the
 * timers and clocks, and returns or throws what the work does.
 */
export async function runInPacedTime<T>(work: () => Promise<T>): Promise<T> {
  vi.useFakeTimers({ toFake: [...PACED_APIS] });
  try {
    return await advanceUntilDone(work());
  } finally {
    vi.useRealTimers();
  }
}

/** Advances the paced clock until the work is done. */
async function advanceUntilDone<T>(work: Promise<T>): Promise<T> {
  let isDone = false;
  function finish(): void {
    isDone = true;
  }
  work.then(finish, finish);
  while (!isDone) {
    await untilIdle();
    vi.advanceTimersByTime(STEP_MS);
  }
  return work;
}

/** Resolves once the event loop waits for timers only. */
async function untilIdle(): Promise<void> {
  let idleTurns = 0;
  while (idleTurns < IDLE_TURNS) {
    const before = ioEventCount();
    await nextEventLoopTurn();
    const isBusy = ioEventCount() > before || hasFileOperation();
    idleTurns = isBusy ? 0 : idleTurns + 1;
  }
}

/** Returns the number of socket events and finished file operations that this process has handled so far. */
function ioEventCount(): number {
  return realClock.nodeTiming.uvMetricsInfo.events;
}

function hasFileOperation(): boolean {
  return process.getActiveResourcesInfo().some(isFileOperation);
}

function isFileOperation(resource: string): boolean {
  return resource.startsWith('FSReq');
}
