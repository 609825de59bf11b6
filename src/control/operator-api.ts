import type { BoundedRequest } from '../common/bounded-request.js';
import type { ErrorCode } from '../common/errors.js';
import { ReplyServer, type HttpReply } from '../common/reply-server.js';
import type { Exposition } from '../metrics/exposition.js';

/** Submits a command, a verb with its JSON body, to the core, and waits for its reply. */
export type ApiRequest = (verb: string, body: string) => Promise<HttpReply>;

/** A body larger than this is rejected as malformed. */
const MAX_BODY_BYTES = 32 * 1024 * 1024;
/** The `retry-after` header of a reply with status 503, in seconds. */
const RETRY_AFTER_S = 2;

const ZONE_PATH = /^\/zones\/([^/]+)\/empty$/;
const EDIT_PATH = /^\/edits\/([^/]+)$/;

/** Verbs of the core by method and path, for calls without a body. */
const QUERY_VERBS: ReadonlyMap<string, string> = new Map([
  ['GET /status', 'status'],
  ['GET /fleet', 'fleet'],
  ['GET /live', 'live'],
  ['GET /table', 'read'],
  ['POST /found', 'found'],
]);

/** Verbs of the core by method and path, for calls whose body is passed on. */
const CHANGE_VERBS: ReadonlyMap<string, string> = new Map([
  ['PUT /table', 'table'],
  ['PATCH /table/cell', 'cell'],
  ['PATCH /table/rows', 'rows'],
  ['POST /voters/swap', 'swap'],
]);

const MALFORMED = rejection(400, 'malformed', 'the body is not JSON, or too large');
const NOT_STARTED = rejection(503, 'no-leader', 'this node has not started yet');

interface ApiCall {
  readonly method: string;
  readonly path: string;
  /** The query string without its question mark; '' if there is none. */
  readonly query: string;
  readonly body: string;
}

/** The operators' HTTP API of a control node; every node accepts every command and forwards it to the leader. */
export class OperatorApi {
  readonly #request: ApiRequest;
  readonly #counters: () => object;
  readonly #metrics: () => Promise<Exposition | undefined>;
  readonly #server: ReplyServer;

  constructor(
    request: ApiRequest,
    counters: () => object,
    metrics: () => Promise<Exposition | undefined>,
  ) {
    this.#request = request;
    this.#counters = counters;
    this.#metrics = metrics;
    this.#server = new ReplyServer({
      handle: (incoming) => this.#onRequest(incoming),
      onFailure: MALFORMED,
      retryAfterSeconds: RETRY_AFTER_S,
    });
  }

  /** Opens the API's port and returns its number. */
  async listen(address: string): Promise<number> {
    return this.#server.listen(address);
  }

  /** Stops accepting calls. */
  close(): void {
    this.#server.close();
  }

  async #onRequest(bounded: BoundedRequest): Promise<HttpReply> {
    const body = await bounded.readText(MAX_BODY_BYTES);
    const { method = 'GET', url = '/' } = bounded.request;
    const [path = '/', query = ''] = url.split('?');
    return this.#serve({ method, path, query, body });
  }

  async #serve(call: ApiCall): Promise<HttpReply> {
    const { method, path, body } = call;
    const zone = ZONE_PATH.exec(path)?.[1];
    if (zone !== undefined && (method === 'PUT' || method === 'DELETE'))
      return this.#request('zone', zoneBody(zone, call));
    const edit = EDIT_PATH.exec(path)?.[1];
    if (edit !== undefined && method === 'GET')
      return this.#request('edit', editBody(edit, call.query));
    const target = `${method} ${path}`;
    const queryVerb = QUERY_VERBS.get(target);
    if (queryVerb !== undefined) return this.#request(queryVerb, '{}');
    const changeVerb = CHANGE_VERBS.get(target);
    if (changeVerb !== undefined) return this.#request(changeVerb, withFields(body, {}));
    if (target === 'GET /counters') return { status: 200, body: JSON.stringify(this.#counters()) };
    if (target === 'GET /metrics') return this.#exposition();
    return rejection(404, 'unmapped', `no ${target} here`);
  }

  async #exposition(): Promise<HttpReply> {
    const exposition = await this.#metrics();
    return exposition ? { status: 200, ...exposition } : NOT_STARTED;
  }
}

/** PUT evacuates a zone, DELETE restores it. */
function zoneBody(encodedZone: string, { method, body }: ApiCall): string {
  return withFields(body, { zone: decodeURIComponent(encodedZone), empty: method === 'PUT' });
}

function editBody(encodedId: string, query: string): string {
  const base = new URLSearchParams(query).get('base');
  const id = decodeURIComponent(encodedId);
  return JSON.stringify(base === null ? { id } : { id, base: Number(base) });
}

/** The JSON object of a body with fields added. Throws a `SyntaxError` if the body is not JSON. */
function withFields(body: string, fields: object): string {
  const raw: unknown = body === '' ? {} : JSON.parse(body);
  return JSON.stringify(typeof raw === 'object' && raw !== null ? { ...raw, ...fields } : fields);
}

function rejection(status: number, code: ErrorCode, text: string): HttpReply {
  return { status, body: JSON.stringify({ outcome: 'turned-away', defect: code, text }) };
}
