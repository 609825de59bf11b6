// Stand-ins for the platform's list and for servers, as the pages describe them.
import { createServer } from 'node:http';

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
    this.#server = createServer((request, response) => {
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
    const { id, service, zone, slots } = this.#settings;
    return {
      id,
      service,
      address: this.#address,
      zone,
      version: 'v1',
      slots,
      state: 'ready',
      warmup_left_ms: 0,
    };
  }
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
