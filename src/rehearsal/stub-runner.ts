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

/** Settings of a `StubRunner`. */
export interface StubRunnerSettings {
  readonly id: string;
  /** Capacity for models and adapters, in the unit of their sizes. */
  readonly room: number;
  /** Requests that it runs concurrently. */
  readonly slots: number;
  /** Address of the weight store. */
  readonly store: string;
  /** Path of the file of records; none are written if empty. */
  readonly records: string;
  /** Time to generate a token, ms. */
  readonly tokenMs: number;
  /** Time to process a prompt part that is not cached, ms. */
  readonly partMs: number;
  /** Time after its start during which it is slower, ms. */
  readonly coldMs: number;
}

/** A model, or an adapter of a model, that the runner holds. */
interface LoadedUnit {
  readonly model: string;
  readonly adapter: string;
  readonly size: number;
  state: Hold['state'];
  running: number;
}

/** A stub of a model runner: loads and unloads models and adapters on order, runs requests, and records all of it. */
export class StubRunner {
  readonly #settings: StubRunnerSettings;
  readonly #server: StubServer;
  readonly #boot = randomUUID();
  readonly #startedAt = Date.now();
  readonly #holds = new Map<string, LoadedUnit>();
  readonly #orderIds = new Set<string>();
  #cachedParts: string[] = [];
  #runningCount = 0;

