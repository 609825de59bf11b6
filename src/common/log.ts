import { destination, pino, stdTimeFunctions, type Logger } from 'pino';

/** Lines go straight to standard error, without a worker. */
export function makeLog(program: string, id: string): Logger {
  return pino(
    { base: { program, id }, level: 'info', timestamp: stdTimeFunctions.isoTime },
    destination({ dest: 2, sync: true }),
  );
}
