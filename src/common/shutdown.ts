/** Resolves at the first SIGTERM or SIGINT. */
export function untilStopped(): Promise<void> {
  function wait(done: () => void): void {
    process.once('SIGTERM', done);
    process.once('SIGINT', done);
  }
  return new Promise(wait);
}
