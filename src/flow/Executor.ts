import { Agent, createServer, request, type ClientRequest, type IncomingMessage, type OutgoingHttpHeaders, type Server, type ServerResponse } from 'node:http';
import { once } from 'node:events';
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
    const headers: OutgoingHttpHeaders = { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body), 'x-request-id': requestId };
    // A proxy that is blind works by no table at all.
    if (kind !== 'blind') headers['x-table'] = String(this.#decision.tableNumber);
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
    // Piping holds the runner back to the client's pace; if the runner's side breaks, the client's is destroyed.
    back.once('error', this.#ended.bind(this, run, false));
    back.once('close', this.#backClosed.bind(this, run, back));
    entry.returned.once('finish', this.#ended.bind(this, run, true));
    back.pipe(entry.returned);
  }

  #backClosed(run: Run, back: IncomingMessage): void {
    if (!back.complete) this.#ended(run, false);
  }

  #ended(run: Run, isWhole: boolean): void {
    if (run.isOver) return;
    run.isOver = true;
    if (!this.#entries.has(run.entry.id)) return;
    this.#forget(run.entry);
    if (!isWhole) {
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

if (import.meta.vitest) {
  const { test, expect } = import.meta.vitest;
  const { createServer: createTcp } = await import('node:net');
  const { compile } = await import('../code/Language.js');
  const { Counters: CountersClass } = await import('../kin/Counters.js');
  const { monotonicNow } = await import('../kin/Clock.js');
  const { call } = await import('../kin/Call.js');
  const { Decision: DecisionClass, DECISION_DEFAULTS } = await import('./Decision.js');
  const TEXT = 'map POST /c to check\nmap GET /l/* to lookup\nrow check m weight 9 late 400ms once stream\nrow check w weight 9 late 400ms once whole\nrow lookup @k weight 5 late 5s repeatable';

  type Behave = (asked: IncomingMessage, returned: ServerResponse, count: number) => void;

  /** A proxy before two back ends that behave as told. */
  class Bench {
    readonly seen: string[] = [];
    readonly counters = new CountersClass();
    readonly servers: Server[] = [];
    executor: Executor | undefined;
    address = '';

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
      const decision = new DecisionClass({ ...DECISION_DEFAULTS, blindMs: 60_000, me: 'f' });
      const now = monotonicNow();
      decision.news(now, 'config', { epoch: 2, count: 1 }, JSON.stringify({ number: 1, table: compile(TEXT).table, emptied: [], voters: [] }));
      const seats = [];
      for (const { id, service } of runners) if (service === '') seats.push({ runner: id, primary: seats.length === 0, adapters: [] });
      const places = [{ model: 'm', seats, wait: '' }, { model: 'w', seats, wait: '' }];
      decision.news(now, 'places', { epoch: 2, count: 1 }, JSON.stringify({ places, runners, flows: 1, shares: [] }));
      decision.vouch(decision.ask(now), { epoch: 0, count: 0 }, 0);
      this.executor = new Executor(decision, { maxBodyBytes: 4096, connectMs: 300 }, this.counters, monotonicNow);
      this.address = `127.0.0.1:${await this.executor.listen('127.0.0.1:0')}`;
    }

    post(model: string): ReturnType<typeof call> { return call('POST', this.address, '/c', JSON.stringify({ model }), 5000); }

    async stop(): Promise<void> {
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
