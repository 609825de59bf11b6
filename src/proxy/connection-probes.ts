import { later, type Moment } from '../common/ids.js';

/** A plain back end, which reports nothing about itself and is therefore probed. */
export interface ProbedBackend {
  readonly id: string;
  readonly address: string;
}

/** What the owner of the connections must do. `generation` numbers the connections that were opened to a back end. */
export type ConnectionProbeStep =
  | {
      readonly do: 'open';
      readonly id: string;
      readonly address: string;
      readonly generation: number;
    }
  | { readonly do: 'close'; readonly id: string };

/** Is notified when a back end goes down, and when it is up again. */
export interface BackendStateListener {
  onBackendDown(now: Moment, id: string): void;
  onBackendUp(now: Moment, id: string): void;
}

interface ProbeConnection {
  readonly address: string;
  generation: number;
  state: 'opening' | 'open' | 'closed';
  since: Moment;
  isDown: boolean;
}

const REOPEN_DELAY_MS = 250;
/** An idle connection stays open when the machine at its other end is gone, so it is reopened at this interval. */
const PROBE_INTERVAL_MS = 1000;
const CONNECT_TIMEOUT_MS = 500;

/**
 * Monitors back ends that report nothing about themselves, by one idle connection to each. When it closes, and every
 * second, a new one is opened. If that succeeds, the back end merely closed an idle connection; if not, the process or
 * its machine is down, and the back end is cold when it comes up again. Does no I/O: the owner of the connections opens
 * and closes them as the steps say.
 */
export class ConnectionProbes {
  readonly #listener: BackendStateListener;
  readonly #connections = new Map<string, ProbeConnection>();
  #steps: ConnectionProbeStep[] = [];

  constructor(listener: BackendStateListener) {
    this.#listener = listener;
  }

  /** Returns the steps to carry out, in order, and clears them. */
  drainSteps(): ConnectionProbeStep[] {
    const steps = this.#steps;
    this.#steps = [];
    return steps;
  }

  /** Sets the back ends to probe: opens connections to new addresses, and closes those to back ends that are gone. */
  setBackends(now: Moment, backends: readonly ProbedBackend[]): void {
    const ids = new Set<string>();
    for (const { id, address } of backends) {
      ids.add(id);
      const connection = this.#connections.get(id);
      if (connection?.address === address) continue;
      if (connection) this.#steps.push({ do: 'close', id });
      const next: ProbeConnection = {
        address,
        generation: connection?.generation ?? 0,
        state: 'closed',
        since: now,
        isDown: false,
      };
      this.#connections.set(id, next);
      this.#open(now, id, next);
    }
    for (const id of this.#connections.keys())
      if (!ids.has(id)) {
        this.#connections.delete(id);
        this.#steps.push({ do: 'close', id });
      }
  }

  /** Periodic tick: reopens connections that are due, and applies the connect timeout. */
  tick(now: Moment): void {
    for (const [id, connection] of this.#connections) {
      if (connection.state === 'closed' && now >= later(connection.since, REOPEN_DELAY_MS))
        this.#open(now, id, connection);
      if (connection.state === 'open' && now >= later(connection.since, PROBE_INTERVAL_MS))
        this.#open(now, id, connection);
      // Neither established nor refused: the machine is unreachable.
      if (connection.state === 'opening' && now >= later(connection.since, CONNECT_TIMEOUT_MS)) {
        this.#markDown(now, id, connection);
        this.#open(now, id, connection);
      }
    }
  }

  #open(now: Moment, id: string, connection: ProbeConnection): void {
    connection.generation += 1;
    connection.state = 'opening';
    connection.since = now;
    this.#steps.push({
      do: 'open',
      id,
      address: connection.address,
      generation: connection.generation,
    });
  }

  /** The connection was established. Ignored unless it is the latest one to the back end. */
  onOpen(now: Moment, id: string, generation: number): void {
    const connection = this.#connections.get(id);
    if (!connection || connection.generation !== generation) return;
    connection.state = 'open';
    connection.since = now;
    if (connection.isDown) this.#listener.onBackendUp(now, id);
    connection.isDown = false;
  }

  /** The connection closed, or could not be established. Ignored unless it is the latest one to the back end. */
  onClose(now: Moment, id: string, generation: number): void {
    const connection = this.#connections.get(id);
    if (!connection || connection.generation !== generation || connection.state === 'closed')
      return;
    const wasOpen = connection.state === 'open';
    connection.state = 'closed';
    connection.since = now;
    if (wasOpen) {
      this.#open(now, id, connection);
      return;
    }
    this.#markDown(now, id, connection);
  }

  #markDown(now: Moment, id: string, connection: ProbeConnection): void {
    if (!connection.isDown) this.#listener.onBackendDown(now, id);
    connection.isDown = true;
  }
}
