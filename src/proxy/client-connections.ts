import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

interface OpenRequests<Exchange> {
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
  readonly #requests = new Map<Socket, OpenRequests<Exchange>>();
  readonly #abandon: (exchange: Exchange) => void;

  /** `abandon` is called for each unanswered request once its connection has closed. */
  constructor(abandon: (exchange: Exchange) => void) {
    this.#abandon = abandon;
  }

  /** The head of a request came. */
  begin(asked: IncomingMessage): void {
    this.#of(asked.socket).reading.add(asked);
  }

  /** The request will not be read to its end, or is answered without a runner. */
  drop(asked: IncomingMessage): void {
    this.#of(asked.socket).reading.delete(asked);
  }

  /** The request was read whole. False where nobody waits for its answer any more, so that it must not be run. */
  open(asked: IncomingMessage, exchange: Exchange): boolean {
    const { socket } = asked;
    const requests = this.#of(socket);
    requests.reading.delete(asked);
    if (requests.isClosing || socket.destroyed || socket.writableEnded) return false;
    requests.unanswered.add(exchange);
    return true;
  }

  /** The request was answered, or its client left. */
  end(socket: Socket, exchange: Exchange): void {
    this.#requests.get(socket)?.unanswered.delete(exchange);
  }

  /** Whether a request that was read whole has no answer yet: what is written now would take its place. */
  isAnswerDue(socket: Socket): boolean {
    const requests = this.#requests.get(socket);
    if (!requests) return false;
    if (requests.unanswered.size > 0) return true;
    for (const asked of requests.reading) if (asked.complete) return true;
    return false;
  }

  /**
   * Marks the connection as closing after the answer to this request, if that is the last one due; what comes on it later
   * is not run. Otherwise the answers behind it would be lost, and with them runs that were begun.
   */
  closeAfter(socket: Socket, exchange: Exchange): boolean {
    const requests = this.#of(socket);
    let last: Exchange | undefined;
    for (const unanswered of requests.unanswered) last = unanswered;
    if (last !== exchange || requests.reading.size > 0) return false;
    requests.isClosing = true;
    return true;
  }

  /** Lets connections that rest now rest for so long from now on; Node gives each the time that held when its rest began. */
  rest(idleMs: number): void {
    for (const [socket, { reading, unanswered }] of this.#requests) {
      if (reading.size === 0 && unanswered.size === 0) socket.setTimeout(idleMs);
    }
  }

  #of(socket: Socket): OpenRequests<Exchange> {
    const known = this.#requests.get(socket);
    if (known) return known;
    const requests: OpenRequests<Exchange> = {
      reading: new Set(),
      unanswered: new Set(),
      isClosing: false,
    };
    this.#requests.set(socket, requests);
    socket.once('close', () => this.#closed(socket, requests));
    return requests;
  }

  #closed(socket: Socket, requests: OpenRequests<Exchange>): void {
    this.#requests.delete(socket);
    requests.isClosing = true;
    for (const exchange of [...requests.unanswered]) this.#abandon(exchange);
  }
}
