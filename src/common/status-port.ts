import type { BoundedRequest } from './bounded-request.js';
import type { Exposition } from '../metrics/exposition.js';
import { STATUS_PORT_LIMITS } from './intake-limits.js';
import { ReplyServer, type HttpReply } from './reply-server.js';

/** An HTTP port that serves the counters of a process, and its metrics if it has any. */
export class StatusPort {
  readonly #server: ReplyServer;
  readonly #counters: () => object;
  readonly #metrics: (() => Promise<Exposition>) | undefined;

  /** Each request calls `counters` or `metrics`; without `metrics` there is no such endpoint. */
  constructor(counters: () => object, metrics?: () => Promise<Exposition>) {
    this.#counters = counters;
    this.#metrics = metrics;
    this.#server = new ReplyServer({
      handle: (request) => this.#handle(request),
      onFailure: { status: 500, body: '{}' },
      limits: STATUS_PORT_LIMITS,
    });
  }

  /** Opens the port; rejects if it cannot be opened. */
  async listen(address: string): Promise<void> {
    await this.#server.listen(address);
  }

  /** Closes the port and all connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #handle({ request }: BoundedRequest): Promise<HttpReply> {
    const endpoint = `${request.method} ${request.url}`;
    if (endpoint === 'GET /counters')
      return { status: 200, body: JSON.stringify(this.#counters()) };
    if (endpoint === 'GET /metrics' && this.#metrics)
      return { status: 200, ...(await this.#metrics()) };
    const endpoints = this.#metrics ? 'GET /counters and GET /metrics' : 'GET /counters';
    const text = `there is only ${endpoints} here`;
    return { status: 404, body: JSON.stringify({ defect: 'unmapped', text }) };
  }
}
