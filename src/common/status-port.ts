import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Exposition } from '../metrics/exposition.js';
import { bindServer } from './listen.js';

const JSON_TYPE = 'application/json';

/** An HTTP port that serves the counters of a process, and its metrics if it has any. */
export class StatusPort {
  readonly #server: Server;
  readonly #counters: () => object;
  readonly #metrics: (() => Promise<Exposition>) | undefined;

  /** Each request calls `counters` or `metrics`; without `metrics` there is no such endpoint. */
  constructor(counters: () => object, metrics?: () => Promise<Exposition>) {
    this.#counters = counters;
    this.#metrics = metrics;
    this.#server = createServer((request, response) => this.#handle(request, response));
  }

  /** Opens the port; rejects if it cannot be opened. */
  async listen(address: string): Promise<void> {
    await bindServer(this.#server, address);
  }

  /** Closes the port and all connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const endpoint = `${request.method} ${request.url}`;
    if (endpoint === 'GET /counters') {
      send(response, 200, { contentType: JSON_TYPE, body: JSON.stringify(this.#counters()) });
    } else if (endpoint === 'GET /metrics' && this.#metrics) {
      send(response, 200, await this.#metrics());
    } else {
      const endpoints = this.#metrics ? 'GET /counters and GET /metrics' : 'GET /counters';
      const body = JSON.stringify({
        defect: 'unmapped',
        text: `there is only ${endpoints} here`,
      });
      send(response, 404, { contentType: JSON_TYPE, body });
    }
  }
}

function send(response: ServerResponse, status: number, { contentType, body }: Exposition): void {
  response.writeHead(status, {
    'content-type': contentType,
    'content-length': Buffer.byteLength(body),
  });
  response.end(body);
}
