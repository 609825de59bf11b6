import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { array, boolean, number, optional, string, type } from 'superstruct';
import { call } from '../common/call.js';
import { parseAs } from '../common/json.js';
import type { Hold } from '../placement/shapes.js';
import { replyJson, StubServer } from './stub-server.js';

const OrderShape = type({
  id: string(),
  verb: string(),
  model: string(),
  adapter: string(),
  boot: string(),
  size: number(),
  holder: string(),
  epoch: number(),
});
const RunShape = type({
  model: string(),
  adapter: optional(string()),
  parts: optional(array(string())),
  tokens: optional(number()),
  stream: optional(boolean()),
});

export interface StubRunnerSettings {
  readonly id: string;
  readonly room: number;
  readonly slots: number;
  readonly store: string;
  readonly records: string;
  /** Milliseconds a token takes, and a prompt part that is not kept. */
  readonly tokenMs: number;
  readonly partMs: number;
  /** How long after its start it is slower. */
  readonly coldMs: number;
}

interface HeldUnit {
  readonly model: string;
  readonly adapter: string;
  readonly size: number;
  state: Hold['state'];
  running: number;
}

/** A stub for a model runner: holds models and adapters in its room, obeys orders, runs requests, records all. */
export class StubRunner {
  readonly #settings: StubRunnerSettings;
  readonly #server: StubServer;
  readonly #boot = randomUUID();
  readonly #bornAt = Date.now();
  readonly #holds = new Map<string, HeldUnit>();
  readonly #orders = new Set<string>();
  #keptParts: string[] = [];
  #running = 0;

