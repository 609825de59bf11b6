import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

interface ConnectionState<Exchange> {
  /** Requests whose head has arrived and whose body is still being read. */
  readonly reading: Set<IncomingMessage>;
  /** Requests that were read completely and have no response yet, in order of arrival. */
  readonly unanswered: Set<Exchange>;
  isClosing: boolean;
}

/**
 * Tracks the open requests of each client connection. Requests may be pipelined: several are then in progress on one
 * connection, and Node emits `close` only on the one whose response is next.
 */
export class ClientConnections<Exchange> {
  readonly #connections = new Map<Socket, ConnectionState<Exchange>>();
  readonly #onAbandoned: (exchange: Exchange) => void;

  /** `onAbandoned` is called for each request without a response when its connection has closed. */
  constructor(onAbandoned: (exchange: Exchange) => void) {
    this.#onAbandoned = onAbandoned;
  }

  /** The head of a request arrived. */
  onRequestHead(request: IncomingMessage): void {
    this.#stateOf(request.socket).reading.add(request);
  }

  /** The request will not be read completely, or is answered without a runner. */
  onRequestAborted(request: IncomingMessage): void {
    this.#stateOf(request.socket).reading.delete(request);
  }

  /** The request was read completely. Returns false if its connection is closing or closed: it must not be run then. */
  onRequestRead(request: IncomingMessage, exchange: Exchange): boolean {
    const { socket } = request;
    const requests = this.#stateOf(socket);
    requests.reading.delete(request);
    if (requests.isClosing || socket.destroyed || socket.writableEnded) return false;
    requests.unanswered.add(exchange);
    return true;
  }

  /** The response is complete, or the client disconnected. */
  onResponseEnd(socket: Socket, exchange: Exchange): void {
    this.#connections.get(socket)?.unanswered.delete(exchange);
  }

  /** Whether a completely read request has no response yet: anything written now would be taken for that response. */
  isResponseDue(socket: Socket): boolean {
    const requests = this.#connections.get(socket);
    if (!requests) return false;
    if (requests.unanswered.size > 0) return true;
    for (const request of requests.reading) if (request.complete) return true;
    return false;
  }

  /**
   * Marks the connection as closing after the response to this request, if that is the last one due, and returns whether
   * it did. Requests that arrive on it later are not run. Closing before the last response would lose the responses behind
   * it, and with them runs that have started.
   */
  closeAfter(socket: Socket, exchange: Exchange): boolean {
    const requests = this.#stateOf(socket);
    let last: Exchange | undefined;
    for (const unanswered of requests.unanswered) last = unanswered;
    if (last !== exchange || requests.reading.size > 0) return false;
    requests.isClosing = true;
    return true;
  }

  /**
   * Closes a connection on which no request is in progress, after what was written to it. A request that arrives later is not
   * run: its client sees the close before any response, and can repeat it.
   */
  closeIfIdle(socket: Socket): void {
    const requests = this.#stateOf(socket);
    if (requests.isClosing || requests.reading.size > 0 || requests.unanswered.size > 0) return;
    requests.isClosing = true;
    socket.end();
  }

  /**
   * Restarts the idle timeout of connections that are idle now, with this value, ms. Node applies to each connection the
   * timeout that was set when it became idle.
   */
  setIdleTimeout(idleMs: number): void {
    for (const [socket, { reading, unanswered }] of this.#connections) {
      if (reading.size === 0 && unanswered.size === 0) socket.setTimeout(idleMs);
    }
  }

  #stateOf(socket: Socket): ConnectionState<Exchange> {
    const known = this.#connections.get(socket);
    if (known) return known;
    const requests: ConnectionState<Exchange> = {
      reading: new Set(),
      unanswered: new Set(),
      isClosing: false,
    };
    this.#connections.set(socket, requests);
    socket.once('close', () => this.#onClosed(socket, requests));
    return requests;
  }

  #onClosed(socket: Socket, requests: ConnectionState<Exchange>): void {
    this.#connections.delete(socket);
    requests.isClosing = true;
    for (const exchange of [...requests.unanswered]) this.#onAbandoned(exchange);
  }
}
