import { later, type Moment } from '../common/ids.js';

export interface Watched {
  readonly id: string;
  readonly address: string;
}

export type ConnectionProbeStep =
  | { readonly do: 'open'; readonly id: string; readonly address: string; readonly count: number }
  | { readonly do: 'close'; readonly id: string };

/** Whom a watch tells that a back end fell, or rose anew. */
export interface Watcher {
  fallen(now: Moment, id: string): void;
  risen(now: Moment, id: string): void;
}

interface Line {
  readonly address: string;
  count: number;
  state: 'opening' | 'open' | 'closed';
  since: Moment;
  hasFallen: boolean;
}

const AGAIN_MS = 250;
/** A line that stands says nothing of a machine that is gone: it is opened anew so often. */
const RENEW_MS = 1000;
const OPENING_MS = 500;

/**
 * Back ends that tell nothing of themselves are watched by one idle connection each: when it closes, and every
 * second, it is opened again. If that succeeds, it was only let go for being idle; if not, the process or its
 * machine is away, and what rises then is cold. Pure: whoever has the connections opens and closes them as told.
 */
export class ConnectionProbes {
  readonly #watcher: Watcher;
  readonly #lines = new Map<string, Line>();
  #steps: ConnectionProbeStep[] = [];

  constructor(watcher: Watcher) {
    this.#watcher = watcher;
  }

  drain(): ConnectionProbeStep[] {
    const steps = this.#steps;
    this.#steps = [];
    return steps;
  }

  follow(now: Moment, list: readonly Watched[]): void {
    const ids = new Set<string>();
    for (const { id, address } of list) {
      ids.add(id);
      const line = this.#lines.get(id);
      if (line?.address === address) continue;
      if (line) this.#steps.push({ do: 'close', id });
      const next: Line = {
        address,
        count: line?.count ?? 0,
        state: 'closed',
        since: now,
        hasFallen: false,
      };
      this.#lines.set(id, next);
      this.#open(now, id, next);
    }
    for (const id of this.#lines.keys())
      if (!ids.has(id)) {
        this.#lines.delete(id);
        this.#steps.push({ do: 'close', id });
      }
  }

  tick(now: Moment): void {
    for (const [id, line] of this.#lines) {
      if (line.state === 'closed' && now >= later(line.since, AGAIN_MS)) this.#open(now, id, line);
      if (line.state === 'open' && now >= later(line.since, RENEW_MS)) this.#open(now, id, line);
      // Neither opened nor turned down: its machine is out of reach.
      if (line.state === 'opening' && now >= later(line.since, OPENING_MS)) {
        this.#fall(now, id, line);
        this.#open(now, id, line);
      }
    }
  }

  #open(now: Moment, id: string, line: Line): void {
    line.count += 1;
    line.state = 'opening';
    line.since = now;
    this.#steps.push({ do: 'open', id, address: line.address, count: line.count });
  }

  opened(now: Moment, id: string, count: number): void {
    const line = this.#lines.get(id);
    if (!line || line.count !== count) return;
    line.state = 'open';
    line.since = now;
    if (line.hasFallen) this.#watcher.risen(now, id);
    line.hasFallen = false;
  }

  closed(now: Moment, id: string, count: number): void {
    const line = this.#lines.get(id);
    if (!line || line.count !== count || line.state === 'closed') return;
    const wasOpen = line.state === 'open';
    line.state = 'closed';
    line.since = now;
    if (wasOpen) {
      this.#open(now, id, line);
      return;
    }
    this.#fall(now, id, line);
  }

  #fall(now: Moment, id: string, line: Line): void {
    if (!line.hasFallen) this.#watcher.fallen(now, id);
    line.hasFallen = true;
  }
}
