import { ERROR_RESPONSES, type ErrorCode } from '../common/errors.js';
import { retryAfterSeconds } from '../proxy/in-flight-requests.js';
import type { Scheduler } from './scheduler.js';
import { LineCheck } from './line-check.js';
import type { NodeTrace } from './node-trace.js';
import type { CallerRecord } from './records.js';

export interface Traffic {
  readonly type: string;
  readonly method: string;
  readonly path: string;
  readonly model: string;
  readonly adapter: string;
  readonly once: boolean;
  readonly tokens: number;
}

/** One caller with its request at a proxy: notes what it sees, as a caller outside would. */
export interface SimClient {
  readonly id: number;
  readonly requestId: string;
  readonly traffic: Traffic;
  readonly sentAt: number;
  readonly check: LineCheck;
  table: number;
  /** It reads on; else nothing moves at its end of the line. */
  isReading: boolean;
}

/** The callers of one proxy. What they saw goes to the judge. */
export class SimClients {
  readonly #flow: string;
  readonly #scheduler: Scheduler;
  readonly #records: CallerRecord[];
  readonly #trace: NodeTrace;
  readonly #open = new Map<number, SimClient>();
  #count = 0;

  constructor(flow: string, scheduler: Scheduler, records: CallerRecord[], trace: NodeTrace) {
    this.#flow = flow;
    this.#scheduler = scheduler;
    this.#records = records;
    this.#trace = trace;
  }

  get size(): number {
    return this.#open.size;
  }

  begin(traffic: Traffic): SimClient {
    this.#count += 1;
    const requestId = `${this.#flow}/${this.#count}`;
    const client: SimClient = {
      id: this.#count,
      requestId,
      traffic,
      sentAt: this.#scheduler.now,
      check: new LineCheck(requestId),
      table: -1,
      isReading: true,
    };
    this.#open.set(client.id, client);
    return client;
  }

  /** The same caller under another number, as a wrong proxy would run it anew. */
  alias(client: SimClient): SimClient {
    this.#count += 1;
    this.#open.delete(client.id);
    const next = { ...client, id: this.#count };
    this.#open.set(next.id, next);
    return next;
  }

  get(id: number): SimClient | undefined {
    return this.#open.get(id);
  }

  /** The longest that anybody is waiting by now. */
  longestMs(): number {
    let longest = 0;
    for (const client of this.#open.values())
      longest = Math.max(longest, this.#scheduler.now - client.sentAt);
    return longest;
  }

  finished(client: SimClient): void {
    client.check.end();
    this.#end(client, {
      status: 200,
      outcome: 'done',
      isWhole: true,
      run: client.check.run,
      fault: client.check.fault,
    });
  }

  broken(client: SimClient): void {
    // Who reads no further is broken off for that.
    if (!client.isReading) {
      this.#end(client, { status: 0, outcome: 'stalled' });
      return;
    }
    this.#end(client, {
      status: client.table >= 0 ? 200 : 0,
      outcome: client.table >= 0 ? 'broken' : 'unreached',
      run: client.check.run,
    });
  }

  left(client: SimClient): void {
    this.#end(client, { status: 0, outcome: 'left' });
  }

  told(client: SimClient, kind: ErrorCode, retryMs: number, table: number): void {
    const row = ERROR_RESPONSES[kind];
    client.table = kind === 'blind' ? -1 : table;
    this.#end(client, {
      status: row.status,
      outcome: row.isOutcomeUnknown ? 'unsure' : 'turned-away',
      retryAfter: retryAfterSeconds(kind, retryMs),
    });
  }

  #end(
    client: SimClient,
    part: Partial<CallerRecord> & { readonly status: number; readonly outcome: string },
  ): void {
    if (!this.#open.delete(client.id)) return;
    const { type, model, once } = client.traffic;
    const { status, run, isWhole, retryAfter } = part;
    const values = [client.requestId, client.table, status, run, isWhole, retryAfter];
    this.#trace.record('call', values);
    this.#records.push({
      what: 'call',
      id: client.requestId,
      type,
      model: model === '' ? type : model,
      once,
      flow: this.#flow,
      sentAt: client.sentAt,
      endedAt: this.#scheduler.now,
      run: '',
      isWhole: false,
      fault: '',
      retryAfter: 0,
      table: client.table,
      ...part,
    });
  }

  /** The proxy's process ended: all its connections close. */
  lost(): void {
    for (const client of [...this.#open.values()]) this.broken(client);
  }
}
