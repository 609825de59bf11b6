import type { IncomingMessage } from 'node:http';

/** Turns of the event loop after which a close that came with a request has been read as well. */
const CLOSE_EVENT_LOOP_TURNS = 2;

function nextEventLoopTurn(done: () => void): void {
  setImmediate(done);
}

/**
 * Whether the caller of a request closed its connection, looked at after the event loop has read what came right behind
 * the request: one that waited in the network or in a stopped process may be followed by its caller's close.
 */
export async function hasDisconnected(request: IncomingMessage): Promise<boolean> {
  for (let turn = 0; turn < CLOSE_EVENT_LOOP_TURNS; turn += 1)
    await new Promise<void>(nextEventLoopTurn);
  return request.socket.destroyed || request.socket.readableEnded;
}
