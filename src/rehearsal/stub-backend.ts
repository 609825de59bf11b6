import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { pause } from './stub-runner.js';
import { replyJson, StubServer } from './stub-server.js';

/** A stub for a plain back end: kiosk lookups, ranking pages. */
export class StubBackend {
  readonly #id: string;
  readonly #workMs: number;
  readonly #server: StubServer;

  constructor(id: string, workMs: number, records: string) {
    this.#id = id;
    this.#workMs = workMs;
    this.#server = new StubServer(
      (method, path, body, returned, asked) => this.#serve(method, path, body, returned, asked),
      records,
    );
  }

  async listen(address: string): Promise<number> {
    return this.#server.listen(address);
  }

  close(): void {
    this.#server.close();
  }

  async #serve(
    _method: string,
    path: string,
    _body: string,
    returned: ServerResponse,
    asked: IncomingMessage,
  ): Promise<void> {
    const id = String(asked.headers['x-request-id'] ?? '');
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
    replyJson(returned, 200, { id, run, path, runner: this.#id, end: 0 });
    this.#server.record({ what: 'ran', runner: this.#id, id, run, whole: true });
  }
}
