import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Exposition } from '../metrics/exposition.js';
import { bindServer } from './listen.js';

const JSON_TYPE = 'application/json';

/** A small HTTP port that shows a process's counters, and its metrics where it has some. */
export class StatusPort {
  readonly #server: Server;
  readonly #counters: () => object;
  readonly #metrics: (() => Promise<Exposition>) | undefined;

  constructor(counters: () => object, metrics?: () => Promise<Exposition>) {
    this.#counters = counters;
    this.#metrics = metrics;
    this.#server = createServer((asked, returned) => this.#take(asked, returned));
  }

  async listen(address: string): Promise<void> {
    await bindServer(this.#server, address);
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #take(asked: IncomingMessage, returned: ServerResponse): Promise<void> {
    const call = `${asked.method} ${asked.url}`;
    if (call === 'GET /counters') {
      send(returned, 200, { contentType: JSON_TYPE, body: JSON.stringify(this.#counters()) });
    } else if (call === 'GET /metrics' && this.#metrics) {
      send(returned, 200, await this.#metrics());
    } else {
      const known = this.#metrics ? 'GET /counters and GET /metrics' : 'GET /counters';
      const body = JSON.stringify({ defect: 'unmapped', text: `there is only ${known} here` });
      send(returned, 404, { contentType: JSON_TYPE, body });
    }
  }
}

function send(returned: ServerResponse, status: number, { contentType, body }: Exposition): void {
  returned.writeHead(status, {
    'content-type': contentType,
    'content-length': Buffer.byteLength(body),
  });
  returned.end(body);
}
