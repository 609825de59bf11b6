import { later, type Moment } from '../common/ids.js';

export interface ProbedBackend {
  readonly id: string;
  readonly address: string;
}

export type ConnectionProbeStep =
  | { readonly do: 'open'; readonly id: string; readonly address: string; readonly count: number }
  | { readonly do: 'close'; readonly id: string };

/** Whom a watch tells that a back end fell, or rose anew. */
export interface Prober {
  onBackendDown(now: Moment, id: string): void;
  onBackendUp(now: Moment, id: string): void;
}

interface ProbeConnection {
  readonly address: string;
  count: number;
  state: 'opening' | 'open' | 'closed';
  since: Moment;
  isDown: boolean;
}

const REOPEN_DELAY_MS = 250;
/** A line that stands says nothing of a machine that is gone: it is opened anew so often. */
const PROBE_INTERVAL_MS = 1000;
const CONNECT_TIMEOUT_MS = 500;

/**
 * Back ends that tell nothing of themselves are watched by one idle connection each: when it closes, and every
 * second, it is opened again. If that succeeds, it was only let go for being idle; if not, the process or its
 * machine is away, and what rises then is cold. Pure: whoever has the connections opens and closes them as told.
 */
export class ConnectionProbes {
  readonly #prober: Prober;
  readonly #connections = new Map<string, ProbeConnection>();
  #steps: ConnectionProbeStep[] = [];

  constructor(prober: Prober) {
    this.#prober = prober;
  }

  drainSteps(): ConnectionProbeStep[] {
    const steps = this.#steps;
    this.#steps = [];
    return steps;
  }

  setBackends(now: Moment, list: readonly ProbedBackend[]): void {
    const ids = new Set<string>();
    for (const { id, address } of list) {
      ids.add(id);
      const connection = this.#connections.get(id);
      if (connection?.address === address) continue;
      if (connection) this.#steps.push({ do: 'close', id });
      const next: ProbeConnection = {
        address,
        count: connection?.count ?? 0,
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

  tick(now: Moment): void {
    for (const [id, connection] of this.#connections) {
      if (connection.state === 'closed' && now >= later(connection.since, REOPEN_DELAY_MS))
        this.#open(now, id, connection);
      if (connection.state === 'open' && now >= later(connection.since, PROBE_INTERVAL_MS))
        this.#open(now, id, connection);
      // Neither opened nor turned down: its machine is out of reach.
      if (connection.state === 'opening' && now >= later(connection.since, CONNECT_TIMEOUT_MS)) {
        this.#markDown(now, id, connection);
        this.#open(now, id, connection);
      }
    }
  }

  #open(now: Moment, id: string, connection: ProbeConnection): void {
    connection.count += 1;
    connection.state = 'opening';
    connection.since = now;
    this.#steps.push({ do: 'open', id, address: connection.address, count: connection.count });
  }

  onOpen(now: Moment, id: string, count: number): void {
    const connection = this.#connections.get(id);
    if (!connection || connection.count !== count) return;
    connection.state = 'open';
    connection.since = now;
    if (connection.isDown) this.#prober.onBackendUp(now, id);
    connection.isDown = false;
  }

  onClose(now: Moment, id: string, count: number): void {
    const connection = this.#connections.get(id);
    if (!connection || connection.count !== count || connection.state === 'closed') return;
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
    if (!connection.isDown) this.#prober.onBackendDown(now, id);
    connection.isDown = true;
  }
}
