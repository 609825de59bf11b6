/** Resolves at the first SIGTERM or SIGINT. */
export function untilStopped(): Promise<void> {
  return new Promise((resolve: () => void) => {
    process.once('SIGTERM', resolve);
    process.once('SIGINT', resolve);
  });
}
