import { connect } from 'node:net';
import { Agent, createServer, request, type ClientRequest, type IncomingMessage, type OutgoingHttpHeaders, type Server, type ServerResponse } from 'node:http';
import { once } from 'node:events';
import { randomUUID } from 'node:crypto';
import { array, optional, size, string, type } from 'superstruct';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import { readBytes } from '../kin/Call.js';
import type { Counters } from '../kin/Counters.js';
import { DEFECTS, type DefectKind } from '../kin/Defect.js';
import type { Moment } from '../kin/Ids.js';
import { parseAs } from '../kin/Json.js';
import { type Asked, type Decision, RunVerdict } from './Decision.js';
import { listenOn, splitAddress } from '../kin/Listen.js';
import { Watches, type WatchStep } from './Watches.js';
import { Passages, retryAfterOf, type PassageSettings, type Step } from './Passages.js';

const NamesShape = type({ model: size(string(), 1, 200), adapter: optional(size(string(), 0, 200)), parts: optional(size(array(string()), 0, 64)) });

interface Entry {
  readonly id: number;
  readonly asked: IncomingMessage;
  readonly returned: ServerResponse;
  readonly body: Buffer;
  readonly requestId: string;
  current: Attempt | undefined;
}

/** One try of a request at one runner. */
interface Attempt { readonly number: number; readonly sent: ClientRequest; back: IncomingMessage | undefined }

export interface ExecutorSettings extends PassageSettings { readonly maxBodyBytes: number }

