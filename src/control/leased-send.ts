import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { readBody } from '../common/call.js';
import type { Moment } from '../common/ids.js';
import { mayWrite, remainingOrderTimeMs, type Lease } from './lease.js';

/** The status that came back, if one did, and whether anything was written. */
export interface LeasedResponse {
  readonly status: number | undefined;
  readonly isWritten: boolean;
}

export const CONNECT_TIMEOUT_MS = 500;
export const RESPONSE_TIMEOUT_MS = 1000;

/**
 * Sends a call that only the holder of the lease may make. The connection is made first, so that the lease is checked
 * right before the first byte is written.
 */
export function sendWithinLease(
  sent: ClientRequest,
  body: string,
  lease: Lease,
  now: () => Moment,
): Promise<LeasedResponse> {
  return new Promise((done: (result: LeasedResponse) => void) => {
    follow(sent, body, lease, now, done);
  });
}

function follow(
  sent: ClientRequest,
  body: string,
  lease: Lease,
  now: () => Moment,
  done: (result: LeasedResponse) => void,
): void {
  let isWritten = false;
  let isOver = false;
  const timers: NodeJS.Timeout[] = [];
  function end(status: number | undefined): void {
    if (isOver) return;
    isOver = true;
    for (const timer of timers) clearTimeout(timer);
    sent.destroy();
    done({ status, isWritten });
  }
  function giveUp(): void {
    end(undefined);
  }
  function write(): void {
    if (isOver || !mayWrite(lease, now())) {
      end(undefined);
      return;
    }
    isWritten = true;
    sent.end(body);
  }
  sent.once('socket', (socket: Socket) => {
    socket.setNoDelay(true);
    if (socket.connecting) socket.once('connect', write);
    else write();
  });
  sent.once('response', async (returned: IncomingMessage): Promise<void> => {
    const status = returned.statusCode ?? 0;
    // The status says it all; what follows it changes nothing.
    try {
      await readBody(returned, 65_536);
    } catch {
      /* told by the status */
    }
    end(status);
  });
  sent.on('error', giveUp);
  timers.push(
    setTimeout(() => {
      if (!isWritten) end(undefined);
    }, CONNECT_TIMEOUT_MS),
    setTimeout(giveUp, Math.min(RESPONSE_TIMEOUT_MS, remainingOrderTimeMs(lease, now()))),
  );
}
