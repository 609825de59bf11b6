import {
  Agent,
  createServer,
  request,
  type ClientRequest,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import { randomUUID } from 'node:crypto';
import { array, optional, size, string, type } from 'superstruct';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import { readBytes } from '../common/call.js';
import type { Counters } from '../common/counters.js';
import type { Moment } from '../common/ids.js';
import { parseAs } from '../common/json.js';
import type { Decision } from './decision.js';
import type { RunVerdict } from './decision-types.js';
import { bindServer, parseAddress } from '../common/listen.js';
import { ConnectionProbes } from './connection-probes.js';
import { ErrorReplies } from './error-replies.js';
import { hopByHopHeaders, hasSelfDefinedLength, forwardedHeaders } from './http-messages.js';
import { InFlightRequests, type InFlightSettings, type Step } from './in-flight-requests.js';
import { ProbeConnections } from './probe-connections.js';

const NamesShape = type({
  model: size(string(), 1, 200),
  adapter: optional(size(string(), 0, 200)),
  parts: optional(size(array(string()), 0, 64)),
});

/** What a request names, of those that must. */
interface Names {
  readonly model: string;
  readonly adapter: string;
  readonly parts: readonly string[];
}

/** A request that was read whole. */
interface Entry {
  readonly id: number;
  readonly asked: IncomingMessage;
  readonly returned: ServerResponse;
  readonly body: Buffer;
  readonly requestId: string;
  current: Attempt | undefined;
}

/** One try of a request at one runner. */
interface Attempt {
  readonly number: number;
  readonly sent: ClientRequest;
  back: IncomingMessage | undefined;
}

/** Steps at the attempt that is under way. */
type AttemptStep = Extract<Step, { do: 'write' | 'pass' | 'cancel' }>;

/** What the executor is set up with once. */
export interface ExecutorSettings extends InFlightSettings {
  readonly maxBodyBytes: number;
}

const NO_NAMES: Names = { model: '', adapter: '', parts: [] };
/** The runner is named anew. */
const HOP_HEADERS = hopByHopHeaders('host');

/** Obeys the passages: reads requests, runs them where they say, and returns what came back, whole or visibly broken. */
export class Executor {
  readonly #decision: Decision;
  readonly #settings: ExecutorSettings;
  readonly #counters: Counters;
  readonly #inFlightRequests: InFlightRequests;
  readonly #probes: ConnectionProbes;
  readonly #probeConnections: ProbeConnections;
  readonly #replies: ErrorReplies;
  readonly #now: () => Moment;
  readonly #entries = new Map<number, Entry>();
  readonly #keptAgent = new Agent({ keepAlive: true, maxFreeSockets: 8 });
  readonly #server: Server;
  #count = 0;
  #isDraining = false;
  #isObeying = false;
  #onIdle: (() => void) | undefined;

  constructor(
    decision: Decision,
    settings: ExecutorSettings,
    counters: Counters,
    now: () => Moment,
  ) {
    this.#decision = decision;
    this.#settings = settings;
    this.#counters = counters;
    this.#now = now;
    this.#inFlightRequests = new InFlightRequests(decision, settings, counters);
    this.#probes = new ConnectionProbes(decision);
    this.#probeConnections = new ProbeConnections(
      this.#probes,
      now,
      () => this.#probeOpened(),
      () => this.#obey(),
    );
    this.#replies = new ErrorReplies(decision, counters);
    this.#server = createServer((asked, returned) => this.#take(asked, returned));
    this.#server.keepAliveTimeout = 65_000;
    this.#server.on('clientError', (thrown, socket) => this.#clientError(thrown, socket));
  }

  async listen(address: string): Promise<number> {
    return bindServer(this.#server, address);
  }

  tick(now: Moment): void {
    this.#inFlightRequests.tick(now);
    this.#probes.tick(now);
    this.#obey();
  }

  /** The decision has heard news: what follows from it is done. */
  settle(now: Moment): void {
    this.#inFlightRequests.settle(now);
    this.#probes.follow(now, this.#decision.silentBacks());
    this.#obey();
  }

  /** Takes nothing new, lets what runs end, and resolves then. */
  async drain(limitMs: number): Promise<void> {
    this.#isDraining = true;
    this.#replies.startDraining();
    this.#probeConnections.startDraining();
    this.#inFlightRequests.startDraining(this.#now());
    this.#obey();
    this.#server.close();
    this.#server.closeIdleConnections();
    if (this.#entries.size > 0) await new Promise<void>((done) => this.#waitIdle(limitMs, done));
    this.#server.closeAllConnections();
    this.#keptAgent.destroy();
    this.#probeConnections.destroy();
  }

  #waitIdle(limitMs: number, done: () => void): void {
    this.#onIdle = done;
    setTimeout(done, limitMs).unref();
  }

  #clientError(thrown: Error & { code?: string }, socket: Duplex): void {
    this.#counters.add('requests.malformed');
    const status =
      thrown.code === 'HPE_HEADER_OVERFLOW'
        ? '431 Request Header Fields Too Large'
        : '400 Bad Request';
    if (socket.writable)
      socket.end(`HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`);
    else socket.destroy();
  }

  async #take(asked: IncomingMessage, returned: ServerResponse): Promise<void> {
    this.#count += 1;
    const id = this.#count;
    this.#counters.add('requests');
    const requestId = requestIdOf(asked);
    const { maxBodyBytes } = this.#settings;
    let body: Buffer;
    try {
      if (Number(asked.headers['content-length'] ?? 0) > maxBodyBytes) {
        this.#tellTooLarge(returned, requestId);
        asked.resume();
        return;
      }
      body = await readBytes(asked, maxBodyBytes);
    } catch {
      // Either it is too large, or the client left in the midst of it; the latter reads no return.
      if (!returned.destroyed) this.#tellTooLarge(returned, requestId);
      return;
    }
    const entry: Entry = { id, asked, returned, body, requestId, current: undefined };
    const method = asked.method ?? 'GET';
    const path = (asked.url ?? '/').split('?')[0] ?? '/';
    const names = this.#decision.needsModel(method, path) === true ? namesIn(body) : NO_NAMES;
    if (names) this.#begin(entry, method, path, names);
    else
      this.#replies.tell(
        returned,
        requestId,
        'malformed',
        'the body must be JSON that names its model',
      );
  }

  #tellTooLarge(returned: ServerResponse, requestId: string): void {
    const text = `more than ${this.#settings.maxBodyBytes} bytes`;
    this.#replies.tell(returned, requestId, 'too-large', text);
  }

  #begin(entry: Entry, method: string, path: string, { model, adapter, parts }: Names): void {
    const { id, returned } = entry;
    this.#entries.set(id, entry);
    returned.once('close', () => this.#closed(entry));
    this.#inFlightRequests.take(this.#now(), { id, method, path, model, adapter, parts });
    this.#obey();
  }

  /** Carries out the steps that have come up; a step may bring up others at once. */
  #obey(): void {
    if (this.#isObeying) return;
    this.#isObeying = true;
    for (
      let steps = this.#inFlightRequests.drain();
      steps.length > 0;
      steps = this.#inFlightRequests.drain()
    ) {
      for (const step of steps) {
        const entry = this.#entries.get(step.id);
        if (entry) this.#carryOut(entry, step);
      }
    }
    for (const step of this.#probes.drain()) this.#probeConnections.carryOut(step);
    this.#isObeying = false;
  }

  /** A back end that was away may be back: what waits for it is taken up. */
  #probeOpened(): void {
    this.#inFlightRequests.settle(this.#now());
    this.#obey();
  }

  #carryOut(entry: Entry, step: Step): void {
    switch (step.do) {
      case 'connect':
        this.#connect(entry, step.attempt, step.verdict);
        break;
      case 'finish':
        finish(entry);
        break;
      case 'breakOff':
        breakOff(entry);
        break;
      case 'tell':
        this.#replies.tell(entry.returned, entry.requestId, step.kind, step.text, step.retryMs);
        break;
      default:
        // What is said of an earlier attempt is void.
        if (entry.current?.number === step.attempt) this.#goOn(entry, entry.current, step);
    }
  }

  #goOn(entry: Entry, current: Attempt, step: AttemptStep): void {
    switch (step.do) {
      case 'write':
        current.sent.end(entry.body.length === 0 ? undefined : entry.body);
        break;
      case 'pass':
        this.#pass(entry, current, step.table);
        break;
      case 'cancel':
        current.sent.destroy();
        break;
    }
  }

  /** The connection to the client closed, or all of it was returned: after that, its run goes on for nobody. */
  #closed(entry: Entry): void {
    this.#entries.delete(entry.id);
    this.#inFlightRequests.gone(this.#now(), entry.id);
    // Its cancelling finds no entry any more.
    if (!entry.returned.writableFinished) entry.current?.sent.destroy();
    this.#obey();
    if (this.#isDraining && this.#entries.size === 0) this.#onIdle?.();
  }

  #connect(entry: Entry, number: number, verdict: RunVerdict): void {
    const { host, port } = parseAddress(verdict.address);
    const headers = forwardedHeaders(entry.asked, HOP_HEADERS);
    headers['x-request-id'] = entry.requestId;
    delete headers['content-length'];
    delete headers['trailer'];
    if (entry.body.length > 0) headers['content-length'] = entry.body.length;
    const method = entry.asked.method ?? 'GET';
    const path = verdict.isPlain ? (entry.asked.url ?? '/') : '/run';
    // What may not be repeated gets a connection of its own: one kept alive may close just as it is written to,
    // and nobody could tell whether it ran.
    const agent = verdict.row.repeatable ? this.#keptAgent : false;
    // Nothing is handed to Node before the connection stands and the decision has been asked again.
    const sent = request({ host, port, method, path, headers, agent });
    const attempt: Attempt = { number, sent, back: undefined };
    entry.current = attempt;
    sent.once('socket', (socket) => this.#watchConnect(entry, attempt, socket));
    sent.once('response', (back) => this.#receive(entry, attempt, back));
    sent.on('error', () => this.#broke(entry, attempt));
  }

  #watchConnect(entry: Entry, attempt: Attempt, socket: Socket): void {
    if (socket.connecting) socket.once('connect', () => this.#connected(entry, attempt));
    else this.#connected(entry, attempt);
  }

  #connected(entry: Entry, attempt: Attempt): void {
    this.#inFlightRequests.connected(this.#now(), entry.id, attempt.number);
    this.#obey();
  }

  #broke(entry: Entry, attempt: Attempt): void {
    this.#inFlightRequests.broke(
      this.#now(),
      entry.id,
      attempt.number,
      attempt.sent.reusedSocket && !attempt.back,
    );
    this.#obey();
  }

  #receive(entry: Entry, attempt: Attempt, back: IncomingMessage): void {
    attempt.back = back;
    back.on('error', () => this.#broke(entry, attempt));
    const isBegun = back.headers['x-run'] !== 'none';
    if (!isBegun) back.resume();
    this.#inFlightRequests.head(this.#now(), entry.id, attempt.number, {
      isBegun,
      isBounded: hasSelfDefinedLength(entry.asked.method ?? 'GET', back),
    });
    this.#obey();
  }

  #pass(entry: Entry, attempt: Attempt, table: number): void {
    const { back } = attempt;
    if (!back) return;
    const { returned } = entry;
    const headers = forwardedHeaders(back, HOP_HEADERS);
    // Both at once would be two words on one end; Node's reader turns such a head away, and so do we not make one.
    if (headers['trailer'] !== undefined) delete headers['content-length'];
    headers['x-request-id'] = entry.requestId;
    headers['x-table'] = String(table);
    if (this.#isDraining) headers['connection'] = 'close';
    returned.writeHead(back.statusCode ?? 502, headers);
    // A stream's head is news to its client, whenever the first bytes follow.
    if (headers['content-length'] === undefined) returned.flushHeaders();
    back.on('data', () => this.#moved(entry, attempt));
    back.once('end', () => this.#ended(entry, attempt, back));
    back.once('close', () => this.#ended(entry, attempt, back));
    // Piping holds the runner back to the client's pace; how the return ends is not left to it.
    back.pipe(returned, { end: false });
  }

  #moved(entry: Entry, attempt: Attempt): void {
    this.#inFlightRequests.bytes(this.#now(), entry.id, attempt.number);
  }

  #ended(entry: Entry, attempt: Attempt, back: IncomingMessage): void {
    if (back.complete) this.#inFlightRequests.ended(this.#now(), entry.id, attempt.number);
    else this.#inFlightRequests.broke(this.#now(), entry.id, attempt.number, false);
    this.#obey();
  }
}

/** The id that the client gave its request, or a new one. */
function requestIdOf(asked: IncomingMessage): string {
  const given = asked.headers['x-request-id'];
  return typeof given === 'string' && /^[\x21-\x7e]{1,200}$/.test(given) ? given : randomUUID();
}

/** What the body names; undefined where it names no model. */
function namesIn(body: Buffer): Names | undefined {
  const names = parseAs(NamesShape, body.toString('utf8'));
  return names && { model: names.model, adapter: names.adapter ?? '', parts: names.parts ?? [] };
}

function trailersOf(back: IncomingMessage): [string, string][] {
  const list: [string, string][] = [];
  for (const [name, values] of Object.entries(back.trailersDistinct))
    for (const value of values ?? []) list.push([name, value]);
  return list;
}

/** Ends the return properly, with the runner's trailers. */
function finish({ current, returned }: Entry): void {
  if (current?.back) returned.addTrailers(trailersOf(current.back));
  returned.end();
}

/** Ends the return so that no client takes it for whole. */
function breakOff(entry: Entry): void {
  const { returned, asked } = entry;
  // To a client of HTTP/1.0 an ordinary close would look like the end.
  if (asked.httpVersion === '1.0') returned.socket?.resetAndDestroy();
  returned.destroy();
}