/** Headers that belong to one hop and are never passed on. */
const HOP_HEADERS = new Set(['connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'te', 'transfer-encoding', 'upgrade', 'host', 'expect']);

/** Repeated headers stay repeated. */
function passedOn(message: IncomingMessage): OutgoingHttpHeaders {
  const named = new Set<string>();
  for (const name of (message.headers.connection ?? '').split(',')) named.add(name.trim().toLowerCase());
  const passed: OutgoingHttpHeaders = {};
  for (const [name, values] of Object.entries(message.headersDistinct)) {
    const [first] = values ?? [];
    if (values && first !== undefined && !HOP_HEADERS.has(name) && !named.has(name)) passed[name] = values.length === 1 ? first : values;
  }
  return passed;
}

/** Whether the return itself tells where it ends: by its length, its chunks, or in having no body at all. */
function isBounded(method: string, back: IncomingMessage): boolean {
  const status = back.statusCode ?? 0;
  if (method === 'HEAD' || status === 204 || status === 304) return true;
  return back.headers['content-length'] !== undefined || (back.headers['transfer-encoding'] ?? '').toLowerCase().includes('chunked');
}

/** Obeys the passages: reads requests, runs them where they say, and returns what came back, whole or visibly broken. */
export class Executor {
  readonly #decision: Decision;
  readonly #settings: ExecutorSettings;
  readonly #counters: Counters;
  readonly #passages: Passages;
  readonly #watches: Watches;
  readonly #watchLines = new Map<string, Socket>();
  readonly #now: () => Moment;
  readonly #entries = new Map<number, Entry>();
  readonly #keptAgent = new Agent({ keepAlive: true, maxFreeSockets: 8 });
  readonly #server: Server;
  #count = 0;
  #isDraining = false;
  #isObeying = false;
  #onIdle: (() => void) | undefined;

  constructor(decision: Decision, settings: ExecutorSettings, counters: Counters, now: () => Moment) {
    this.#decision = decision;
    this.#settings = settings;
    this.#counters = counters;
    this.#now = now;
    this.#passages = new Passages(decision, settings, counters);
    this.#watches = new Watches(decision);
    this.#server = createServer(this.#take.bind(this));
    this.#server.keepAliveTimeout = 65_000;
    this.#server.on('clientError', this.#clientError.bind(this));
  }

  async listen(address: string): Promise<number> {
    return listenOn(this.#server, address);
  }

  beat(now: Moment): void {
    this.#passages.beat(now);
    this.#watches.beat(now);
    this.#obey();
  }

  /** The decision has heard news: what follows from it is done. */
  settle(now: Moment): void {
    this.#passages.settle(now);
    this.#watches.follow(now, this.#decision.silentBacks());
    this.#obey();
  }

  /** Takes nothing new, lets what runs end, and resolves then. */
  async drain(limitMs: number): Promise<void> {
    this.#isDraining = true;
    this.#passages.startDraining(this.#now());
    this.#obey();
    this.#server.close();
    this.#server.closeIdleConnections();
    if (this.#entries.size > 0) await new Promise<void>(this.#waitIdle.bind(this, limitMs));
    this.#server.closeAllConnections();
    this.#keptAgent.destroy();
    for (const socket of this.#watchLines.values()) socket.destroy();
  }

  #waitIdle(limitMs: number, done: () => void): void {
    this.#onIdle = done;
    setTimeout(done, limitMs).unref();
  }

  #clientError(thrown: Error & { code?: string }, socket: Duplex): void {
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
    let body: Buffer;
    try {
      if (Number(asked.headers['content-length'] ?? 0) > this.#settings.maxBodyBytes) { this.#tell(returned, requestId, 'too-large', `more than ${this.#settings.maxBodyBytes} bytes`); asked.resume(); return; }
      body = await readBytes(asked, this.#settings.maxBodyBytes);
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
      const names = parseAs(NamesShape, body.toString('utf8'));
      if (!names) { this.#tell(returned, requestId, 'malformed', 'the body must be JSON that names its model'); return; }
      model = names.model;
      adapter = names.adapter ?? '';
      parts = names.parts ?? [];
    }
    const entry: Entry = { id, asked, returned, body, requestId, current: undefined };
    this.#entries.set(id, entry);
    returned.once('close', this.#closed.bind(this, entry));
    this.#passages.take(this.#now(), { id, method, path, model, adapter, parts });
    this.#obey();
  }

  /** Carries out the steps that have come up; a step may bring up others at once. */
  #obey(): void {
    if (this.#isObeying) return;
    this.#isObeying = true;
    for (let steps = this.#passages.drain(); steps.length > 0; steps = this.#passages.drain()) {
      for (const step of steps) {
        const entry = this.#entries.get(step.id);
        if (entry) this.#carryOut(entry, step);
      }
    }
    for (const step of this.#watches.drain()) this.#watch(step);
    this.#isObeying = false;
  }

  #watch(step: WatchStep): void {
    this.#watchLines.get(step.id)?.destroy();
    this.#watchLines.delete(step.id);
    if (step.do === 'close' || this.#isDraining) return;
    const { id, count } = step;
    const socket = connect({ ...splitAddress(step.address) });
    this.#watchLines.set(id, socket);
    const watch = { watches: this.#watches, now: this.#now, obey: this.#obey.bind(this), passages: this.#passages };
    function opened(): void { watch.watches.opened(watch.now(), id, count); watch.passages.settle(watch.now()); watch.obey(); }
    function closed(): void { watch.watches.closed(watch.now(), id, count); watch.obey(); }
    socket.once('connect', opened);
    socket.once('close', closed);
    socket.on('error', ignore);
    // Whatever it says, as on being idle for too long, is of no matter; its end is.
    socket.resume();
    socket.unref();
  }

  #carryOut(entry: Entry, step: Step): void {
    const { current } = entry;
    switch (step.do) {
      case 'connect': this.#connect(entry, step.attempt, step.verdict); break;
      case 'write':
        if (current?.number === step.attempt) current.sent.end(entry.body.length === 0 ? undefined : entry.body);
        break;
      case 'pass': if (current?.number === step.attempt) this.#pass(entry, current, step.table); break;
      case 'finish':
        if (current?.back) entry.returned.addTrailers(trailersOf(current.back));
        entry.returned.end();
        break;
      case 'breakOff': breakOff(entry); break;
      case 'cancel': if (current?.number === step.attempt) current.sent.destroy(); break;
      case 'tell': this.#tell(entry.returned, entry.requestId, step.kind, step.text, step.retryMs); break;
    }
  }

  /** The final return of a request that got none from a runner, at once. */
  #tell(returned: ServerResponse, requestId: string, kind: DefectKind, text: string, retryMs = 0): void {
    this.#counters.add(`defects.${kind}`);
    if (returned.headersSent || returned.destroyed) { returned.destroy(); return; }
    const row = DEFECTS[kind];
    const body = JSON.stringify({ defect: kind, text, outcome: row.unsure ? 'unsure' : 'turned-away' });
    const headers: OutgoingHttpHeaders = { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body), 'x-request-id': requestId };
    // A proxy that is blind works by no table at all.
    if (kind !== 'blind') headers['x-table'] = String(this.#decision.tableNumber);
    const retryAfter = retryAfterOf(kind, retryMs);
    if (retryAfter > 0) headers['retry-after'] = String(retryAfter);
    if (this.#isDraining || kind === 'too-large') headers['connection'] = 'close';
    returned.writeHead(row.status, headers);
    returned.end(body);
  }

  /** The connection to the client closed, or all of it was returned: after that, its run goes on for nobody. */
  #closed(entry: Entry): void {
    this.#entries.delete(entry.id);
    this.#passages.gone(this.#now(), entry.id);
    // Its cancelling finds no entry any more.
    if (!entry.returned.writableFinished) entry.current?.sent.destroy();
    this.#obey();
    if (this.#isDraining && this.#entries.size === 0) this.#onIdle?.();
  }

  #connect(entry: Entry, number: number, verdict: RunVerdict): void {
    const { host, port } = splitAddress(verdict.address);
    const headers = passedOn(entry.asked);
    headers['x-request-id'] = entry.requestId;
    delete headers['content-length'];
    delete headers['trailer'];
    if (entry.body.length > 0) headers['content-length'] = entry.body.length;
    const method = entry.asked.method ?? 'GET';
    const path = verdict.isPlain ? entry.asked.url ?? '/' : '/run';
    // What may not be repeated gets a connection of its own: one kept alive may close just as it is written to,
    // and nobody could tell whether it ran.
    const agent = verdict.row.repeatable ? this.#keptAgent : false;
    // Nothing is handed to Node before the connection stands and the decision has been asked again.
    const sent = request({ host, port, method, path, headers, agent });
    const attempt: Attempt = { number, sent, back: undefined };
    entry.current = attempt;
    sent.once('socket', this.#watchConnect.bind(this, entry, attempt));
    sent.once('response', this.#receive.bind(this, entry, attempt));
    sent.on('error', this.#broke.bind(this, entry, attempt));
  }

  #watchConnect(entry: Entry, attempt: Attempt, socket: Socket): void {
    if (socket.connecting) socket.once('connect', this.#connected.bind(this, entry, attempt));
    else this.#connected(entry, attempt);
  }

  #connected(entry: Entry, attempt: Attempt): void {
    this.#passages.connected(this.#now(), entry.id, attempt.number);
    this.#obey();
  }

  #broke(entry: Entry, attempt: Attempt): void {
    this.#passages.broke(this.#now(), entry.id, attempt.number, attempt.sent.reusedSocket && !attempt.back);
    this.#obey();
  }

  #receive(entry: Entry, attempt: Attempt, back: IncomingMessage): void {
    attempt.back = back;
    back.on('error', this.#broke.bind(this, entry, attempt));
    const isBegun = back.headers['x-run'] !== 'none';
    if (!isBegun) back.resume();
    this.#passages.head(this.#now(), entry.id, attempt.number, { isBegun, isBounded: isBounded(entry.asked.method ?? 'GET', back) });
    this.#obey();
  }

  #pass(entry: Entry, attempt: Attempt, table: number): void {
    const { back } = attempt;
    if (!back) return;
    const { returned } = entry;
    const headers = passedOn(back);
    // Both at once would be two words on one end; Node's reader turns such a head away, and so do we not make one.
    if (headers['trailer'] !== undefined) delete headers['content-length'];
    headers['x-request-id'] = entry.requestId;
    headers['x-table'] = String(table);
    if (this.#isDraining) headers['connection'] = 'close';
    returned.writeHead(back.statusCode ?? 502, headers);
    // A stream's head is news to its client, whenever the first bytes follow.
    if (headers['content-length'] === undefined) returned.flushHeaders();
    back.on('data', this.#moved.bind(this, entry, attempt));
    back.once('end', this.#ended.bind(this, entry, attempt, back));
    back.once('close', this.#ended.bind(this, entry, attempt, back));
    // Piping holds the runner back to the client's pace; how the return ends is not left to it.
    back.pipe(returned, { end: false });
  }

  #moved(entry: Entry, attempt: Attempt): void { this.#passages.bytes(this.#now(), entry.id, attempt.number); }

  #ended(entry: Entry, attempt: Attempt, back: IncomingMessage): void {
    if (back.complete) this.#passages.ended(this.#now(), entry.id, attempt.number);
    else this.#passages.broke(this.#now(), entry.id, attempt.number, false);
    this.#obey();
  }
}

function ignore(): void { /* its close follows */ }

function trailersOf(back: IncomingMessage): [string, string][] {
  const list: [string, string][] = [];
  for (const [name, values] of Object.entries(back.trailersDistinct)) for (const value of values ?? []) list.push([name, value]);
  return list;
}

function breakOff(entry: Entry): void {
  const { returned, asked } = entry;
  // To a client of HTTP/1.0 an ordinary close would look like the end.
  if (asked.httpVersion === '1.0') returned.socket?.resetAndDestroy();
  returned.destroy();
}

if (import.meta.vitest) {
  const { test, expect } = import.meta.vitest;
  const { createServer: createTcp } = await import('node:net');
  const { interval } = await import('rxjs');
  type Subscription = import('rxjs').Subscription;
  const { compile } = await import('../code/Language.js');
  const { Counters: CountersClass } = await import('../kin/Counters.js');
  const { monotonicNow } = await import('../kin/Clock.js');
  const { call } = await import('../kin/Call.js');
  const { IncomingMessage: IncomingMessageClass } = await import('node:http');
  const { Decision: DecisionClass, DECISION_DEFAULTS } = await import('./Decision.js');
  const TEXT = 'map POST /c to check\nmap GET /l/* to lookup\nmap POST /l/* to lookup\nrow check m weight 9 late 400ms once stream\nrow check w weight 9 late 400ms once whole\nrow lookup @k weight 5 late 5s repeatable';

  type Behave = (asked: IncomingMessage, returned: ServerResponse, count: number) => void;

  /** News comes in just after a request was drawn, before its connection stands. */
  class MarkingDecision extends DecisionClass {
    readonly #onGate: (decision: Decision) => void;
    constructor(onGate: (decision: Decision) => void) {
      super({ ...DECISION_DEFAULTS, blindMs: 60_000, me: 'f' });
      this.#onGate = onGate;
    }
    override gate(now: Moment, asked: Asked): void {
      super.gate(now, asked);
      process.nextTick(this.#onGate, this);
    }
  }

  /** A proxy before two back ends that behave as told. */
  class Bench {
    readonly seen: string[] = [];
    readonly counters = new CountersClass();
    readonly servers: Server[] = [];
    executor: Executor | undefined;
    address = '';
    decision: Decision | undefined;
    beats: Subscription | undefined;
    onGate: ((decision: Decision) => void) | undefined;

    #beat(): void { this.executor?.beat(monotonicNow()); }

    async start(behaves: readonly Behave[], hasDead = false): Promise<void> {
      const runners = [];
      for (const [index, behave] of behaves.entries()) {
        const seen = this.seen;
        let count = 0;
        function take(asked: IncomingMessage, returned: ServerResponse): void {
          seen.push(`r${index}`);
          count += 1;
          behave(asked, returned, count);
        }
        const server = createServer(take);
        this.servers.push(server);
        const port = await listenOn(server, '127.0.0.1:0');
        runners.push({ id: `r${index}`, address: `127.0.0.1:${port}`, zone: 'z', service: '', slots: 4, upMs: 60_000 }, { id: `k${index}`, address: `127.0.0.1:${port}`, zone: 'z', service: 'k', slots: 0, upMs: 0 });
      }
      if (hasDead) {
        // A port that was just closed: nobody is reached there.
        const closed = createTcp();
        const port = await listenOn(closed, '127.0.0.1:0');
        closed.close();
        await once(closed, 'close');
        runners.unshift({ id: 'dead', address: `127.0.0.1:${port}`, zone: 'z', service: '', slots: 4, upMs: 60_000 });
      }
      const decision = this.onGate ? new MarkingDecision(this.onGate) : new DecisionClass({ ...DECISION_DEFAULTS, blindMs: 60_000, me: 'f' });
      const now = monotonicNow();
      decision.news(now, 'config', { epoch: 2, count: 1 }, JSON.stringify({ number: 1, table: compile(TEXT).table, emptied: [], voters: [] }));
      const seats = [];
      for (const { id, service } of runners) if (service === '') seats.push({ runner: id, primary: seats.length === 0, adapters: [] });
      const places = [{ model: 'm', seats, wait: '' }, { model: 'w', seats, wait: '' }];
      decision.news(now, 'places', { epoch: 2, count: 1 }, JSON.stringify({ places, runners, flows: 1, shares: [] }));
      decision.vouch(decision.ask(now), { epoch: 0, count: 0 }, 0);
      this.decision = decision;
      this.executor = new Executor(decision, { maxBodyBytes: 4096, connectMs: 300, silentMs: 200 }, this.counters, monotonicNow);
      this.beats = interval(20).subscribe(this.#beat.bind(this));
      this.address = `127.0.0.1:${await this.executor.listen('127.0.0.1:0')}`;
    }

    post(model: string): ReturnType<typeof call> { return call('POST', this.address, '/c', JSON.stringify({ model }), 5000); }

    async stop(): Promise<void> {
      this.beats?.unsubscribe();
      await this.executor?.drain(0);
      for (const server of this.servers) { server.closeAllConnections(); server.close(); }
    }
  }
  function withBench(behaves: readonly Behave[], check: (bench: Bench) => Promise<void>, hasDead = false): () => Promise<void> {
    async function run(): Promise<void> {
      const bench = new Bench();
      await bench.start(behaves, hasDead);
      try { await check(bench); } finally { await bench.stop(); }
    }
    return run;
  }
  function sayHello(_asked: IncomingMessage, returned: ServerResponse): void { returned.end('hello'); }
  function cutAtOnce(asked: IncomingMessage): void { asked.socket.destroy(); }
  function cutInMidst(asked: IncomingMessage, returned: ServerResponse): void {
    returned.writeHead(200, { 'content-type': 'text/plain' });
    returned.write('half a');
    setImmediate(asked.socket.destroy.bind(asked.socket));
  }
  function beFull(_asked: IncomingMessage, returned: ServerResponse): void { returned.writeHead(503, { 'x-run': 'none' }).end('full'); }
  function saySilent(): void { /* it never returns anything */ }

  async function checkOnceBroken(bench: Bench): Promise<void> {
    const returned = await bench.post('m');
    expect(returned.status).toBe(502);
    expect(returned.body).toContain('"outcome":"unsure"');
    expect(returned.headers['retry-after']).toBeUndefined();
    expect(bench.seen).toEqual(['r0']);
  }
  async function checkUnreached(bench: Bench): Promise<void> {
    expect((await bench.post('m')).body).toBe('hello');
    expect(bench.seen).toEqual(['r0']);
  }
  async function checkFull(bench: Bench): Promise<void> {
    expect((await bench.post('m')).body).toBe('hello');
    expect(bench.seen).toEqual(['r0', 'r1']);
  }
  async function checkAllFull(bench: Bench): Promise<void> {
    const returned = await bench.post('m');
    expect(returned.status).toBe(503);
    expect(Number(returned.headers['retry-after'])).toBeGreaterThan(0);
    expect(returned.body).toContain('turned-away');
  }
  async function checkBrokenStream(bench: Bench): Promise<void> {
    await expect(bench.post('m')).rejects.toThrow();
    expect(bench.seen).toEqual(['r0']);
    expect(bench.counters.get('streams.broken')).toBe(1);
  }
  async function checkRepeat(bench: Bench): Promise<void> {
    expect((await call('GET', bench.address, '/l/1', undefined, 5000)).body).toBe('hello');
    expect(bench.seen).toHaveLength(2);
    expect(bench.counters.get('repeats')).toBe(1);
  }
  async function checkLate(bench: Bench): Promise<void> {
    const returned = await bench.post('w');
    expect(returned.status).toBe(504);
    expect(returned.body).toContain('unsure');
  }
  async function checkBodies(bench: Bench): Promise<void> {
    expect((await call('POST', bench.address, '/c', '{"model":', 5000)).status).toBe(400);
    expect((await call('POST', bench.address, '/c', JSON.stringify({ model: 'm', pad: 'x'.repeat(5000) }), 5000)).status).toBe(413);
    expect((await call('POST', bench.address, '/none', '{}', 5000)).status).toBe(404);
    expect((await bench.post('other')).status).toBe(404);
    expect(bench.seen).toEqual([]);
  }
  /** The back end closes its kept-alive connection just as the next request is on its way there. */
  function closeAfterFirst(asked: IncomingMessage, returned: ServerResponse, count: number): void {
    if (count === 1) returned.end('hello');
    else if (count === 2) asked.socket.destroy();
    else returned.end('hello');
  }
  async function checkStale(bench: Bench): Promise<void> {
    expect((await bench.post('m')).body).toBe('hello');
    // A once-only request is never sent on a kept connection, so a break is always told as unsure, and it is sent once.
    expect((await bench.post('m')).status).toBe(502);
    expect(bench.seen).toEqual(['r0', 'r0']);
  }
  /** A client that has its return's head and reads no further. */
  async function beginRequest(address: string): Promise<ClientRequest> {
    const { host, port } = splitAddress(address);
    const sent = request({ host, port, method: 'POST', path: '/c' });
    sent.on('error', saySilent);
    sent.end(JSON.stringify({ model: 'm' }));
    const [back]: unknown[] = await once(sent, 'response');
    if (back instanceof Object && 'on' in back && typeof back.on === 'function') back.on('error', saySilent);
    return sent;
  }
  async function checkClientGone(): Promise<void> {
    const bench = new Bench();
    const events: string[] = [];
    let tellCut: () => void = saySilent;
    function onCut(done: () => void): void { tellCut = done; }
    const cut = new Promise<void>(onCut);
    function watch(asked: IncomingMessage, returned: ServerResponse): void {
      returned.writeHead(200);
      returned.write('begin');
      returned.once('close', note);
      asked.resume();
    }
    function note(): void { events.push('cancelled'); tellCut(); }
    await bench.start([watch]);
    const sent = await beginRequest(bench.address);
    sent.destroy();
    await cut;
    expect(events).toEqual(['cancelled']);
    await bench.stop();
  }
  async function checkSlowClient(): Promise<void> {
    const bench = new Bench();
    let produced = 0;
    const LIMIT = 64 * 1024 * 1024;
    function pour(_asked: IncomingMessage, returned: ServerResponse): void {
      const chunk = Buffer.alloc(64 * 1024);
      function more(): void {
        while (produced < LIMIT) {
          produced += chunk.length;
          if (!returned.write(chunk)) { returned.once('drain', more); return; }
        }
      }
      more();
    }
    await bench.start([pour]);
    const sent = await beginRequest(bench.address);
    // The client reads nothing: the runner must be held back long before it has poured everything out.
    let before = -1;
    for (let calm = 0; calm < 2000; calm = produced === before ? calm + 1 : 0) { before = produced; await new Promise(setImmediate); }
    expect(produced).toBeLessThan(LIMIT / 2);
    sent.destroy();
    await bench.stop();
  }
  function markFirst(decision: Decision): void {
    decision.news(monotonicNow(), 'machines', { epoch: 0, count: 5 }, JSON.stringify({ revision: 5, machines: [{ id: 'r0', address: 'r0:1', zone: 'z', service: '', leaving: true }] }));
  }
  async function checkMarkedMeanwhile(): Promise<void> {
    const bench = new Bench();
    bench.onGate = markFirst;
    await bench.start([sayHello, sayHello]);
    expect((await bench.post('m')).body).toBe('hello');
    expect(bench.seen).toEqual(['r1']);
    await bench.stop();
  }
  function goSilent(_asked: IncomingMessage, returned: ServerResponse): void { returned.writeHead(200); returned.write('half a'); }
  async function checkSilent(bench: Bench): Promise<void> {
    await expect(bench.post('m')).rejects.toThrow();
    expect(bench.decision?.running).toBe(0);
    expect(bench.counters.get('returns.silent')).toBe(1);
  }
  /** Its return has neither length nor chunks: whether it is whole can be told from nothing. */
  function sayUnbounded(asked: IncomingMessage): void { asked.socket.end('HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\nhalf a'); }
  async function checkUnbounded(bench: Bench): Promise<void> {
    await expect(bench.post('m')).rejects.toThrow();
    expect(bench.seen).toEqual(['r0']);
  }
  function sayTwoEnds(asked: IncomingMessage): void { asked.socket.end('HTTP/1.1 200 OK\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n'); }
  async function checkTwoEnds(bench: Bench): Promise<void> { expect((await bench.post('m')).body).toContain('unsure'); }
  async function sendRaw(bench: Bench, method: string, path: string, body?: Buffer): Promise<{ readonly back: IncomingMessage; readonly body: Buffer }> {
    const { host, port } = splitAddress(bench.address);
    const sent = request({ host, port, method, path, agent: false });
    sent.end(body);
    const [back]: unknown[] = await once(sent, 'response');
    if (!(back instanceof IncomingMessageClass)) throw new Error('no return');
    return { back, body: await readBytes(back, 1 << 20) };
  }
  function echo(asked: IncomingMessage, returned: ServerResponse): void {
    returned.writeHead(200, { 'set-cookie': ['a=1', 'b=2'], trailer: 'x-sum' });
    asked.on('data', returned.write.bind(returned));
    function end(): void { returned.addTrailers({ 'x-sum': '7' }); returned.end(); }
    asked.on('end', end);
  }
  async function checkBytes(bench: Bench): Promise<void> {
    const bytes = Buffer.from([0xff, 0xfe, 0x00, 0x80, 0x41, 0xc3]);
    const { back, body } = await sendRaw(bench, 'POST', '/l/1', bytes);
    expect(body.equals(bytes)).toBe(true);
    expect(back.headers['set-cookie']).toEqual(['a=1', 'b=2']);
    expect(back.trailers['x-sum']).toBe('7');
  }
  function sayByMethod(asked: IncomingMessage, returned: ServerResponse): void {
    if (asked.method === 'HEAD') returned.writeHead(200, { 'content-length': '1234' }).end();
    else returned.writeHead(asked.url === '/l/204' ? 204 : 304, { etag: 'x' }).end();
  }
  async function checkBodiless(bench: Bench): Promise<void> {
    const head = await sendRaw(bench, 'HEAD', '/l/1');
    expect([head.back.statusCode, head.back.headers['content-length']]).toEqual([200, '1234']);
    expect((await sendRaw(bench, 'GET', '/l/204')).back.statusCode).toBe(204);
    expect((await sendRaw(bench, 'GET', '/l/304')).back.statusCode).toBe(304);
  }
  /** It returns before it has read the body. */
  function sayEarly(_asked: IncomingMessage, returned: ServerResponse): void { returned.writeHead(413, { connection: 'close' }).end('too much'); }
  async function checkEarly(bench: Bench): Promise<void> {
    const { back, body } = await sendRaw(bench, 'POST', '/l/1', Buffer.alloc(4000, 7));
    expect([back.statusCode, body.toString()]).toEqual([413, 'too much']);
  }
  async function checkStaleKept(bench: Bench): Promise<void> {
    expect((await call('GET', bench.address, '/l/1', undefined, 5000)).body).toBe('hello');
    // The only back end closed its kept connection just as it was written to: that is no break of its own.
    expect((await call('GET', bench.address, '/l/1', undefined, 5000)).body).toBe('hello');
    expect(bench.counters.get('runs.stale')).toBe(1);
  }
  test('a runner marked between the draw and the first byte gets nothing', checkMarkedMeanwhile);
  test('a return that stands still is broken off and its slot is free', withBench([goSilent], checkSilent));
  test('a return without length or chunks never looks finished', withBench([sayUnbounded, sayHello], checkUnbounded));
  test('a return with both length and chunks is none', withBench([sayTwoEnds], checkTwoEnds));
  test('bodies, repeated headers and trailers are passed on byte for byte', withBench([echo], checkBytes));
  test('heads asked for, 204 and 304 are passed on as they are', withBench([sayByMethod], checkBodiless));
  test('a return that begins before the body is read is passed on', withBench([sayEarly], checkEarly));
  test('a stale kept connection does not bar its back end', withBench([closeAfterFirst], checkStaleKept));
  test('a once-only request whose runner breaks off is unsure and never sent again', withBench([cutAtOnce, sayHello], checkOnceBroken));
  test('a runner that is not reached costs nothing: the next one runs it', withBench([sayHello], checkUnreached, true));
  test('a runner that says it has not begun is left for the next', withBench([beFull, sayHello], checkFull));
  test('when all say so the client is told when to come back', withBench([beFull, beFull], checkAllFull));
  test('a stream that breaks is visibly broken and not stitched', withBench([cutInMidst, sayHello], checkBrokenStream));
  test('a repeatable request runs again elsewhere, within its budget', withBench([cutAtOnce, sayHello], checkRepeat));
  test('a run that passes its limit is told as unsure', withBench([saySilent], checkLate));
  test('bad bodies and unknown names never reach a runner', withBench([sayHello], checkBodies));
  test('a stale kept-alive connection causes no repeat and no false turning away', withBench([closeAfterFirst], checkStale));
  test('a client that leaves cancels its run', checkClientGone);
  test('a slow client holds its runner back instead of our memory', checkSlowClient);
}
