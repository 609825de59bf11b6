import { performance as realClock } from 'node:perf_hooks';
import { setImmediate as nextEventLoopTurn } from 'node:timers/promises';
import { vi } from 'vitest';

const PACED = [
  'setTimeout',
  'clearTimeout',
  'setInterval',
  'clearInterval',
  'performance',
  'hrtime',
] as const;
/** By how much the paced clock goes on at a time, ms. */
const STEP_MS = 10;
/** So many turns of the event loop in a row without input or output show that none is under way. */
const IDLE_TURNS = 3;

/**
 * Runs work with the timers and clocks of this process paced: they go on by a step only once the process is idle, which is
 * when everything written to a socket of its own was read and every file operation has returned. A late event loop, as on a
 * busy machine, delays the steps and changes nothing of what happens in each, so that rates per paced second are the same
 * on any machine. Returns or throws what the work does, with timers and clocks as they were.
 */
export async function runInPacedTime<T>(work: () => Promise<T>): Promise<T> {
  vi.useFakeTimers({ toFake: [...PACED] });
  try {
    return await pace(work());
  } finally {
    vi.useRealTimers();
  }
}

/** Lets the paced clock go on until the work is done. */
async function pace<T>(work: Promise<T>): Promise<T> {
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

/** Resolves once the event loop waits for nothing but timers. */
async function untilIdle(): Promise<void> {
  let idleTurns = 0;
  while (idleTurns < IDLE_TURNS) {
    const before = inputEvents();
    await nextEventLoopTurn();
    const isBusy = inputEvents() > before || hasFileOperation();
    idleTurns = isBusy ? 0 : idleTurns + 1;
  }
}

/** Events of sockets and of finished file operations that this process has handled so far. */
function inputEvents(): number {
  return realClock.nodeTiming.uvMetricsInfo.events;
}

function hasFileOperation(): boolean {
  return process.getActiveResourcesInfo().some(isFileOperation);
}

function isFileOperation(resource: string): boolean {
  return resource.startsWith('FSReq');
}
