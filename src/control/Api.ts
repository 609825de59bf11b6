import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { readBody } from '../common/Call.js';
import { listenOn } from '../common/Listen.js';
import type { Exposition } from '../metrics/Exposition.js';

export interface ApiReply {
  readonly status: number;
  readonly body: string;
  /** JSON where it says nothing else. */
  readonly contentType?: string;
}

/** What the API hands on: a verb of the core and its JSON body. */
export type Ask = (verb: string, body: string) => Promise<ApiReply>;

const JSON_TYPE = 'application/json';
const MAX_EDIT = 32 * 1024 * 1024;

function withField(body: string, fields: object): string {
  const raw: unknown = body === '' ? {} : JSON.parse(body);
  return JSON.stringify(typeof raw === 'object' && raw !== null ? { ...raw, ...fields } : fields);
}

/** The operators' HTTP API of a control node; any node takes any command and passes it to the leader. */
export class Api {
  readonly #ask: Ask;
  readonly #counters: () => object;
  readonly #metrics: () => Promise<Exposition | undefined>;
  readonly #server: Server;

  constructor(ask: Ask, counters: () => object, metrics: () => Promise<Exposition | undefined>) {
    this.#ask = ask;
    this.#counters = counters;
    this.#metrics = metrics;
    this.#server = createServer(this.#take.bind(this));
  }

  async listen(address: string): Promise<number> {
    return listenOn(this.#server, address);
  }

  close(): void {
    this.#server.close();
    this.#server.closeIdleConnections();
  }

  async #take(asked: IncomingMessage, returned: ServerResponse): Promise<void> {
    let result: ApiReply;
    try {
      result = await this.#serve(
        asked.method ?? 'GET',
        asked.url ?? '/',
        await readBody(asked, MAX_EDIT),
      );
    } catch {
      result = {
        status: 400,
        body: JSON.stringify({
          outcome: 'turned-away',
          defect: 'malformed',
          text: 'the body is not JSON, or too large',
        }),
      };
    }
    const headers: Record<string, string | number> = {
      'content-type': result.contentType ?? JSON_TYPE,
      'content-length': Buffer.byteLength(result.body),
    };
    if (result.status === 503) headers['retry-after'] = 2;
    returned.writeHead(result.status, headers);
    returned.end(result.body);
  }

  async #serve(method: string, url: string, body: string): Promise<ApiReply> {
    const [path = '/', query = ''] = url.split('?');
    const zone = /^\/zones\/([^/]+)\/empty$/.exec(path);
    const edit = /^\/edits\/([^/]+)$/.exec(path);
    if (zone && method === 'PUT')
      return this.#ask(
        'zone',
        withField(body, { zone: decodeURIComponent(zone[1] ?? ''), empty: true }),
      );
    if (zone && method === 'DELETE')
      return this.#ask(
        'zone',
        withField(body, { zone: decodeURIComponent(zone[1] ?? ''), empty: false }),
      );
    if (edit && method === 'GET') {
      const base = new URLSearchParams(query).get('base');
      return this.#ask(
        'edit',
        JSON.stringify({
          id: decodeURIComponent(edit[1] ?? ''),
          ...(base === null ? {} : { base: Number(base) }),
        }),
      );
    }
    switch (`${method} ${path}`) {
      case 'GET /status':
        return this.#ask('status', '{}');
      case 'GET /fleet':
        return this.#ask('fleet', '{}');
      case 'GET /live':
        return this.#ask('live', '{}');
      case 'GET /table':
        return this.#ask('read', '{}');
      case 'PUT /table':
        return this.#ask('table', withField(body, {}));
      case 'PATCH /table/cell':
        return this.#ask('cell', withField(body, {}));
      case 'PATCH /table/rows':
        return this.#ask('rows', withField(body, {}));
      case 'POST /voters/swap':
        return this.#ask('swap', withField(body, {}));
      case 'POST /found':
        return this.#ask('found', '{}');
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

  async #exposition(): Promise<ApiReply> {
    const exposition = await this.#metrics();
    if (exposition) return { status: 200, ...exposition };
    const text = 'this node has not started yet';
    return {
      status: 503,
      body: JSON.stringify({ outcome: 'turned-away', defect: 'no-leader', text }),
    };
  }
}
