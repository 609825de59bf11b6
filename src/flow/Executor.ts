import { Agent, createServer, request, type ClientRequest, type IncomingMessage, type OutgoingHttpHeaders, type Server, type ServerResponse } from 'node:http';
import { pipeline } from 'node:stream';
import { randomUUID } from 'node:crypto';
import { array, optional, size, string, type } from 'superstruct';
import { readBody } from '../kin/Call.js';
import type { Counters } from '../kin/Counters.js';
import { DEFECTS, type DefectKind } from '../kin/Defect.js';
import type { Moment } from '../kin/Ids.js';
import { parseAs } from '../kin/Json.js';
import type { Decision, Verdict } from './Decision.js';
import { listenOn, splitAddress } from '../kin/Listen.js';

const NamesShape = type({ model: size(string(), 1, 200), adapter: optional(size(string(), 0, 200)), parts: optional(size(array(string()), 0, 64)) });

interface Entry {
  readonly id: number;
  readonly asked: IncomingMessage;
  readonly returned: ServerResponse;
  readonly body: string;
  readonly requestId: string;
  sent: ClientRequest | undefined;
  /** Whether bytes of it may have reached a runner at some time: it is then never told as turned away. */
  isWritten: boolean;
  beat: NodeJS.Timeout | undefined;
}

export interface ExecutorSettings { readonly maxBodyBytes: number; readonly connectMs: number }

/** Headers that belong to one hop and are never passed on. */
const HOP_HEADERS = new Set(['connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'host', 'expect']);

function passedOn(headers: IncomingMessage['headers']): OutgoingHttpHeaders {
  const named = new Set<string>();
  for (const name of (headers.connection ?? '').split(',')) named.add(name.trim().toLowerCase());
  const passed: OutgoingHttpHeaders = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined && !HOP_HEADERS.has(name) && !named.has(name)) passed[name] = value;
  }
  return passed;
}

/** Obeys the decision: reads requests, runs them where it says, and returns what came back, whole or visibly broken. */
export class Executor {
  readonly #decision: Decision;
  readonly #settings: ExecutorSettings;
  readonly #counters: Counters;
  readonly #now: () => Moment;
  readonly #entries = new Map<number, Entry>();
  readonly #keptAgent = new Agent({ keepAlive: true, maxFreeSockets: 8 });
  readonly #server: Server;
  #count = 0;
  #isDraining = false;
  #onIdle: (() => void) | undefined;

  constructor(decision: Decision, settings: ExecutorSettings, counters: Counters, now: () => Moment) {
    this.#decision = decision;
    this.#settings = settings;
    this.#counters = counters;
    this.#now = now;
    this.#server = createServer(this.#take.bind(this));
    this.#server.keepAliveTimeout = 65_000;
    this.#server.on('clientError', this.#clientError.bind(this));
  }

  async listen(address: string): Promise<number> {
    return listenOn(this.#server, address);
  }

  /** Takes nothing new, lets what runs end, and resolves then. */
  async drain(limitMs: number): Promise<void> {
    this.#isDraining = true;
    this.#decision.startDraining(this.#now());
    this.obey();
    this.#server.close();
    this.#server.closeIdleConnections();
    if (this.#entries.size > 0) await new Promise<void>(this.#waitIdle.bind(this, limitMs));
    this.#server.closeAllConnections();
    this.#keptAgent.destroy();
  }

  #waitIdle(limitMs: number, done: () => void): void {
    this.#onIdle = done;
    setTimeout(done, limitMs).unref();
  }

  #clientError(thrown: Error & { code?: string }, socket: import('node:stream').Duplex): void {
    this.#counters.add('requests.malformed');
    const status = thrown.code === 'HPE_HEADER_OVERFLOW' ? '431 Request Header Fields Too Large' : '400 Bad Request';
    if (socket.writable) socket.end(`HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`);
    else socket.destroy();
  }

