/** Stand-ins for the platform's list, for runners and for the operator, as PROTOCOL.md describes them. */
import { createServer, request } from 'node:http';
import { pause } from './deployment.mjs';

const LAG_MS = 800;

/** The platform's list of runners: it shows what was so `lag_ms` ago. */
export class Provider {
  constructor(record) {
    this.record = record;
    this.runners = [];
    this.history = [];
    this.server = createServer((asked, answer) => this.#answer(asked, answer));
  }

  async start({ host, port }) {
    this.#note();
    // What runners there are is known to the platform from before the system starts.
    this.history[0].at -= LAG_MS;
    this.timer = setInterval(() => this.#note(), 20);
    await new Promise((done) => this.server.listen(port, host, done));
  }

  #note() {
    const at = performance.now();
    this.history.push({
      at,
      entries: this.runners.flatMap((runner) => (runner.isListed ? [runner.entry()] : [])),
    });
    while (this.history.length > 1 && this.history[1].at < at - LAG_MS) this.history.shift();
  }

  #answer(asked, answer) {
    const { pathname } = new URL(asked.url, 'http://platform');
    const body = JSON.stringify(
      pathname === '/servers' ? { servers: this.history[0].entries, next_page: null } : {},
    );
    answer.writeHead(pathname === '/servers' ? 200 : 404, { 'content-type': 'application/json' });
    answer.end(body);
  }

  stop() {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }
}

/** A model runner, or a plain one where it has no models. Each request runs as `work` says. */
export class Runner {
  constructor({ record, id, service, zone, address, slots = 64, models, work }) {
    Object.assign(this, { record, id, service, zone, address, slots, work });
    this.models = models?.map((name) => ({ name, version: 1, adapters: [] }));
    this.state = 'ready';
    this.isListed = true;
    this.coldUntil = 0;
    this.callCount = 0;
    this.fence = 0;
    this.active = 0;
    this.isBusy = false;
  }

  get listedAddress() {
    return `${this.address.host}:${this.address.port}`;
  }

  entry() {
    return {
      id: this.id,
      service: this.service,
      address: this.listedAddress,
      zone: this.zone,
      version: 'v1',
      slots: this.slots,
      state: this.state,
      warmup_left_ms: Math.max(0, Math.round(this.coldUntil - performance.now())),
      ...(this.models ? { stage: 'both', models: structuredClone(this.models) } : {}),
    };
  }

  start() {
    this.server = createServer({ keepAliveTimeout: 15_000 }, (asked, answer) =>
      this.#serve(asked, answer),
    );
    return new Promise((done) => this.server.listen(this.address.port, this.address.host, done));
  }

  /** A new life: another id, no orders taken yet, and cold for so long. */
  startAgain(id, coldMs) {
    this.id = id;
    this.callCount = 0;
    this.fence = 0;
    this.isBusy = false;
    this.isListed = true;
    this.coldUntil = performance.now() + coldMs;
    return this.start();
  }

  stop() {
    this.server?.close();
    this.server?.closeAllConnections();
  }

  async #serve(asked, answer) {
    const chunks = [];
    try {
      for await (const chunk of asked) chunks.push(chunk);
    } catch {
      return;
    }
    const body = Buffer.concat(chunks).toString('utf8');
    const target = asked.headers['target-server'];
    if (asked.url === '/health') {
      answer
        .writeHead(this.state === 'ready' ? 200 : 503, {
          'server-id': this.id,
          'content-length': 0,
        })
        .end();
    } else if (target !== undefined && target !== this.id) {
      answer
        .writeHead(421, {
          'attempt-id': asked.headers['attempt-id'] ?? '',
          'server-id': this.id,
          'content-length': 0,
        })
        .end();
    } else if (asked.url === '/-/report') this.#report(answer);
    else if (asked.url === '/-/order') this.#order(body, answer);
    else await this.#request(asked, answer, body);
  }

  #report(answer) {
    const report = {
      stage: 'both',
      models: this.models ?? [],
      busy: this.isBusy,
      call_count: this.callCount,
      waiting: 0,
      active: this.active,
      cache_used: 0,
      cache_total: 225_298,
      handled: 0,
    };
    answer.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(report));
  }

  #order(body, answer) {
    const order = JSON.parse(body);
    const status = this.#take(order);
    this.record.add('order', { runner: this.id, ...order, status });
    answer.writeHead(status, { 'content-type': 'application/json' }).end('{}');
  }

  #take(order) {
    if (!this.models || order.holder === undefined || order.fence === undefined) return 400;
    if (order.fence < this.fence) return 412;
    this.fence = order.fence;
    if (
      this.isBusy ||
      (order.expected_count !== undefined && order.expected_count !== this.callCount)
    )
      return 409;
    const held = this.models.find(({ name }) => name === order.model);
    if (
      order.operation === 'load' &&
      held &&
      (order.adapter === undefined || held.adapters.includes(order.adapter))
    )
      return 200;
    if (order.operation === 'unload' && !held) return 200;
    this.callCount += 1;
    this.isBusy = true;
    setTimeout(
      () => this.#done(order),
      order.operation === 'load' && order.adapter === undefined ? 600 : 20,
    );
    return 202;
  }

  #done({ operation, model, adapter }) {
    this.isBusy = false;
    const held = this.models.find(({ name }) => name === model);
    if (operation === 'load' && adapter === undefined)
      this.models.push({ name: model, version: 1, adapters: [] });
    else if (operation === 'load') held?.adapters.push(adapter);
    else if (adapter === undefined) this.models = this.models.filter(({ name }) => name !== model);
    else if (held) held.adapters = held.adapters.filter((name) => name !== adapter);
  }

  async #request(asked, answer, body) {
    const id = asked.headers['attempt-id'] ?? '';
    const run = { asked, answer, body, id, runner: this, isGone: false };
    this.record.add('run', {
      runner: this.id,
      service: this.service,
      zone: this.zone,
      id,
      method: asked.method,
      path: asked.url,
    });
    this.active += 1;
    answer.once('close', () => {
      this.active -= 1;
      run.isGone = !answer.writableFinished;
      this.record.add('run-end', {
        runner: this.id,
        id,
        how: run.isGone ? 'the caller broke off' : 'whole',
      });
    });
    await this.work(run);
  }
}

