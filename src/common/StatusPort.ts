import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { listenOn } from './Listen.js';

/** A small HTTP port that shows a process's counters. */
export class StatusPort {
  readonly #server: Server;
  readonly #counters: () => object;

  constructor(counters: () => object) {
    this.#counters = counters;
    this.#server = createServer(this.#take.bind(this));
  }

  async listen(address: string): Promise<void> {
    await listenOn(this.#server, address);
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #take(asked: IncomingMessage, returned: ServerResponse): void {
    const isKnown = asked.method === 'GET' && asked.url === '/counters';
    const body = JSON.stringify(
      isKnown ? this.#counters() : { defect: 'unmapped', text: 'there is only GET /counters here' },
    );
    returned.writeHead(isKnown ? 200 : 404, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
    });
    returned.end(body);
  }
}
