import { ERROR_RESPONSES, type ErrorCode } from '../common/errors.js';
import { retryAfterSeconds } from '../proxy/in-flight-requests.js';
import type { Scheduler } from './scheduler.js';
import { LineCheck } from './line-check.js';
import type { NodeTrace } from './node-trace.js';
import type { CallerRecord } from './records.js';

/** A request as a caller sends it. */
export interface CallerRequest {
  readonly type: string;
  readonly method: string;
  readonly path: string;
  readonly model: string;
  readonly adapter: string;
  /** Whether it must not run more than once. */
  readonly once: boolean;
  /** Number of lines of the response's body before its last one. */
  readonly tokens: number;
}

/** One caller with its open request at a proxy. */
export interface SimClient {
  readonly id: number;
  readonly requestId: string;
  readonly traffic: CallerRequest;
  readonly sentAt: number;
  /** Checks the lines of the response. */
  readonly check: LineCheck;
  /** The table's number by the response; -1 before any. */
  table: number;
  /** Whether it reads its response; if not, the connection's buffers fill up. */
  isReading: boolean;
}

/** The callers of one proxy; records the results that they see. */
export class SimClients {
  readonly #proxyId: string;
  readonly #scheduler: Scheduler;
  readonly #records: CallerRecord[];
  readonly #trace: NodeTrace;
  readonly #open = new Map<number, SimClient>();
  #count = 0;

  constructor(proxyId: string, scheduler: Scheduler, records: CallerRecord[], trace: NodeTrace) {
    this.#proxyId = proxyId;
    this.#scheduler = scheduler;
    this.#records = records;
    this.#trace = trace;
  }

  /** Number of open requests. */
  get size(): number {
    return this.#open.size;
  }

  /** Opens a request. */
  begin(traffic: CallerRequest): SimClient {
    this.#count += 1;
    const requestId = `${this.#proxyId}/${this.#count}`;
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

  /** Gives the caller's request a new id, for a mutated proxy that runs it again. */
  alias(client: SimClient): SimClient {
    this.#count += 1;
    this.#open.delete(client.id);
    const next = { ...client, id: this.#count };
    this.#open.set(next.id, next);
    return next;
  }

  /** The caller of an open request. */
  get(id: number): SimClient | undefined {
    return this.#open.get(id);
  }

  /** The age of the oldest open request, ms. */
  oldestRequestMs(): number {
    let longest = 0;
    for (const client of this.#open.values())
      longest = Math.max(longest, this.#scheduler.now - client.sentAt);
    return longest;
  }

  /** The response was complete. */
  onComplete(client: SimClient): void {
    client.check.end();
    this.#end(client, {
      status: 200,
      outcome: 'done',
      isWhole: true,
      run: client.check.run,
      fault: client.check.fault,
    });
  }

  /** The proxy closed the connection before the response was complete. */
  onAbort(client: SimClient): void {
    // A caller that stopped reading is disconnected for that reason.
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

  /** The caller disconnected. */
  onDisconnect(client: SimClient): void {
    this.#end(client, { status: 0, outcome: 'left' });
  }

  /** The proxy sent an error response. */
  onErrorResponse(client: SimClient, kind: ErrorCode, retryMs: number, table: number): void {
    const response = ERROR_RESPONSES[kind];
    client.table = kind === 'blind' ? -1 : table;
    this.#end(client, {
      status: response.status,
      outcome: response.isOutcomeUnknown ? 'unsure' : 'turned-away',
      retryAfter: retryAfterSeconds(kind, retryMs),
    });
  }

  #end(
    client: SimClient,
    result: Partial<CallerRecord> & { readonly status: number; readonly outcome: string },
  ): void {
    if (!this.#open.delete(client.id)) return;
    const { type, model, once } = client.traffic;
    const { status, run, isWhole, retryAfter } = result;
    const values = [client.requestId, client.table, status, run, isWhole, retryAfter];
    this.#trace.record('call', values);
    this.#records.push({
      what: 'call',
      id: client.requestId,
      type,
      model: model === '' ? type : model,
      once,
      flow: this.#proxyId,
      sentAt: client.sentAt,
      endedAt: this.#scheduler.now,
      run: '',
      isWhole: false,
      fault: '',
      retryAfter: 0,
      table: client.table,
      ...result,
    });
  }

  /** The proxy's process ended: all connections close. */
  onProxyExit(): void {
    for (const client of [...this.#open.values()]) this.onAbort(client);
  }
}
