import type { IncomingMessage } from 'node:http';
import { readBody } from '../common/call.js';
import { ReplyServer, type HttpReply } from '../common/reply-server.js';
import type { Exposition } from '../metrics/exposition.js';

/** What the API hands on: a verb of the core and its JSON body. */
export type ApiRequest = (verb: string, body: string) => Promise<HttpReply>;

/** In bytes. */
const MAX_BODY_BYTES = 32 * 1024 * 1024;
const RETRY_AFTER_S = 2;
const MALFORMED: HttpReply = {
  status: 400,
  body: JSON.stringify({
    outcome: 'turned-away',
    defect: 'malformed',
    text: 'the body is not JSON, or too large',
  }),
};

function withField(body: string, fields: object): string {
  const raw: unknown = body === '' ? {} : JSON.parse(body);
  return JSON.stringify(typeof raw === 'object' && raw !== null ? { ...raw, ...fields } : fields);
}

/** The operators' HTTP API of a control node; any node takes any command and passes it to the leader. */
export class OperatorApi {
  readonly #request: ApiRequest;
  readonly #counters: () => object;
  readonly #metrics: () => Promise<Exposition | undefined>;
  readonly #server: ReplyServer;

  constructor(
    ask: ApiRequest,
    counters: () => object,
    metrics: () => Promise<Exposition | undefined>,
  ) {
    this.#request = ask;
    this.#counters = counters;
    this.#metrics = metrics;
    this.#server = new ReplyServer({
      serve: (asked) => this.#onRequest(asked),
      onFailure: MALFORMED,
      retryAfterS: RETRY_AFTER_S,
    });
  }

  async listen(address: string): Promise<number> {
    return this.#server.listen(address);
  }

  close(): void {
    this.#server.close();
  }

  async #onRequest(asked: IncomingMessage): Promise<HttpReply> {
    const body = await readBody(asked, MAX_BODY_BYTES);
    return this.#serve(asked.method ?? 'GET', asked.url ?? '/', body);
  }

  async #serve(method: string, url: string, body: string): Promise<HttpReply> {
    const [path = '/', query = ''] = url.split('?');
    const zone = /^\/zones\/([^/]+)\/empty$/.exec(path);
    const edit = /^\/edits\/([^/]+)$/.exec(path);
    if (zone && method === 'PUT')
      return this.#request(
        'zone',
        withField(body, { zone: decodeURIComponent(zone[1] ?? ''), empty: true }),
      );
    if (zone && method === 'DELETE')
      return this.#request(
        'zone',
        withField(body, { zone: decodeURIComponent(zone[1] ?? ''), empty: false }),
      );
    if (edit && method === 'GET') {
      const base = new URLSearchParams(query).get('base');
      return this.#request(
        'edit',
        JSON.stringify({
          id: decodeURIComponent(edit[1] ?? ''),
          ...(base === null ? {} : { base: Number(base) }),
        }),
      );
    }
    switch (`${method} ${path}`) {
      case 'GET /status':
        return this.#request('status', '{}');
      case 'GET /fleet':
        return this.#request('fleet', '{}');
      case 'GET /live':
        return this.#request('live', '{}');
      case 'GET /table':
        return this.#request('read', '{}');
      case 'PUT /table':
        return this.#request('table', withField(body, {}));
      case 'PATCH /table/cell':
        return this.#request('cell', withField(body, {}));
      case 'PATCH /table/rows':
        return this.#request('rows', withField(body, {}));
      case 'POST /voters/swap':
        return this.#request('swap', withField(body, {}));
      case 'POST /found':
        return this.#request('found', '{}');
      case 'GET /counters':
        return { status: 200, body: JSON.stringify(this.#counters()) };
      case 'GET /metrics':
        return this.#exposition();
      default:
        return {
          status: 404,
          body: JSON.stringify({
            outcome: 'turned-away',
            defect: 'unmapped',
            text: `no ${method} ${path} here`,
          }),
        };
    }
  }

  async #exposition(): Promise<HttpReply> {
    const exposition = await this.#metrics();
    if (exposition) return { status: 200, ...exposition };
    const text = 'this node has not started yet';
    return {
      status: 503,
      body: JSON.stringify({ outcome: 'turned-away', defect: 'no-leader', text }),
    };
  }
}
