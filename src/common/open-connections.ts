/** The connections of clients to a server, with the requests in progress on each. */
import type { Socket } from 'node:net';
import type { BoundedRequest } from './bounded-request.js';

/** Bounds the requests in progress on each connection, and ends them when their connection has closed. */
export class OpenConnections {
  readonly #requestsPerConnection: number;
  readonly #requests = new Map<Socket, Set<BoundedRequest>>();

  constructor(requestsPerConnection: number) {
    this.#requestsPerConnection = requestsPerConnection;
  }

  /** A client has connected. */
  onConnect(socket: Socket): void {
    this.#requests.set(socket, new Set());
    socket.once('close', () => this.#onClose(socket));
  }

  /**
   * The head of a request has arrived. Returns false, and adds nothing, if as many requests of its connection are in
   * progress as are allowed.
   */
  add(request: BoundedRequest): boolean {
    const requests = this.#requests.get(request.socket);
    if (!requests || requests.size >= this.#requestsPerConnection) return false;
    requests.add(request);
    return true;
  }

  /** The response to a request has ended. */
  remove(request: BoundedRequest): void {
    this.#requests.get(request.socket)?.delete(request);
  }

  /** Node emits `close` only on the response that is due next: those behind it end here. */
  #onClose(socket: Socket): void {
    const requests = this.#requests.get(socket) ?? [];
    this.#requests.delete(socket);
    for (const request of requests) request.release();
  }
}