/** A runner's answer with its stamp. */
export function answerHeaders(run, more = {}) {
  return {
    'attempt-id': run.id,
    'server-seal': `seal-of-${run.id}`,
    'weight-versions': '1',
    ...more,
  };
}

/** A stream of `events` events, one each `gapMs`. */
export async function streamWork(run, events, gapMs) {
  const from = Number(run.asked.headers['last-event-id'] ?? 0);
  run.answer.writeHead(200, answerHeaders(run, { 'content-type': 'text/event-stream' }));
  for (let event = from + 1; event <= events; event += 1) {
    await pause(event === from + 1 ? 20 : gapMs);
    if (run.isGone) return;
    run.answer.write(`id: ${event}\ndata: piece ${event} of ${events} of ${run.id}\n\n`);
  }
  run.answer.end();
}

/** One answer of a plain runner. */
export async function plainWork(run, workMs) {
  await pause(workMs);
  if (run.isGone) return;
  const body = `answer to ${run.id}`;
  run.answer.writeHead(200, answerHeaders(run, { 'content-length': body.length })).end(body);
}

/** One call of the operator to one node; undefined where no answer came within the limit. */
export function operatorCall(node, method, path, body, headers = {}, limitMs = 1000) {
  return new Promise((done) => {
    const sent = request({
      ...node,
      method,
      path,
      headers: {
        ...headers,
        ...(body === undefined ? {} : { 'content-length': Buffer.byteLength(body) }),
      },
      agent: false,
    });
    const limit = setTimeout(() => sent.destroy(), limitMs);
    const end = (answer) => {
      clearTimeout(limit);
      done(answer);
    };
    sent.once('response', async (answer) => {
      let text = '';
      try {
        for await (const chunk of answer) text += chunk;
        end({ status: answer.statusCode, text });
      } catch {
        end(undefined);
      }
    });
    sent.on('error', () => end(undefined));
    sent.end(body);
  });
}

/** Sends an order to one node after another until it is acknowledged, as the operator does. */
export async function operate(record, nodes, method, path, body, headers = {}, limitMs = 20_000) {
  const end = performance.now() + limitMs;
  for (let turn = 0; performance.now() < end; turn += 1) {
    const node = nodes[turn % nodes.length];
    const answer = await operatorCall(node, method, path, body, headers);
    record.add('operator', {
      node: node.host,
      method,
      path,
      ...(headers['if-match'] === undefined ? {} : { base: headers['if-match'] }),
      status: answer?.status ?? 'none',
    });
    if (answer && answer.status >= 200 && answer.status < 300) return answer;
    if (answer && [400, 409, 412, 413, 422].includes(answer.status)) return answer;
    await pause(200);
  }
  throw new Error(`${method} ${path} was not acknowledged`);
}

/** A configuration with routes like those of detaxe-dakar. */
export function configuration(
  version,
  { models = ['m0', 'm1'], routes = ROUTES, limits = {} } = {},
) {
  return JSON.stringify({
    version,
    routes,
    services: [
      {
        name: 'readers',
        health_path: '/health',
        max_connections: 370,
        protocol: 'h1',
        tls: false,
        warmup_s: 3,
        warmup_per_s: 37,
        engine: {
          slots: 64,
          cache_tokens: 225_298,
          cache_token_bytes: 163_840,
          link_mbps: 550_000,
          interval: 6,
          models: models.map((name) => ({
            name,
            size_mb: 65_100,
            load_time_s: 0.6,
            adapters: 0,
            adapter_size_mb: 12,
          })),
          size_mb: 220_000,
          adapter_slots: 8,
          loads_per_s: 6.8,
        },
      },
      {
        name: 'status',
        health_path: '/health',
        max_connections: 110,
        protocol: 'h1',
        tls: false,
        warmup_s: 0,
        warmup_per_s: 0,
      },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_wait_ms: 3000,
      idle_ms: 15_000,
      ...limits,
    },
  });
}

const HOST = 'shop.example';
export const ROUTES = [
  {
    name: 'till',
    host: HOST,
    path_prefix: '/till/',
    kind: 'stream',
    timeout_ms: 5000,
    target_ms: 500,
    priority: 0,
    service: 'readers',
    tries: 2,
    sticky: true,
    resumable: true,
    gap_target_ms: 600,
  },
  {
    name: 'desk',
    host: HOST,
    path_prefix: '/desk/',
    kind: 'stream',
    timeout_ms: 6000,
    target_ms: 2000,
    priority: 1,
    service: 'readers',
    tries: 1,
    sticky: true,
    resumable: false,
    gap_target_ms: 600,
  },
  {
    name: 'kiosk',
    host: HOST,
    path_prefix: '/kiosk/',
    kind: 'safe',
    timeout_ms: 3000,
    target_ms: 300,
    priority: 2,
    service: 'status',
    tries: 2,
    sticky: false,
    resumable: false,
  },
  {
    name: 'claim',
    host: HOST,
    path_prefix: '/claim/',
    kind: 'unsafe',
    timeout_ms: 3000,
    target_ms: 300,
    priority: 2,
    service: 'status',
    tries: 2,
    sticky: false,
    resumable: false,
  },
];
