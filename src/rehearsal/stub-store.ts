import type { ServerResponse } from 'node:http';
import { string, type } from 'superstruct';
import { parseAs } from '../common/json.js';
import type { Catalog } from '../placement/shapes.js';
import { pause } from './stub-runner.js';
import { replyJson, StubServer } from './stub-server.js';

const FetchShape = type({ runner: string(), model: string(), adapter: string() });

/** A stub for the weight store: a catalogue, and fetches that take their time, so many at once and no more. */
export class StubStore {
  readonly #catalog: Catalog;
  readonly #msPerSize: number;
  readonly #server: StubServer;
  #running = 0;

  constructor(catalog: Catalog, msPerSize: number, records: string) {
    this.#catalog = catalog;
    this.#msPerSize = msPerSize;
    this.#server = new StubServer(
      (method, path, body, returned) => this.#serve(method, path, body, returned),
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
    method: string,
    path: string,
    body: string,
    returned: ServerResponse,
  ): Promise<void> {
    if (method === 'GET' && path === '/catalog') {
      replyJson(returned, 200, this.#catalog);
      return;
    }
    const asked = parseAs(FetchShape, body);
    if (method !== 'POST' || path !== '/fetches' || !asked) {
      replyJson(returned, 404, { text: 'no such thing here' });
      return;
    }
    const isOver = this.#running >= this.#catalog.limit;
    this.#server.record({ what: 'fetch', ...asked, running: this.#running + 1, over: isOver });
    if (isOver) {
      replyJson(returned, 429, { text: 'too many fetches at once' });
      return;
    }
    this.#running += 1;
    await pause(this.#sizeOf(asked.model, asked.adapter) * this.#msPerSize);
    this.#running -= 1;
    replyJson(returned, 200, { text: 'fetched' });
  }

  #sizeOf(model: string, adapter: string): number {
    for (const item of this.#catalog.adapters)
      if (adapter !== '' && item.name === adapter) return item.size;
    for (const item of this.#catalog.models)
      if (adapter === '' && item.name === model) return item.size;
    return 1;
  }
}
