import { Agent, request, type IncomingMessage } from 'node:http';
import { string, type } from 'superstruct';
import { parseAs } from '../common/json.js';
import { parseAddress } from '../common/listen.js';
import type { TrafficKind } from './deployment.js';
import { LineCheck } from './line-check.js';
import type { CallerRecord } from './records.js';
import { SeededRandom } from './seeded-random.js';

const OutcomeShape = type({ outcome: string() });

/** Generates a deployment's mix of traffic, sends it to the proxies and records the responses. */
export class Callers {
  readonly #proxies: readonly string[];
  readonly #seeded: SeededRandom;
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 2000 });
  readonly #records: CallerRecord[] = [];
  readonly #timers: NodeJS.Timeout[] = [];
  #sentCount = 0;
  #inFlightCount = 0;
  #onIdle: (() => void) | undefined;

  constructor(proxies: readonly string[], seed: number) {
    this.#proxies = proxies;
    this.#seeded = new SeededRandom(seed);
  }

  /** One record for each finished request, in the order in which they finished. */
  get records(): readonly CallerRecord[] {
    return this.#records;
  }

  /** Starts to send a kind of traffic at its rate times `factor`, with exponentially distributed gaps between requests. */
  start(kind: TrafficKind, factor = 1): void {
    const self = {
      send: (kind: TrafficKind, model?: string, flow?: string) => this.send(kind, model, flow),
      seeded: this.#seeded,
      timers: this.#timers,
    };
    function next(): void {
      const gapMs = (-Math.log(1 - self.seeded.next()) * 1000) / (kind.perSecond * factor);
      const timer = setTimeout(fire, gapMs);
      self.timers.push(timer);
    }
    function fire(): void {
      void self.send(kind);
      next();
    }
    next();
  }

  /** Stops sending and waits until no request is in flight. */
  async stop(): Promise<void> {
    for (const timer of this.#timers) clearTimeout(timer);
    if (this.#inFlightCount > 0) await new Promise<void>((done) => this.#setIdle(done));
    this.#agent.destroy();
  }

  #setIdle(done: () => void): void {
    this.#onIdle = done;
  }

  /**
   * Sends one request and resolves with its record. The model and the proxy are chosen at random unless given; a
   * failed request is recorded as well.
   */
  async send(kind: TrafficKind, model?: string, flow?: string): Promise<CallerRecord> {
    this.#sentCount += 1;
    this.#inFlightCount += 1;
    const id = `${kind.type}-${this.#sentCount}`;
    const address = flow ?? this.#seeded.pick(this.#proxies) ?? '';
    const chosenModel = model ?? this.#seeded.pickSkewed(kind.models) ?? '';
    const hasAdapter =
      this.#seeded.isLikely(0.3) &&
      kind.models.length > 0 &&
      !chosenModel.startsWith('rare') &&
      !chosenModel.startsWith('seldom');
    const adapter = hasAdapter ? `${chosenModel}-a0` : '';
    const parts: string[] = [];
    const group = this.#seeded.below(4);
    for (let index = 0; index < kind.parts; index += 1)
      parts.push(`${chosenModel}-${group}-${index}`);
    const body =
      kind.models.length === 0
        ? ''
        : JSON.stringify({
            model: chosenModel,
            adapter,
            parts,
            tokens: kind.tokens,
            stream: kind.stream,
          });
    const path = kind.models.length === 0 ? `${kind.path}/${this.#sentCount}` : kind.path;
    const record = await this.#call(kind, id, chosenModel, address, path, body);
    this.#records.push(record);
    this.#inFlightCount -= 1;
    if (this.#inFlightCount === 0) this.#onIdle?.();
    return record;
  }

  #call(
    kind: TrafficKind,
    id: string,
    model: string,
    flow: string,
    path: string,
    body: string,
  ): Promise<CallerRecord> {
    const { host, port } = parseAddress(flow);
    const sentAt = Date.now();
    const base = {
      what: 'call',
      id,
      type: kind.type,
      model,
      once: kind.once,
      flow,
      sentAt,
      retryAfter: 0,
      run: '',
      isWhole: false,
      fault: '',
      table: -1,
    };
    const headers = {
      'x-request-id': id,
      ...(body === ''
        ? {}
        : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) }),
    };
    const agent = this.#agent;
    return new Promise((resolve: (record: CallerRecord) => void) => {
      let isFinished = false;
      function finish(result: Partial<CallerRecord> & { status: number; outcome: string }): void {
        if (isFinished) return;
        isFinished = true;
        resolve({ ...base, endedAt: Date.now(), ...result });
      }
      const clientRequest = request({
        host,
        port,
        method: kind.method,
        path,
        headers,
        agent,
        timeout: 120_000,
      });
      clientRequest.once('response', (response: IncomingMessage) => {
        const status = response.statusCode ?? 0;
        const table = Number(response.headers['x-table'] ?? -1);
        const check = new LineCheck(id);
        let text = '';
        response.setEncoding('utf8');
        function abort(): void {
          finish({ status, outcome: 'broken', run: check.run, table });
        }
        response.on('data', (chunk: string) => {
          if (status === 200) check.take(chunk);
          else text += chunk;
        });
        response.once('end', () => {
          if (!response.complete) {
            abort();
            return;
          }
          if (status === 200) {
            check.end();
            finish({
              status,
              outcome: 'done',
              run: check.run,
              isWhole: true,
              fault: check.fault,
              table,
            });
          } else {
            const outcome = parseAs(OutcomeShape, text)?.outcome ?? 'other';
            finish({
              status,
              outcome,
              isWhole: true,
              retryAfter: Number(response.headers['retry-after'] ?? 0),
              table,
            });
          }
        });
        response.once('error', abort);
        response.once('close', abort);
      });
      clientRequest.once('error', () => {
        finish({ status: 0, outcome: 'unreached' });
      });
      clientRequest.end(body === '' ? undefined : body);
    });
  }
}

/** Requests of one type, counted by outcome. */
export interface OutcomeSummary {
  readonly type: string;
  readonly sent: number;
  readonly done: number;
  readonly turnedAway: number;
  readonly unsure: number;
  readonly broken: number;
  readonly unreached: number;
  readonly other: number;
}

/** Counts the outcomes of requests by request type. */
export function summarizeOutcomes(records: readonly CallerRecord[]): OutcomeSummary[] {
  const byType = new Map<string, OutcomeSummary>();
  for (const record of records) {
    const summary = byType.get(record.type) ?? {
      type: record.type,
      sent: 0,
      done: 0,
      turnedAway: 0,
      unsure: 0,
      broken: 0,
      unreached: 0,
      other: 0,
    };
    const key =
      (
        {
          done: 'done',
          'turned-away': 'turnedAway',
          unsure: 'unsure',
          broken: 'broken',
          unreached: 'unreached',
        } as const
      )[record.outcome] ?? 'other';
    byType.set(record.type, { ...summary, sent: summary.sent + 1, [key]: summary[key] + 1 });
  }
  return [...byType.values()];
}
