import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

interface ConnectionState<Exchange> {
  /** Requests whose head came and whose body is being read. */
  readonly reading: Set<IncomingMessage>;
  /** Requests that were read whole and are not answered, in the order in which they came. */
  readonly unanswered: Set<Exchange>;
  isClosing: boolean;
}

/**
 * What is open on each connection of a client. Requests may be pipelined: several are then under way on one connection,
 * and Node tells only the one whose turn it is that the connection closed.
 */
export class ClientConnections<Exchange> {
  readonly #connections = new Map<Socket, ConnectionState<Exchange>>();
  readonly #abandon: (exchange: Exchange) => void;

  /** `abandon` is called for each unanswered request once its connection has closed. */
  constructor(abandon: (exchange: Exchange) => void) {
    this.#abandon = abandon;
  }

  /** The head of a request came. */
  onRequestHead(request: IncomingMessage): void {
    this.#stateOf(request.socket).reading.add(request);
  }

  /** The request will not be read to its end, or is answered without a runner. */
  onRequestAborted(request: IncomingMessage): void {
    this.#stateOf(request.socket).reading.delete(request);
  }

  /** The request was read whole. False where nobody waits for its answer any more, so that it must not be run. */
  onRequestRead(request: IncomingMessage, exchange: Exchange): boolean {
    const { socket } = request;
    const requests = this.#stateOf(socket);
    requests.reading.delete(request);
    if (requests.isClosing || socket.destroyed || socket.writableEnded) return false;
    requests.unanswered.add(exchange);
    return true;
  }

  /** The request was answered, or its client left. */
  onResponseEnd(socket: Socket, exchange: Exchange): void {
    this.#connections.get(socket)?.unanswered.delete(exchange);
  }

  /** Whether a request that was read whole has no answer yet: what is written now would take its place. */
  isResponseDue(socket: Socket): boolean {
    const requests = this.#connections.get(socket);
    if (!requests) return false;
    if (requests.unanswered.size > 0) return true;
    for (const request of requests.reading) if (request.complete) return true;
    return false;
  }

  /**
   * Marks the connection as closing after the answer to this request, if that is the last one due; what comes on it later
   * is not run. Otherwise the answers behind it would be lost, and with them runs that were begun.
   */
  closeAfter(socket: Socket, exchange: Exchange): boolean {
    const requests = this.#stateOf(socket);
    let last: Exchange | undefined;
    for (const unanswered of requests.unanswered) last = unanswered;
    if (last !== exchange || requests.reading.size > 0) return false;
    requests.isClosing = true;
    return true;
  }

  /** Lets connections that rest now rest for so long from now on; Node gives each the time that held when its rest began. */
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
    for (const exchange of [...requests.unanswered]) this.#abandon(exchange);
  }
}
