/** Resolves at the first SIGTERM or SIGINT. */
export function untilStopped(): Promise<void> {
  return new Promise((done: () => void) => {
    process.once('SIGTERM', done);
    process.once('SIGINT', done);
  });
}
