import type { Message } from '../common/messages.js';
import type { Moment } from '../common/ids.js';
import {
  CHECK_INTERVAL_MS,
  CONNECT_TIMEOUT_MS,
  KEEPALIVE_INTERVAL_MS,
  MAX_QUEUED_MESSAGES,
  REDIAL_DELAY_MS,
  PEER_TIMEOUT_MS,
} from '../dissemination/exchange.js';
import type { Endpoint, Payload } from './endpoint.js';
import { copyMessage } from './message-copy.js';
import type { Host, SimNetwork } from './sim-network.js';

/** What its owner hears of other nodes. */
export interface ExchangeOwner {
  receive(from: string, role: string, zone: string, message: Message): void;
  gone(id: string): void;
}

export interface SimExchangeSettings {
  readonly role: string;
  readonly zone: string;
}

/** An empty frame that only shows that the sender is there. */
const KEEPALIVE = '';

/** One connection to another node, as this end sees it. */
class Line {
  readonly endpoint: Endpoint;
  peerId: string;
  role = '';
  zone = '';
  wroteAt: Moment;
  heardAt: Moment;

  constructor(endpoint: Endpoint, peerId: string, now: Moment) {
    this.endpoint = endpoint;
    this.peerId = peerId;
    this.wroteAt = now;
    this.heardAt = now;
  }
}

/**
 * The transport between nodes on the simulated network, rule for rule as the real one: lines found
 * dead by silence, a short queue while a node is dialled, several lines to one node side by side.
 */
export class SimExchange {
  readonly #host: Host;
  readonly #network: SimNetwork;
  readonly #settings: SimExchangeSettings;
  readonly #owner: ExchangeOwner;
  #lines = new Map<string, Line[]>();
  #all = new Set<Line>();
  #dialing = new Map<string, number>();
  #queued = new Map<string, Message[]>();
  #dials = 0;
  #checkedAt: Moment;

  constructor(
    host: Host,
    network: SimNetwork,
    settings: SimExchangeSettings,
    owner: ExchangeOwner,
  ) {
    this.#host = host;
    this.#network = network;
    this.#settings = settings;
    this.#owner = owner;
    this.#checkedAt = host.process.now();
  }

  /** Called at each begin of the process; whatever a former incarnation knew is gone. */
  open(): void {
    this.#lines = new Map();
    this.#all = new Set();
    this.#dialing = new Map();
    this.#queued = new Map();
    this.#checkedAt = this.#host.process.now();
    this.#host.process.every(CHECK_INTERVAL_MS, () => this.#check());
  }

  /** Closes all lines, as a process that stops in order does. */
  close(): void {
    for (const line of this.#all) line.endpoint.close();
    this.#all.clear();
    this.#lines.clear();
  }

  send(to: string, message: Message): void {
    const line = this.#lines.get(to)?.at(-1);
    if (line) {
      this.#write(line, message);
      return;
    }
    // What finds no connection is traced here, and again once it is written.
    this.#network.trace.message(this.#network.scheduler.now, this.#host.id, to, message);
    this.dial(to);
    if (!this.#dialing.has(to)) return;
    const queued = this.#queued.get(to) ?? [];
    queued.push(message);
    if (queued.length > MAX_QUEUED_MESSAGES) queued.shift();
    this.#queued.set(to, queued);
  }

  dial(id: string): void {
    if (this.#dialing.has(id) || this.#lines.has(id) || !id.includes(':')) return;
    this.#dials += 1;
    const dial = this.#dials;
    this.#dialing.set(id, dial);
    const { process } = this.#host;
    const submit = (run: () => void) => process.submit(`dial ${id}`, run);
    const dialed = (endpoint: Endpoint) => this.#dialed(id, dial, endpoint);
    const failed = () => this.#failed(id, dial);
    const network = this.#network;
    const refused = process.inThisLife(() => submit(failed));
    this.#network.connect(this.#host, id, 'nodes', {
      connected: guardConnected(
        network,
        (run) => process.inThisLife(run),
        (endpoint: Endpoint) => {
          submit(() => dialed(endpoint));
        },
      ),
      refused,
    });
    process.after(CONNECT_TIMEOUT_MS, failed);
  }

  accept(endpoint: Endpoint): void {
    const line = this.#serve(endpoint, '');
    this.#hello(line);
  }

  #dialed(id: string, dial: number, endpoint: Endpoint): void {
    // Given up meanwhile.
    if (this.#dialing.get(id) !== dial) {
      endpoint.close();
      return;
    }
    this.#dialing.delete(id);
    const line = this.#serve(endpoint, id);
    this.#hello(line);
    this.#register(line, id);
    for (const message of this.#queued.get(id) ?? []) this.#write(line, message);
    this.#queued.delete(id);
  }

  #failed(id: string, dial: number): void {
    if (this.#dialing.get(id) !== dial) return;
    this.#queued.delete(id);
    // A short pause, in which the node still counts as being dialled, by nobody.
    this.#dialing.set(id, -dial);
    this.#host.process.after(REDIAL_DELAY_MS, this.#allowDial.bind(this, id, -dial));
  }

  #allowDial(id: string, dial: number): void {
    if (this.#dialing.get(id) === dial) this.#dialing.delete(id);
  }

  #hello(line: Line): void {
    const { role, zone } = this.#settings;
    this.#write(line, { kind: 'hello', id: this.#host.id, role, zone });
  }

