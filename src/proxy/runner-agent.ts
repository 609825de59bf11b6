import { Agent, type ClientRequest, type IncomingMessage } from 'node:http';
import type { Duplex } from 'node:stream';
import { Socket } from 'node:net';

/** What a kept connection's announced idle time is shortened by: the request must arrive before the runner's own timer runs out. */
const IDLE_TIMEOUT_MARGIN_MS = 150;

/**
 * Keeps connections to runners for as long as each said it would. Node's own agent takes a second off whatever was
 * announced, which throws away every connection of a runner that keeps them for one.
 */
export class RunnerAgent extends Agent {
  readonly #idleTimeoutMs = new WeakMap<Duplex, number>();

  constructor() {
    super({ keepAlive: true, scheduling: 'lifo', maxFreeSockets: 64 });
  }

  /** The runner's word on how long it keeps this connection, if it gives one. */
  recordKeepAlive(response: IncomingMessage): void {
    const header = response.headers['keep-alive'];
    const hint = typeof header === 'string' ? /timeout=(\d+)/.exec(header)?.[1] : undefined;
    if (hint !== undefined) this.#idleTimeoutMs.set(response.socket, Number(hint) * 1000);
  }

  /** Whether a connection to that address stands idle. */
  hasIdleConnection(host: string, port: number): boolean {
    return (this.freeSockets[`${host}:${port}:`]?.length ?? 0) > 0;
  }

  /** Closes what is kept to that address. */
  closeIdle(host: string, port: number): void {
    for (const socket of [...(this.freeSockets[`${host}:${port}:`] ?? [])]) socket.destroy();
  }

  override reuseSocket(socket: Duplex, sent: ClientRequest): void {
    socket.off('data', closeOnUnexpectedData);
    super.reuseSocket(socket, sent);
  }

  override keepSocketAlive(socket: Duplex): boolean {
    const idleMs = this.#idleTimeoutMs.get(socket);
    if (!(socket instanceof Socket)) return false;
    socket.setKeepAlive(true, 1000);
    socket.unref();
    // Whatever comes while nothing is asked belongs to no request, and what follows it to none that is asked later.
    socket.on('data', closeOnUnexpectedData);
    if (idleMs === undefined) {
      socket.setTimeout(0);
      return true;
    }
    if (idleMs <= IDLE_TIMEOUT_MARGIN_MS) return false;
    socket.setTimeout(idleMs - IDLE_TIMEOUT_MARGIN_MS);
    return true;
  }
}

function closeOnUnexpectedData(this: Duplex): void {
  this.destroy();
}
