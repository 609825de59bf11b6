import type { ServerResponse } from 'node:http';
import { string, type } from 'superstruct';
import { parseAs } from '../common/json.js';
import type { Catalog } from '../placement/shapes.js';
import { pause } from './stub-runner.js';
import { replyJson, StubServer } from './stub-server.js';

const FetchShape = type({ runner: string(), model: string(), adapter: string() });

/** A stub of the weight store: a catalog, and fetches that take a time by size and whose concurrency is limited. */
export class StubStore {
  readonly #catalog: Catalog;
  readonly #msPerSize: number;
  readonly #server: StubServer;
  #runningCount = 0;

  constructor(catalog: Catalog, msPerSize: number, records: string) {
    this.#catalog = catalog;
    this.#msPerSize = msPerSize;
    this.#server = new StubServer(
      (method, path, body, response) => this.#serve(method, path, body, response),
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
    method: string,
    path: string,
    body: string,
    response: ServerResponse,
  ): Promise<void> {
    if (method === 'GET' && path === '/catalog') {
      replyJson(response, 200, this.#catalog);
      return;
    }
    const asked = parseAs(FetchShape, body);
    if (method !== 'POST' || path !== '/fetches' || !asked) {
      replyJson(response, 404, { text: 'no such thing here' });
      return;
    }
    const isOverLimit = this.#runningCount >= this.#catalog.limit;
    this.#server.record({
      what: 'fetch',
      ...asked,
      running: this.#runningCount + 1,
      over: isOverLimit,
    });
    if (isOverLimit) {
      replyJson(response, 429, { text: 'too many fetches at once' });
      return;
    }
    this.#runningCount += 1;
    await pause(this.#sizeOf(asked.model, asked.adapter) * this.#msPerSize);
    this.#runningCount -= 1;
    replyJson(response, 200, { text: 'fetched' });
  }

  #sizeOf(model: string, adapter: string): number {
    for (const item of this.#catalog.adapters)
      if (adapter !== '' && item.name === adapter) return item.size;
    for (const item of this.#catalog.models)
      if (adapter === '' && item.name === model) return item.size;
    return 1;
  }
}
