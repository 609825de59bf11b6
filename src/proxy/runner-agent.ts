import { Agent, type ClientRequest, type IncomingMessage } from 'node:http';
import type { Duplex } from 'node:stream';
import { Socket } from 'node:net';

/** Subtracted from the idle timeout that a runner announces: a request must arrive before the runner's own timer expires. */
const IDLE_TIMEOUT_MARGIN_MS = 150;

/**
 * Keeps idle connections to runners open for as long as each runner announced. Node's own agent subtracts a second from
 * the announced time, and so discards every connection of a runner that keeps them for one second.
 */
export class RunnerAgent extends Agent {
  readonly #idleTimeoutMs = new WeakMap<Duplex, number>();

  constructor() {
    super({ keepAlive: true, scheduling: 'lifo', maxFreeSockets: 64 });
  }

  /** Records how long the runner keeps this connection open when idle, from its `Keep-Alive` header if there is one. */
  recordKeepAlive(response: IncomingMessage): void {
    const header = response.headers['keep-alive'];
    const hint = typeof header === 'string' ? /timeout=(\d+)/.exec(header)?.[1] : undefined;
    if (hint !== undefined) this.#idleTimeoutMs.set(response.socket, Number(hint) * 1000);
  }

  /** Whether there is an idle connection to the address. */
  hasIdleConnection(host: string, port: number): boolean {
    return (this.freeSockets[`${host}:${port}:`]?.length ?? 0) > 0;
  }

  /** Closes the idle connections to the address. */
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
    // Data on an idle connection belongs to no request, and what follows it to none that is sent later.
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
