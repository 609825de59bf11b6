/** Lets a server stop the parsing of a connection in the middle of the bytes that it has read. */
import { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

const stoppedConnections = new WeakSet<Socket>();

/** From now on no request on this connection is parsed: the next head ends its parsing, and the server emits `upgrade`. */
export function stopParsing(socket: Socket): void {
  stoppedConnections.add(socket);
}

/**
 * A request that ends the parsing of its connection if that was stopped. Node's parser hands over all requests of the bytes
 * that it has read, thousands of them, even if the connection is destroyed meanwhile; it stops only at a request after which
 * the connection has another protocol, so such a request takes that form. All other requests to change the protocol are
 * treated as ordinary ones, as by a server that doesn't offer any.
 */
export class StoppableRequest extends IncomingMessage {
  /** Whether the connection has another protocol from here on. */
  get upgrade(): boolean {
    return this.method === 'CONNECT' || stoppedConnections.has(this.socket);
  }

  /** Node's parser sets what the client has asked for, which is not offered. */
  set upgrade(_requested: unknown) {
    /* not offered */
  }
}
