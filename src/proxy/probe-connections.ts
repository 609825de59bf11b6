import { connect, type Socket } from 'node:net';
import type { Moment } from '../common/ids.js';
import { parseAddress } from '../common/listen.js';
import type { ConnectionProbes, ConnectionProbeStep } from './connection-probes.js';

/** Opens and closes the idle connections to plain back ends as the probes ask, and reports their events to the probes. */
export class ProbeConnections {
  readonly #probes: ConnectionProbes;
  readonly #now: () => Moment;
  /** Called after a connection was established. */
  readonly #onOpened: () => void;
  /** Called after a connection closed. */
  readonly #onClosed: () => void;
  readonly #sockets = new Map<string, Socket>();
  #isDraining = false;

  constructor(
    probes: ConnectionProbes,
    now: () => Moment,
    onOpened: () => void,
    onClosed: () => void,
  ) {
    this.#probes = probes;
    this.#now = now;
    this.#onOpened = onOpened;
    this.#onClosed = onClosed;
  }

  /** Opens or closes a connection as the probes ask. */
  runStep(step: ConnectionProbeStep): void {
    this.#sockets.get(step.id)?.destroy();
    this.#sockets.delete(step.id);
    if (step.do === 'close' || this.#isDraining) return;
    const socket = connect({ ...parseAddress(step.address) });
    this.#sockets.set(step.id, socket);
    socket.once('connect', () => this.#handleOpen(step.id, step.generation));
    socket.once('close', () => this.#handleClose(step.id, step.generation));
    socket.on('error', ignore);
    // Data, such as an error response about an idle timeout, is discarded; only the end of the connection matters.
    socket.resume();
    socket.unref();
  }

  /** From now on no connection is opened. */
  startDraining(): void {
    this.#isDraining = true;
  }

  /** Closes all connections. */
  destroy(): void {
    for (const socket of this.#sockets.values()) socket.destroy();
  }

  #handleOpen(id: string, generation: number): void {
    this.#probes.onOpen(this.#now(), id, generation);
    this.#onOpened();
  }

  #handleClose(id: string, generation: number): void {
    this.#probes.onClose(this.#now(), id, generation);
    this.#onClosed();
  }
}

function ignore(): void {
  /* the `close` event that follows is handled */
}
