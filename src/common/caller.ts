import type { IncomingMessage } from 'node:http';

/** Turns of the event loop after which a close that arrived together with a request has been read as well. */
const CLOSE_EVENT_LOOP_TURNS = 2;

function nextEventLoopTurn(done: () => void): void {
  setImmediate(done);
}

/**
 * Whether the client of a request has closed its connection. The check waits until the event loop has read what arrived
 * right after the request: a request that was delayed in the network or in a stopped process may be followed by the close of
 * its client.
 */
export async function hasDisconnected(request: IncomingMessage): Promise<boolean> {
  for (let turn = 0; turn < CLOSE_EVENT_LOOP_TURNS; turn += 1)
    await new Promise<void>(nextEventLoopTurn);
  return request.socket.destroyed || request.socket.readableEnded;
}