  #serve(endpoint: Endpoint, peerId: string): Line {
    const line = new Line(endpoint, peerId, this.#host.process.now());
    this.#all.add(line);
    endpoint.handler = {
      data: (payload) => this.#take(line, payload),
      closed: () => this.#closed(line),
    };
    return line;
  }

  #write(line: Line, message: Message): void {
    line.wroteAt = this.#host.process.now();
    line.endpoint.send(copyMessage(message));
  }

  #register(line: Line, id: string): void {
    line.peerId = id;
    const lines = this.#lines.get(id) ?? [];
    if (!lines.includes(line)) this.#lines.set(id, [...lines, line]);
  }

  #take(line: Line, payload: Payload): void {
    line.heardAt = this.#host.process.now();
    if (typeof payload === 'string') return;
    if (payload.kind === 'hello') {
      line.role = payload.role;
      line.zone = payload.zone;
      this.#register(line, payload.id);
      return;
    }
    if (line.peerId === '') return;
    this.#owner.receive(line.peerId, line.role, line.zone, payload);
  }

  #closed(line: Line): void {
    if (!this.#all.delete(line)) return;
    const lines = this.#lines.get(line.peerId);
    if (!lines) return;
    const left = lines.filter((other) => line !== other);
    if (left.length > 0) {
      this.#lines.set(line.peerId, left);
      return;
    }
    this.#lines.delete(line.peerId);
    this.#owner.gone(line.peerId);
  }

  #check(): void {
    const now = this.#host.process.now();
    // Frozen ourselves, we have heard nobody: what waits in the sockets is read first.
    const late = now - this.#checkedAt - CHECK_INTERVAL_MS;
    this.#checkedAt = now;
    for (const line of [...this.#all]) {
      if (late > CHECK_INTERVAL_MS) line.heardAt = now;
      if (now - line.heardAt > PEER_TIMEOUT_MS) {
        line.endpoint.close();
        this.#closed(line);
      } else {
        this.#keepAlive(line, now);
      }
    }
  }

  #keepAlive(line: Line, now: Moment): void {
    if (now - line.wroteAt < KEEPALIVE_INTERVAL_MS || line.endpoint.isHeldUp) return;
    line.wroteAt = now;
    line.endpoint.send(KEEPALIVE);
  }
}

/** A connection that stands only after its dialler's life has ended is closed by the kernel. */
function guardConnected(
  network: SimNetwork,
  inThisLife: (run: () => void) => () => void,
  connected: (endpoint: Endpoint) => void,
): (endpoint: Endpoint) => void {
  let arrived: Endpoint | undefined;
  let isTaken = false;
  const guarded = inThisLife(() => {
    if (!arrived) return;
    isTaken = true;
    connected(arrived);
  });
  function settle(endpoint: Endpoint): void {
    arrived = endpoint;
    guarded();
    if (isTaken) return;
    endpoint.abort();
    network.forget(endpoint);
  }
  return settle;
}