  async #take(asked: IncomingMessage, returned: ServerResponse): Promise<void> {
    this.#count += 1;
    const id = this.#count;
    this.#counters.add('requests');
    const header = asked.headers['x-request-id'];
    const requestId = typeof header === 'string' && /^[\x21-\x7e]{1,200}$/.test(header) ? header : randomUUID();
    let body: string;
    try {
      if (Number(asked.headers['content-length'] ?? 0) > this.#settings.maxBodyBytes) { this.#tell(returned, requestId, 'too-large', `more than ${this.#settings.maxBodyBytes} bytes`); asked.resume(); return; }
      body = await readBody(asked, this.#settings.maxBodyBytes);
    } catch {
      // Either it is too large, or the client left in the midst of it; the latter reads no return.
      if (!returned.destroyed) this.#tell(returned, requestId, 'too-large', `more than ${this.#settings.maxBodyBytes} bytes`);
      return;
    }
    const method = asked.method ?? 'GET';
    const path = (asked.url ?? '/').split('?')[0] ?? '/';
    let model = '';
    let adapter = '';
    let parts: readonly string[] = [];
    if (this.#decision.needsModel(method, path) === true) {
      const names = parseAs(NamesShape, body);
      if (!names) { this.#tell(returned, requestId, 'malformed', 'the body must be JSON that names its model'); return; }
      model = names.model;
      adapter = names.adapter ?? '';
      parts = names.parts ?? [];
    }
    const entry: Entry = { id, asked, returned, body, requestId, sent: undefined, isWritten: false, beat: undefined };
    this.#entries.set(id, entry);
    returned.once('close', this.#closed.bind(this, entry));
    this.#decision.gate(this.#now(), { id, method, path, model, adapter, parts });
    this.obey();
  }

  /** Carries out the verdicts that have come up. */
  obey(): void {
    for (let verdicts = this.#decision.drain(); verdicts.length > 0; verdicts = this.#decision.drain()) {
      for (const verdict of verdicts) {
        const entry = this.#entries.get(verdict.id);
        if (!entry) continue;
        if (verdict.do === 'run') this.#run(entry, verdict);
        else if (entry.isWritten) this.#end(entry, 'unsure-run', 'a runner was reached and broke off; it may have run');
        else this.#end(entry, verdict.kind, verdict.text);
      }
    }
  }

  #end(entry: Entry, kind: DefectKind, text: string): void {
    this.#forget(entry);
    this.#tell(entry.returned, entry.requestId, kind, text);
  }

  /** The final answer of a request that got none from a runner, at once. */
  #tell(returned: ServerResponse, requestId: string, kind: DefectKind, text: string): void {
    this.#counters.add(`defects.${kind}`);
    if (returned.headersSent || returned.destroyed) { returned.destroy(); return; }
    const row = DEFECTS[kind];
    const body = JSON.stringify({ defect: kind, text, outcome: row.unsure ? 'unsure' : 'turned-away' });
    const headers: OutgoingHttpHeaders = { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body), 'x-request-id': requestId, 'x-table': String(this.#decision.tableNumber) };
    if (row.retryAfter > 0) headers['retry-after'] = String(row.retryAfter);
    if (this.#isDraining || kind === 'too-large') headers['connection'] = 'close';
    returned.writeHead(row.status, headers);
    returned.end(body);
  }

  #forget(entry: Entry): void {
    clearTimeout(entry.beat);
    this.#entries.delete(entry.id);
    if (this.#isDraining && this.#entries.size === 0) this.#onIdle?.();
  }

  /** The connection to the client closed: either all was returned, or it left, and its run is cancelled. */
  #closed(entry: Entry): void {
    if (!this.#entries.has(entry.id)) return;
    this.#counters.add('clients.gone');
    this.#forget(entry);
    this.#decision.gone(this.#now(), entry.id);
    entry.sent?.destroy();
    this.obey();
  }

  #run(entry: Entry, verdict: Extract<Verdict, { do: 'run' }>): void {
    const { host, port } = splitAddress(verdict.address);
    const headers = passedOn(entry.asked.headers);
    headers['x-request-id'] = entry.requestId;
    delete headers['content-length'];
    if (entry.body !== '') headers['content-length'] = Buffer.byteLength(entry.body);
    const method = entry.asked.method ?? 'GET';
    const path = verdict.isPlain ? entry.asked.url ?? '/' : '/run';
    // What may not be repeated gets a connection of its own: one kept alive may close just as it is written to,
    // and nobody could tell whether it ran.
    const agent = verdict.row.repeatable ? this.#keptAgent : false;
    const sent = request({ host, port, method, path, headers, agent });
    entry.sent = sent;
    const run = new Run(entry, verdict, sent);
    sent.once('socket', this.#watchConnect.bind(this, run));
    sent.once('response', this.#receive.bind(this, run));
    sent.once('error', this.#fail.bind(this, run));
    clearTimeout(entry.beat);
    entry.beat = setTimeout(this.#late.bind(this, run), Math.max(0, verdict.limit - this.#now()));
    this.#counters.add('runs');
    sent.end(entry.body === '' ? undefined : entry.body);
  }

  #watchConnect(run: Run, socket: import('node:net').Socket): void {
    if (!socket.connecting) { run.entry.isWritten = true; run.isConnected = true; return; }
    function connected(): void { run.isConnected = true; run.entry.isWritten = true; }
    function tooLong(): void { if (!run.isConnected) socket.destroy(new Error('not connected in time')); }
    socket.once('connect', connected);
    setTimeout(tooLong, this.#settings.connectMs).unref();
  }

  #fail(run: Run): void {
    if (run.isOver || run.entry.sent !== run.sent || !this.#entries.has(run.entry.id)) return;
    run.isOver = true;
    const now = this.#now();
    if (!run.isConnected) {
      this.#counters.add('runs.unreached');
      this.#decision.notRun(now, run.entry.id, 'unreached');
    } else if (!run.hasReturned) {
      this.#counters.add('runs.broke');
      if (!this.#decision.broke(now, run.entry.id, true)) this.#end(run.entry, 'unsure-run', 'the runner broke off; it may have run');
      else this.#counters.add('repeats');
    }
    this.obey();
  }

  #late(run: Run): void {
    if (run.isOver || !this.#entries.has(run.entry.id)) return;
    // A stream that has begun in time goes on; anything else has passed its limit.
    if (run.hasReturned && run.verdict.row.stream) return;
    run.isOver = true;
    this.#counters.add('runs.late');
    const wasWritten = run.entry.isWritten;
    this.#forget(run.entry);
    this.#decision.done(this.#now(), run.entry.id);
    run.sent.destroy();
    this.#tell(run.entry.returned, run.entry.requestId, wasWritten ? 'unsure-late' : 'limit-passed', 'its limit passed');
    this.obey();
  }

  #receive(run: Run, back: IncomingMessage): void {
    const { entry } = run;
    if (run.isOver) { back.resume(); return; }
    if (back.headers['x-run'] === 'none') {
      // The runner's own word that it has not begun this request and will not.
      run.isOver = true;
      back.resume();
      if (this.#entries.has(entry.id)) {
        entry.isWritten = run.wasWrittenBefore;
        this.#counters.add('runs.full');
        this.#decision.notRun(this.#now(), entry.id, 'full');
      }
      this.obey();
      return;
    }
    run.hasReturned = true;
    const headers = passedOn(back.headers);
    headers['x-request-id'] = entry.requestId;
    headers['x-table'] = String(run.verdict.table);
    if (this.#isDraining) headers['connection'] = 'close';
    entry.returned.writeHead(back.statusCode ?? 502, headers);
    // The pipeline holds the runner back to the client's pace, and destroys the client's side if the runner's breaks.
    pipeline(back, entry.returned, this.#ended.bind(this, run));
  }

  #ended(run: Run, thrown: Error | null | undefined): void {
    if (run.isOver) return;
    run.isOver = true;
    if (!this.#entries.has(run.entry.id)) return;
    this.#forget(run.entry);
    if (thrown) {
      this.#counters.add('streams.broken');
      run.sent.destroy();
      run.entry.returned.destroy();
      this.#decision.broke(this.#now(), run.entry.id, false);
    } else {
      this.#counters.add('returns');
      this.#decision.done(this.#now(), run.entry.id);
    }
    this.obey();
  }
}

/** One try of a request at one runner. */
class Run {
  readonly entry: Entry;
  readonly verdict: Extract<Verdict, { do: 'run' }>;
  readonly sent: ClientRequest;
  readonly wasWrittenBefore: boolean;
  isConnected = false;
  hasReturned = false;
  isOver = false;

  constructor(entry: Entry, verdict: Extract<Verdict, { do: 'run' }>, sent: ClientRequest) {
    this.entry = entry;
    this.verdict = verdict;
    this.sent = sent;
    this.wasWrittenBefore = entry.isWritten;
  }
}
