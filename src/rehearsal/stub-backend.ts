import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { pause } from './stub-runner.js';
import { replyJson, StubServer } from './stub-server.js';

/** A stub of a plain back end, such as kiosk lookups or ranking pages: responds after a fixed time and records requests. */
export class StubBackend {
  readonly #id: string;
  readonly #workMs: number;
  readonly #server: StubServer;

  constructor(id: string, workMs: number, records: string) {
    this.#id = id;
    this.#workMs = workMs;
    this.#server = new StubServer(
      (method, path, body, response, request) => this.#serve(method, path, body, response, request),
      records,
    );
  }

  /** Starts to listen; resolves with the port. */
  async listen(address: string): Promise<number> {
    return this.#server.listen(address);
  }

  /** Closes the server and its connections. */
  close(): void {
    this.#server.close();
  }

  async #serve(
    _method: string,
    path: string,
    _body: string,
    response: ServerResponse,
    request: IncomingMessage,
  ): Promise<void> {
    const id = String(request.headers['x-request-id'] ?? '');
    const run = randomUUID();
    this.#server.record({
      what: 'run',
      runner: this.#id,
      id,
      run,
      model: '',
      adapter: '',
      parts: 0,
      kept: 0,
      upMs: 0,
      concurrent: 0,
    });
    await pause(this.#workMs);
    replyJson(response, 200, { id, run, path, runner: this.#id, end: 0 });
    this.#server.record({ what: 'ran', runner: this.#id, id, run, whole: true });
  }
}
