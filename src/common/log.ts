import { destination, pino, stdTimeFunctions, type Logger } from 'pino';

/** Creates a logger that writes synchronously to standard error, without a worker thread. */
export function makeLog(program: string, id: string): Logger {
  return pino(
    { base: { program, id }, level: 'info', timestamp: stdTimeFunctions.isoTime },
    destination({ dest: 2, sync: true }),
  );
}
