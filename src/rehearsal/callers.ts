import { Agent, request, type IncomingMessage } from 'node:http';
import { string, type } from 'superstruct';
import { parseAs } from '../common/json.js';
import { parseAddress } from '../common/listen.js';
import type { TrafficKind } from './deployment.js';
import { LineCheck } from './line-check.js';
import type { CallerRecord } from './records.js';
import { Seeded } from './seeded.js';

const OutcomeShape = type({ outcome: string() });

/** Sends a deployment's mix of traffic to its proxies and records what came back. */
export class Callers {
  readonly #flows: readonly string[];
  readonly #seeded: Seeded;
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 2000 });
  readonly #records: CallerRecord[] = [];
  readonly #ticks: NodeJS.Timeout[] = [];
  #count = 0;
  #running = 0;
  #onIdle: (() => void) | undefined;

  constructor(flows: readonly string[], seed: number) {
    this.#flows = flows;
    this.#seeded = new Seeded(seed);
  }

  get records(): readonly CallerRecord[] {
    return this.#records;
  }

  /** Begins a kind of traffic at its rate; the gaps between requests vary as callers' do. */
  begin(kind: TrafficKind, factor = 1): void {
    const self = {
      send: (kind: TrafficKind, model?: string, flow?: string) => this.send(kind, model, flow),
      seeded: this.#seeded,
      ticks: this.#ticks,
    };
    function next(): void {
      const gap = (-Math.log(1 - self.seeded.next()) * 1000) / (kind.perSecond * factor);
      const tick = setTimeout(fire, gap);
      self.ticks.push(tick);
    }
    function fire(): void {
      void self.send(kind);
      next();
    }
    next();
  }

  /** Stops sending and waits for what is under way. */
  async end(): Promise<void> {
    for (const tick of this.#ticks) clearTimeout(tick);
    if (this.#running > 0) await new Promise<void>((done) => this.#setIdle(done));
    this.#agent.destroy();
  }

  #setIdle(done: () => void): void {
    this.#onIdle = done;
  }

  async send(kind: TrafficKind, model?: string, flow?: string): Promise<CallerRecord> {
    this.#count += 1;
    this.#running += 1;
    const id = `${kind.type}-${this.#count}`;
    const address = flow ?? this.#seeded.pick(this.#flows) ?? '';
    const named = model ?? this.#seeded.pickSkewed(kind.models) ?? '';
    const hasAdapter =
      this.#seeded.isLikely(0.3) &&
      kind.models.length > 0 &&
      !named.startsWith('rare') &&
      !named.startsWith('seldom');
    const adapter = hasAdapter ? `${named}-a0` : '';
    const parts: string[] = [];
    const group = this.#seeded.below(4);
    for (let index = 0; index < kind.parts; index += 1) parts.push(`${named}-${group}-${index}`);
    const body =
      kind.models.length === 0
        ? ''
        : JSON.stringify({
            model: named,
            adapter,
            parts,
            tokens: kind.tokens,
            stream: kind.stream,
          });
    const path = kind.models.length === 0 ? `${kind.path}/${this.#count}` : kind.path;
    const record = await this.#call(kind, id, named, address, path, body);
    this.#records.push(record);
    this.#running -= 1;
    if (this.#running === 0) this.#onIdle?.();
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
    return new Promise((done: (record: CallerRecord) => void) => {
      let isOver = false;
      function end(part: Partial<CallerRecord> & { status: number; outcome: string }): void {
        if (isOver) return;
        isOver = true;
        done({ ...base, endedAt: Date.now(), ...part });
      }
      const sent = request({
        host,
        port,
        method: kind.method,
        path,
        headers,
        agent,
        timeout: 120_000,
      });
      sent.once('response', (returned: IncomingMessage) => {
        const status = returned.statusCode ?? 0;
        const table = Number(returned.headers['x-table'] ?? -1);
        const check = new LineCheck(id);
        let text = '';
        returned.setEncoding('utf8');
        function cut(): void {
          end({ status, outcome: 'broken', run: check.run, table });
        }
        returned.on('data', (chunk: string) => {
          if (status === 200) check.take(chunk);
          else text += chunk;
        });
        returned.once('end', () => {
          if (!returned.complete) {
            cut();
            return;
          }
          if (status === 200) {
            check.end();
            end({
              status,
              outcome: 'done',
              run: check.run,
              isWhole: true,
              fault: check.fault,
              table,
            });
          } else {
            const outcome = parseAs(OutcomeShape, text)?.outcome ?? 'other';
            end({
              status,
              outcome,
              isWhole: true,
              retryAfter: Number(returned.headers['retry-after'] ?? 0),
              table,
            });
          }
        });
        returned.once('error', cut);
        returned.once('close', cut);
      });
      sent.once('error', () => {
        end({ status: 0, outcome: 'unreached' });
      });
      sent.end(body === '' ? undefined : body);
    });
  }
}

export interface Summary {
  readonly type: string;
  readonly sent: number;
  readonly done: number;
  readonly turnedAway: number;
  readonly unsure: number;
  readonly broken: number;
  readonly unreached: number;
  readonly other: number;
}

export function summarise(records: readonly CallerRecord[]): Summary[] {
  const byType = new Map<string, Summary>();
  for (const record of records) {
    const known = byType.get(record.type) ?? {
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
    byType.set(record.type, { ...known, sent: known.sent + 1, [key]: known[key] + 1 });
  }
  return [...byType.values()];
}
