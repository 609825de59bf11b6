import { connect, type Socket } from 'node:net';
import type { Moment } from '../common/ids.js';
import { parseAddress } from '../common/listen.js';
import type { ConnectionProbes, ConnectionProbeStep } from './connection-probes.js';

/** Holds the idle connections to plain back ends that the probes ask for, and tells them how each fares. */
export class ProbeConnections {
  readonly #probes: ConnectionProbes;
  readonly #now: () => Moment;
  /** Called after a connection stood, and after one closed. */
  readonly #onOpened: () => void;
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
    socket.once('connect', () => this.#handleOpen(step.id, step.count));
    socket.once('close', () => this.#handleClose(step.id, step.count));
    socket.on('error', ignore);
    // Whatever it says, as on being idle for too long, is of no matter; its end is.
    socket.resume();
    socket.unref();
  }

  /** Opens none any more. */
  startDraining(): void {
    this.#isDraining = true;
  }

  /** Closes all. */
  destroy(): void {
    for (const socket of this.#sockets.values()) socket.destroy();
  }

  #handleOpen(id: string, count: number): void {
    this.#probes.onOpen(this.#now(), id, count);
    this.#onOpened();
  }

  #handleClose(id: string, count: number): void {
    this.#probes.onClose(this.#now(), id, count);
    this.#onClosed();
  }
}

function ignore(): void {
  /* its close follows */
}