  constructor(settings: StubRunnerSettings) {
    this.#settings = settings;
    this.#server = new StubServer(
      (method, path, body, response, request) => this.#serve(method, path, body, response, request),
      settings.records,
    );
  }

  /** Records the boot id and starts to listen; resolves with the port. */
  async listen(address: string): Promise<number> {
    this.#server.record({ what: 'boot', runner: this.#settings.id, boot: this.#boot });
    return this.#server.listen(address);
  }

  /** Closes the server and its connections. */
  close(): void {
    this.#server.close();
  }

  #serve(
    method: string,
    path: string,
    body: string,
    response: ServerResponse,
    request: IncomingMessage,
  ): Promise<void> | void {
    if (method === 'GET' && path === '/report') return replyJson(response, 200, this.#report());
    if (method === 'POST' && path === '/orders') return this.#order(body, response, request);
    if (method === 'POST' && path === '/run') return this.#run(body, response, request);
    return replyJson(response, 404, { text: 'no such thing here' });
  }

  #report(): object {
    const holds: Hold[] = [];
    for (const unit of this.#holds.values()) holds.push({ ...unit });
    return {
      id: this.#settings.id,
      boot: this.#boot,
      room: this.#settings.room,
      slots: this.#settings.slots,
      upMs: Date.now() - this.#startedAt,
      holds,
    };
  }

  #usedCapacity(): number {
    let used = 0;
    for (const unit of this.#holds.values()) used += unit.size;
    return used;
  }

  #order(body: string, response: ServerResponse, request: IncomingMessage): void {
    const order = parseAs(OrderShape, body);
    if (!order) {
      replyJson(response, 400, { text: 'no order' });
      return;
    }
    const maxDelayMs = Number(request.headers['x-take-within-ms'] ?? Infinity);
    if (this.#server.msSinceContinue(request) > maxDelayMs) {
      this.#server.record({
        what: 'late-order',
        runner: this.#settings.id,
        order: order.id,
        holder: order.holder,
        epoch: order.epoch,
      });
      replyJson(response, 409, { text: 'too late after the word to go on' });
      return;
    }
    const key = `${order.model}\n${order.adapter}`;
    const unit = this.#holds.get(key);
    const fits = this.#usedCapacity() + order.size <= this.#settings.room;
    this.#server.record({
      what: 'order',
      runner: this.#settings.id,
      order: order.id,
      verb: order.verb,
      model: order.model,
      adapter: order.adapter,
      holder: order.holder,
      epoch: order.epoch,
      isRepeat: this.#orderIds.has(order.id),
      overRoom: order.verb === 'load' && !unit && !fits && !this.#orderIds.has(order.id),
      staleBoot: order.boot !== this.#boot,
    });
    if (order.boot !== this.#boot) {
      replyJson(response, 409, { text: 'meant for who was here before' });
      return;
    }
    if (this.#orderIds.has(order.id)) {
      replyJson(response, 202, { text: 'already taken' });
      return;
    }
    this.#orderIds.add(order.id);
    if (order.verb === 'load') {
      if (unit) {
        replyJson(response, 202, { text: 'held' });
        return;
      }
      if (!fits) {
        replyJson(response, 409, { text: 'does not fit' });
        return;
      }
      const next: LoadedUnit = {
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
    replyJson(response, 202, { text: 'taken' });
  }

  async #fetch(key: string, unit: LoadedUnit): Promise<void> {
    try {
      const response = await call(
        'POST',
        this.#settings.store,
        '/fetches',
        JSON.stringify({ runner: this.#settings.id, model: unit.model, adapter: unit.adapter }),
        60_000,
      );
      if (response.status !== 200) throw new Error('the store rejected the fetch');
      unit.state = 'ready';
    } catch {
      this.#holds.delete(key);
    }
  }

  #dropIfIdle(key: string, unit: LoadedUnit): void {
    if (unit.state === 'unloading' && unit.running === 0) this.#holds.delete(key);
  }

  async #run(body: string, response: ServerResponse, request: IncomingMessage): Promise<void> {
    const id = String(request.headers['x-request-id'] ?? '');
    const run = parseAs(RunShape, body);
    if (!run) {
      replyJson(response, 400, { text: 'no request' }, { 'x-run': 'none' });
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
    if (!unit || !isHeld || this.#runningCount >= this.#settings.slots)
      this.#server.record({ what: 'none', runner: this.#settings.id, id });
    if (!unit || !isHeld) {
      replyJson(response, 409, { text: 'not held here' }, { 'x-run': 'none' });
      return;
    }
    if (this.#runningCount >= this.#settings.slots) {
      replyJson(response, 503, { text: 'full' }, { 'x-run': 'none' });
      return;
    }
    this.#runningCount += 1;
    unit.running += 1;
    const runId = randomUUID();
    const upMs = Date.now() - this.#startedAt;
    const parts = run.parts ?? [];
    const kept = parts.filter(this.#cachedParts.includes, this.#cachedParts).length;
    this.#cachedParts = [
      ...parts,
      ...this.#cachedParts.filter((part) => !parts.includes(part)),
    ].slice(0, 24);
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
      concurrent: this.#runningCount,
    });
    const slowdownFactor = upMs < this.#settings.coldMs ? 3 : 1;
    const isComplete = await this.#respond(
      run.tokens ?? 8,
      (parts.length - kept) * this.#settings.partMs * slowdownFactor,
      this.#settings.tokenMs * slowdownFactor,
      run.stream === true,
      runId,
      id,
      response,
    );
    this.#runningCount -= 1;
    unit.running -= 1;
    this.#dropIfIdle(`${run.model}\n`, unit);
    this.#server.record({
      what: 'ran',
      runner: this.#settings.id,
      id,
      run: runId,
      whole: isComplete,
    });
  }

  /**
   * Writes one numbered line per token and a last line with the number of tokens, streamed or at once. Returns false if the
   * connection was closed before the response was complete.
   */
  async #respond(
    tokens: number,
    promptMs: number,
    tokenMs: number,
    isStream: boolean,
    run: string,
    id: string,
    response: ServerResponse,
  ): Promise<boolean> {
    await pause(promptMs);
    const lines: string[] = [];
    if (isStream) response.writeHead(200, { 'content-type': 'application/x-ndjson' });
    for (let index = 0; index < tokens; index += 1) {
      await pause(tokenMs);
      if (response.destroyed) return false;
      const line = `${JSON.stringify({ id, run, index, runner: this.#settings.id })}\n`;
      if (!isStream) lines.push(line);
      else if (!response.write(line)) await untilDrained(response);
    }
    lines.push(`${JSON.stringify({ id, run, end: tokens })}\n`);
    if (response.destroyed) return false;
    if (!isStream)
      response.writeHead(200, {
        'content-type': 'application/x-ndjson',
        'content-length': Buffer.byteLength(lines.join('')),
      });
    await new Promise<void>((done: () => void) => {
      response.once('close', done);
      response.end(lines.join(''), done);
    });
    return response.writableFinished;
  }
}

/** Resolves after a time, ms; at once for a time of 0 or less. */
export function pause(millis: number): Promise<void> {
  return millis > 0
    ? new Promise((resolve: () => void) => {
        setTimeout(resolve, millis);
      })
    : Promise.resolve();
}

function untilDrained(response: ServerResponse): Promise<void> {
  return new Promise((done: () => void) => {
    response.once('drain', done);
    response.once('close', done);
  });
}
