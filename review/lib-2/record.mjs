// The record of a case: what was sent, answered and run, with the time since its start; and the exit status of the case.
import { appendFileSync, writeFileSync } from 'node:fs';

export const HELD = 0;
export const BROKEN = 1;
export const NOT_RUN = 2;

/** Writes `record.txt` beside the script of a case. */
export class Record {
  #path;
  #startedAt = performance.now();

  constructor(path) {
    this.#path = path;
    writeFileSync(path, '');
  }

  /** Milliseconds since the start of the case. */
  now() {
    return Math.round(performance.now() - this.#startedAt);
  }

  add(text) {
    appendFileSync(this.#path, `${String(this.now()).padStart(6)} ms  ${text}\n`);
  }
}

export function pause(ms) {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Waits until the check holds; throws at the limit. */
export async function until(what, limitMs, check) {
  const end = performance.now() + limitMs;
  for (;;) {
    if (await check()) return;
    if (performance.now() > end) throw new Error(`not reached in ${limitMs} ms: ${what}`);
    await pause(50);
  }
}

/**
 * Runs a case: `play` gets the record and returns whether the rule held. All that `stop` ends is ended before the exit.
 * Exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
 */
export async function runCase(recordPath, play, stop) {
  const record = new Record(recordPath);
  const watchdog = setTimeout(() => finish(NOT_RUN, 'the case took too long'), 115_000);
  let isFinished = false;
  async function finish(status, text) {
    if (isFinished) return;
    isFinished = true;
    clearTimeout(watchdog);
    record.add(text);
    process.stdout.write(`${text}\n`);
    await stop(record);
    process.exit(status);
  }
  for (const signal of ['SIGINT', 'SIGTERM'])
    process.once(signal, () => void finish(NOT_RUN, `ended by ${signal}`));
  try {
    const { isHeld, text } = await play(record);
    await finish(isHeld ? HELD : BROKEN, `${isHeld ? 'HELD' : 'BROKEN'}: ${text}`);
  } catch (thrown) {
    await finish(NOT_RUN, `could not run: ${thrown instanceof Error ? thrown.stack : thrown}`);
  }
}

/** Whether the disruption is to be left out. */
export const IS_TROUBLED = process.env.TROUBLE !== '0';
