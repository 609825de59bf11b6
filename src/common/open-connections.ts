/** The connections of clients to a server, with the requests in progress on each. */
import type { Socket } from 'node:net';
import type { BoundedRequest } from './bounded-request.js';
import type { Counters } from './counters.js';
import type { IntakeLimits } from './intake-limits.js';
import type { MemoryAccount } from './memory-account.js';
import { UnreadResponses } from './unread-responses.js';

/** Bounds the connections and the requests in progress on each, and ends requests whose connection has closed. */
export class OpenConnections {
  readonly #limits: IntakeLimits;
  readonly #account: MemoryAccount;
  readonly #counters: Counters;
  readonly #requests = new Map<Socket, Set<BoundedRequest>>();
  /** Connections without a request in progress, the one that has been idle for the longest first. */
  readonly #idle = new Set<Socket>();
  readonly #unread = new UnreadResponses();

  constructor(limits: IntakeLimits, account: MemoryAccount, counters: Counters) {
    this.#limits = limits;
    this.#account = account;
    this.#counters = counters;
  }

  /** The number of open connections. */
  get size(): number {
    return this.#requests.size;
  }

  /** A client has connected: beyond the limit another connection is closed for it, or else its own. */
  onConnect(socket: Socket): void {
    if (this.size >= this.#limits.connections && !this.#closeOne()) {
      this.#counters.add('intake.connections-refused');
      socket.destroy();
      return;
    }
    this.#requests.set(socket, new Set());
    this.#idle.add(socket);
    socket.once('close', () => this.#forget(socket));
  }

  /**
   * The head of a request has arrived. Returns false, and adds nothing, if as many requests of its connection are in
   * progress as are allowed.
   */
  add(request: BoundedRequest): boolean {
    const { socket } = request;
    const requests = this.#requests.get(socket);
    if (!requests || requests.size >= this.#limits.requestsPerConnection) return false;
    this.#idle.delete(socket);
    requests.add(request);
    return true;
  }

  /** The response to a request has ended. */
  remove(request: BoundedRequest): void {
    const { socket } = request;
    const requests = this.#requests.get(socket);
    if (!requests?.delete(request) || requests.size > 0) return;
    this.#idle.add(socket);
  }

  /** An interval has passed: closes connections whose client has read nothing for more than `maxRest` of them. */
  advance(maxRest: number): void {
    for (const socket of this.#requests.keys()) {
      if (this.#unread.advance(socket) <= maxRest) continue;
      this.#counters.add('intake.unread');
      socket.destroy();
    }
  }

  /**
   * Closes the connection that has been idle for the longest, or else that of the body without progress for the longest.
   * Returns false if there is neither: all others wait for their responses.
   */
  #closeOne(): boolean {
    const [idle] = this.#idle;
    if (idle) {
      idle.destroy();
      this.#forget(idle);
    } else if (!this.#account.revokeOldest('connection')) return false;
    this.#counters.add('intake.connections-closed');
    return true;
  }

  /** Node emits `close` on the response that is due next at most: the requests behind it end here. */
  #forget(socket: Socket): void {
    const requests = this.#requests.get(socket) ?? [];
    this.#requests.delete(socket);
    this.#idle.delete(socket);
    for (const request of requests) request.onConnectionClosed();
  }
}
