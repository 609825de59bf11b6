// Stand-ins for the platform's list and for servers, as the pages describe them.
import { createServer } from 'node:http';
import { createServer as createRawServer } from 'node:net';

function listen(server, address) {
  const [host, port] = address.split(':');
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(Number(port), host, () => resolve(server.address().port));
  });
}

/** The platform's list of servers, on one page. */
export class Platform {
  #server;
  #servers;

  constructor(servers) {
    this.#servers = servers;
    this.#server = createServer((request, response) => {
      request.resume();
      const text = JSON.stringify({
        servers: this.#servers.map((server) => server.entry()),
        next_page: null,
      });
      response.writeHead(200, {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(text),
      });
      response.end(text);
    });
  }

  start(address) {
    return listen(this.#server, address);
  }

  stop() {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}

/** A server of a service without models; `handle` answers its requests. */
export class PlainServer {
  #settings;
  #server;
  #address = '';

  /** `settings`: id, service, zone, slots; `handle` gets the request with its body read, and the response. */
  constructor(settings, handle) {
    this.#settings = settings;
    this.#server = createServer({ maxHeaderSize: 128 * 1024 }, (request, response) => {
      const chunks = [];
      request.on('data', (chunk) => chunks.push(chunk));
      request.once('end', () => {
        if (request.url === '/health') {
          response.writeHead(200, { 'server-id': settings.id, 'content-length': 0 });
          response.end();
        } else if (
          request.headers['target-server'] &&
          request.headers['target-server'] !== settings.id
        ) {
          response.writeHead(421, { 'content-length': 0 });
          response.end();
        } else handle(request, response, Buffer.concat(chunks));
      });
    });
    this.#server.keepAliveTimeout = 60_000;
  }

  get id() {
    return this.#settings.id;
  }

  async start(host) {
    const port = await listen(this.#server, `${host}:0`);
    this.#address = `${host}:${port}`;
  }

  stop() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Its entry on the platform's list. */
  entry() {
    return plainEntry(this.#settings, this.#address);
  }
}

/** A server of a service without models that answers with the very bytes that `answer` returns for a request's id. */
export class RawServer {
  #settings;
  #server;
  #sockets = new Set();
  #address = '';

  /** `settings`: id, service, zone, slots. Requests have no body. */
  constructor(settings, answer) {
    this.#settings = settings;
    this.#server = createRawServer((socket) => {
      let unread = '';
      this.#sockets.add(socket);
      socket.setEncoding('latin1');
      socket.on('error', () => undefined);
      socket.once('close', () => this.#sockets.delete(socket));
      socket.on('data', (text) => {
        unread += text;
        for (let end = unread.indexOf('\r\n\r\n'); end >= 0; end = unread.indexOf('\r\n\r\n')) {
          const id = /^attempt-id: (\S+)/im.exec(unread.slice(0, end))?.[1] ?? '';
          unread = unread.slice(end + 4);
          socket.write(answer(id));
        }
      });
    });
  }

  async start(host) {
    const port = await listen(this.#server, `${host}:0`);
    this.#address = `${host}:${port}`;
  }

  stop() {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  /** Its entry on the platform's list. */
  entry() {
    return plainEntry(this.#settings, this.#address);
  }
}

function plainEntry({ id, service, zone, slots }, address) {
  return {
    id,
    service,
    address,
    zone,
    version: 'v1',
    slots,
    state: 'ready',
    warmup_left_ms: 0,
  };
}

/** What a server of many models says of itself lags by this. */
const REPORT_LAG_MS = 200;

/** A server of a service of many models: takes orders, holds models, and answers streams for what it holds. */
export class ModelServer {
  #settings;
  #server;
  #address = '';
  #models = new Set();
  #isBusy = false;
  #orderCount = 0;
  #highestFence = 0;
  #seen = [];
  /** The orders that it has taken: when, by whom, and with which fence. */
  taken = [];

  /** `settings`: id, service, zone, slots, models, sizeMb, modelMb, loadMs, isFenced; `onOrder` is told of each order. */
  constructor(settings, onOrder) {
    this.#settings = settings;
    for (const model of settings.models) this.#models.add(model);
    this.#server = createServer((request, response) => {
      const chunks = [];
      request.on('data', (chunk) => chunks.push(chunk));
      request.once('end', () => {
        const target = request.headers['target-server'];
        if (target !== undefined && target !== settings.id) end(response, 421);
        else if (request.url === '/-/report') end(response, 200, this.#report());
        else if (request.url === '/-/order') {
          const order = JSON.parse(Buffer.concat(chunks).toString());
          const status = this.#order(order);
          onOrder(order, status, this);
          end(response, status);
        } else if (request.url === '/health') end(response, 200);
        else this.#serve(request, response);
      });
    });
  }

  get id() {
    return this.#settings.id;
  }

  async start(host) {
    const port = await listen(this.#server, `${host}:0`);
    this.#address = `${host}:${port}`;
  }

  stop() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #state() {
    return {
      stage: 'both',
      models: [...this.#models].map((name) => ({ name, version: 1, adapters: [] })),
      busy: this.#isBusy,
      call_count: this.#orderCount,
      waiting: 0,
      active: 0,
      cache_used: 0,
      cache_total: 90_000,
      handled: 0,
    };
  }

  /** Its state as of some hundred ms ago. */
  #report() {
    const now = performance.now();
    const seen = this.#seen.findLast(({ at }) => at <= now - REPORT_LAG_MS);
    return seen?.state ?? this.#state();
  }

  #note() {
    this.#seen.push({ at: performance.now(), state: this.#state() });
    if (this.#seen.length > 500) this.#seen.shift();
  }

  #order({ operation, model, holder, fence, expected_count: expected }) {
    const { sizeMb, modelMb, loadMs, isFenced } = this.#settings;
    if (holder === undefined || fence === undefined) return 400;
    if (isFenced && fence < this.#highestFence) return 412;
    this.#highestFence = Math.max(this.#highestFence, fence);
    if (this.#isBusy || (expected !== undefined && expected !== this.#orderCount)) return 409;
    if (operation === 'load' ? this.#models.has(model) : !this.#models.has(model)) return 200;
    if (operation === 'load' && (this.#models.size + 1) * modelMb > sizeMb) return 400;
    this.#note();
    this.#orderCount += 1;
    this.#isBusy = true;
    this.taken.push({ at: performance.now(), holder, fence, operation, model });
    if (operation === 'unload') this.#models.delete(model);
    this.#note();
    setTimeout(
      () => {
        this.#note();
        if (operation === 'load') this.#models.add(model);
        this.#isBusy = false;
        this.#note();
      },
      operation === 'load' ? loadMs : 20,
    );
    return 202;
  }

  #serve(request, response) {
    if (!this.#models.has(request.headers.model)) {
      end(response, 421);
      return;
    }
    const id = request.headers['attempt-id'];
    response.writeHead(200, {
      'attempt-id': id,
      'server-seal': `seal.${id}`,
      'weight-versions': '1',
      'content-type': 'text/event-stream',
    });
    response.end('id: 1\ndata: first\n\nid: 2\ndata: last\n\n');
  }

  /** Its entry on the platform's list. */
  entry() {
    const { id, service, zone, slots } = this.#settings;
    const { stage, models } = this.#report();
    return {
      id,
      service,
      address: this.#address,
      zone,
      version: 'v1',
      slots,
      state: 'ready',
      warmup_left_ms: 0,
      stage,
      models,
    };
  }
}

function end(response, status, body) {
  const text = body === undefined ? '' : JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

/** A configuration with one route to each of these services without models. */
export function configurationOf(version, routes) {
  const services = [...new Set(routes.map(({ service }) => service))];
  return {
    version,
    routes: routes.map((route) => ({
      host: 'ficu95.example',
      target_ms: 386,
      priority: 0,
      tries: 2,
      sticky: false,
      resumable: false,
      ...route,
    })),
    services: services.map((name) => ({
      name,
      health_path: '/health',
      max_connections: 110,
      protocol: 'h1',
      tls: false,
      warmup_s: 0,
      warmup_per_s: 0,
    })),
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_wait_ms: 3000,
      idle_ms: 15_000,
    },
  };
}