  constructor(settings: StubRunnerSettings) {
    this.#settings = settings;
    this.#server = new StubServer(
      (method, path, body, returned, asked) => this.#serve(method, path, body, returned, asked),
      settings.records,
    );
  }

  async listen(address: string): Promise<number> {
    this.#server.record({ what: 'boot', runner: this.#settings.id, boot: this.#boot });
    return this.#server.listen(address);
  }

  close(): void {
    this.#server.close();
  }

  #serve(
    method: string,
    path: string,
    body: string,
    returned: ServerResponse,
    asked: IncomingMessage,
  ): Promise<void> | void {
    if (method === 'GET' && path === '/report') return replyJson(returned, 200, this.#report());
    if (method === 'POST' && path === '/orders') return this.#order(body, returned, asked);
    if (method === 'POST' && path === '/run') return this.#run(body, returned, asked);
    return replyJson(returned, 404, { text: 'no such thing here' });
  }

  #report(): object {
    const holds: Hold[] = [];
    for (const unit of this.#holds.values()) holds.push({ ...unit });
    return {
      id: this.#settings.id,
      boot: this.#boot,
      room: this.#settings.room,
      slots: this.#settings.slots,
      upMs: Date.now() - this.#bornAt,
      holds,
    };
  }

  #used(): number {
    let used = 0;
    for (const unit of this.#holds.values()) used += unit.size;
    return used;
  }

  #order(body: string, returned: ServerResponse, asked: IncomingMessage): void {
    const order = parseAs(OrderShape, body);
    if (!order) {
      replyJson(returned, 400, { text: 'no order' });
      return;
    }
    const within = Number(asked.headers['x-take-within-ms'] ?? Infinity);
    if (this.#server.sinceContinue(asked) > within) {
      this.#server.record({
        what: 'late-order',
        runner: this.#settings.id,
        order: order.id,
        holder: order.holder,
        epoch: order.epoch,
      });
      replyJson(returned, 409, { text: 'too late after the word to go on' });
      return;
    }
    const key = `${order.model}\n${order.adapter}`;
    const unit = this.#holds.get(key);
    const fits = this.#used() + order.size <= this.#settings.room;
    this.#server.record({
      what: 'order',
      runner: this.#settings.id,
      order: order.id,
      verb: order.verb,
      model: order.model,
      adapter: order.adapter,
      holder: order.holder,
      epoch: order.epoch,
      isRepeat: this.#orders.has(order.id),
      overRoom: order.verb === 'load' && !unit && !fits && !this.#orders.has(order.id),
      staleBoot: order.boot !== this.#boot,
    });
    if (order.boot !== this.#boot) {
      replyJson(returned, 409, { text: 'meant for who was here before' });
      return;
    }
    if (this.#orders.has(order.id)) {
      replyJson(returned, 202, { text: 'already taken' });
      return;
    }
    this.#orders.add(order.id);
    if (order.verb === 'load') {
      if (unit) {
        replyJson(returned, 202, { text: 'held' });
        return;
      }
      if (!fits) {
        replyJson(returned, 409, { text: 'does not fit' });
        return;
      }
      const next: HeldUnit = {
        model: order.model,
        adapter: order.adapter,
        size: order.size,
        state: 'loading',
        running: 0,
      };
      this.#holds.set(key, next);
      void this.#fetch(key, next);
    } else if (unit && unit.state === 'ready') {
      unit.state = 'unloading';
      this.#dropIfIdle(key, unit);
    }
    replyJson(returned, 202, { text: 'taken' });
  }

  async #fetch(key: string, unit: HeldUnit): Promise<void> {
    try {
      const returned = await call(
        'POST',
        this.#settings.store,
        '/fetches',
        JSON.stringify({ runner: this.#settings.id, model: unit.model, adapter: unit.adapter }),
        60_000,
      );
      if (returned.status !== 200) throw new Error('the store turned it away');
      unit.state = 'ready';
    } catch {
      this.#holds.delete(key);
    }
  }

  #dropIfIdle(key: string, unit: HeldUnit): void {
    if (unit.state === 'unloading' && unit.running === 0) this.#holds.delete(key);
  }

  async #run(body: string, returned: ServerResponse, asked: IncomingMessage): Promise<void> {
    const id = String(asked.headers['x-request-id'] ?? '');
    const run = parseAs(RunShape, body);
    if (!run) {
      replyJson(returned, 400, { text: 'no request' }, { 'x-run': 'none' });
      return;
    }
    const unit = this.#holds.get(`${run.model}\n`);
    const adapter =
      run.adapter === undefined || run.adapter === ''
        ? undefined
        : this.#holds.get(`${run.model}\n${run.adapter}`);
    const isHeld =
      unit?.state === 'ready' &&
      (run.adapter === undefined || run.adapter === '' || adapter?.state === 'ready');
    if (!unit || !isHeld || this.#running >= this.#settings.slots)
      this.#server.record({ what: 'none', runner: this.#settings.id, id });
    if (!unit || !isHeld) {
      replyJson(returned, 409, { text: 'not held here' }, { 'x-run': 'none' });
      return;
    }
    if (this.#running >= this.#settings.slots) {
      replyJson(returned, 503, { text: 'full' }, { 'x-run': 'none' });
      return;
    }
    this.#running += 1;
    unit.running += 1;
    const runId = randomUUID();
    const upMs = Date.now() - this.#bornAt;
    const parts = run.parts ?? [];
    const kept = parts.filter(this.#keptParts.includes, this.#keptParts).length;
    this.#keptParts = [...parts, ...this.#keptParts.filter((part) => !parts.includes(part))].slice(
      0,
      24,
    );
    this.#server.record({
      what: 'run',
      runner: this.#settings.id,
      id,
      run: runId,
      model: run.model,
      adapter: run.adapter ?? '',
      parts: parts.length,
      kept,
      upMs,
      concurrent: this.#running,
    });
    const slowness = upMs < this.#settings.coldMs ? 3 : 1;
    const isDone = await this.#produce(
      run.tokens ?? 8,
      (parts.length - kept) * this.#settings.partMs * slowness,
      this.#settings.tokenMs * slowness,
      run.stream === true,
      runId,
      id,
      returned,
    );
    this.#running -= 1;
    unit.running -= 1;
    this.#dropIfIdle(`${run.model}\n`, unit);
    this.#server.record({ what: 'ran', runner: this.#settings.id, id, run: runId, whole: isDone });
  }

  /** Streams one line a token, each numbered, and a last one that says it is the end. */
  async #produce(
    tokens: number,
    promptMs: number,
    tokenMs: number,
    isStream: boolean,
    run: string,
    id: string,
    returned: ServerResponse,
  ): Promise<boolean> {
    await pause(promptMs);
    const lines: string[] = [];
    if (isStream) returned.writeHead(200, { 'content-type': 'application/x-ndjson' });
    for (let index = 0; index < tokens; index += 1) {
      await pause(tokenMs);
      if (returned.destroyed) return false;
      const line = `${JSON.stringify({ id, run, index, runner: this.#settings.id })}\n`;
      if (!isStream) lines.push(line);
      else if (!returned.write(line)) await untilDrained(returned);
    }
    lines.push(`${JSON.stringify({ id, run, end: tokens })}\n`);
    if (returned.destroyed) return false;
    if (!isStream)
      returned.writeHead(200, {
        'content-type': 'application/x-ndjson',
        'content-length': Buffer.byteLength(lines.join('')),
      });
    await new Promise<void>((done: () => void) => {
      returned.once('close', done);
      returned.end(lines.join(''), done);
    });
    return returned.writableFinished;
  }
}

/** A stub takes time for its work as a real back end would. */
export function pause(millis: number): Promise<void> {
  return millis > 0
    ? new Promise((done: () => void) => {
        setTimeout(done, millis);
      })
    : Promise.resolve();
}

function untilDrained(returned: ServerResponse): Promise<void> {
  return new Promise((done: () => void) => {
    returned.once('drain', done);
    returned.once('close', done);
  });
}
