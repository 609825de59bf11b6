import { appendFileSync } from 'node:fs';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { readBody } from '../common/call.js';
import { bindServer } from '../common/listen.js';

/** Handles one request of a stub. */
export type StubHandler = (
  method: string,
  path: string,
  body: string,
  response: ServerResponse,
  request: IncomingMessage,
) => Promise<void> | void;

/** Sends a JSON response. */
export function replyJson(
  response: ServerResponse,
  status: number,
  value: unknown,
  headers: Record<string, string> = {},
): void {
  const body = JSON.stringify(value);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    ...headers,
  });
  response.end(body);
}

/** The HTTP server of a stub, and its file of records, which is written at once and so survives a kill. */
export class StubServer {
  readonly #server: Server;
  readonly #records: string;
  readonly #continuedAt = new WeakMap<IncomingMessage, number>();

  constructor(handler: StubHandler, records: string) {
    this.#records = records;
    async function handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
      try {
        await handler(
          request.method ?? 'GET',
          request.url ?? '/',
          await readBody(request),
          response,
          request,
        );
      } catch {
        response.destroy();
      }
    }
    this.#server = createServer(handle);
    const continuedAt = this.#continuedAt;
    this.#server.on('checkContinue', (request: IncomingMessage, response: ServerResponse) => {
      continuedAt.set(request, performance.now());
      response.writeContinue();
      void handle(request, response);
    });
    this.#server.keepAliveTimeout = 5000;
  }

  /** Returns the time since `100 Continue` was sent for a request, by the monotonic clock, ms; 0 if it was not sent. */
  msSinceContinue(request: IncomingMessage): number {
    return performance.now() - (this.#continuedAt.get(request) ?? performance.now());
  }

  /** Appends a record with the wall-clock time, ms, which is comparable as all of a rehearsal runs on one machine. */
  record(value: Readonly<Record<string, unknown>>): void {
    if (this.#records !== '')
      appendFileSync(this.#records, `${JSON.stringify({ at: Date.now(), ...value })}\n`);
  }

  /** Starts to listen; resolves with the port. */
  async listen(address: string): Promise<number> {
    return bindServer(this.#server, address);
  }

  /** Closes the server and its connections. */
  close(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }
}
