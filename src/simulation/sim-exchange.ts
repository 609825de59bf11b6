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

/** Callbacks of the owner of an exchange. */
export interface ExchangeOwner {
  /** A message was received from a node with this id, role and zone. */
  receive(from: string, role: string, zone: string, message: Message): void;
  /** The last connection to a node has closed. */
  disconnected(id: string): void;
}

/** What this node reports in its `hello`. */
export interface SimExchangeSettings {
  /** The role of this node. */
  readonly role: string;
  /** The zone of this node. */
  readonly zone: string;
}

/** An empty frame that serves as a heartbeat. */
const KEEPALIVE = '';

/** One connection to another node, as seen from this end. */
class Connection {
  readonly endpoint: Endpoint;
  nodeId: string;
  role = '';
  zone = '';
  lastWriteAt: Moment;
  lastHeardAt: Moment;

  constructor(endpoint: Endpoint, nodeId: string, now: Moment) {
    this.endpoint = endpoint;
    this.nodeId = nodeId;
    this.lastWriteAt = now;
    this.lastHeardAt = now;
  }
}

/**
 * The transport between nodes on the simulated network, with the rules of the real `Exchange`: idle connections time out,
 * a short queue holds messages while a node is dialed, and there may be several connections to one node.
 */
export class SimExchange {
  readonly #host: Host;
  readonly #network: SimNetwork;
  readonly #settings: SimExchangeSettings;
  readonly #owner: ExchangeOwner;
  #connectionsByNode = new Map<string, Connection[]>();
  #connections = new Set<Connection>();
  #dialing = new Map<string, number>();
  #queued = new Map<string, Message[]>();
  #dialCount = 0;
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

  /** Resets the exchange; called at each start of the process, which knows nothing of the previous incarnation. */
  open(): void {
    this.#connectionsByNode = new Map();
    this.#connections = new Set();
    this.#dialing = new Map();
    this.#queued = new Map();
    this.#checkedAt = this.#host.process.now();
    this.#host.process.every(CHECK_INTERVAL_MS, () => this.#checkConnections());
  }

  /** Closes all connections, as a process does that exits after a planned stop. */
  close(): void {
    for (const connection of this.#connections) connection.endpoint.close();
    this.#connections.clear();
    this.#connectionsByNode.clear();
  }

  /** Sends on the newest connection to a node; without one, dials the node and queues the message. */
  send(to: string, message: Message): void {
    const connection = this.#connectionsByNode.get(to)?.at(-1);
    if (connection) {
      this.#write(connection, message);
      return;
    }
    // A message without a connection is traced here, and again when it is written.
    this.#network.trace.message(this.#network.scheduler.now, this.#host.id, to, message);
    this.dial(to);
    if (!this.#dialing.has(to)) return;
    const queued = this.#queued.get(to) ?? [];
    queued.push(message);
    if (queued.length > MAX_QUEUED_MESSAGES) queued.shift();
    this.#queued.set(to, queued);
  }

  /** Opens a connection to a node that listens, unless one is open or being opened. */
  dial(id: string): void {
    if (this.#dialing.has(id) || this.#connectionsByNode.has(id) || !id.includes(':')) return;
    this.#dialCount += 1;
    const dial = this.#dialCount;
    this.#dialing.set(id, dial);
    const { process } = this.#host;
    const submit = (run: () => void) => process.submit(`dial ${id}`, run);
    const onConnected = (endpoint: Endpoint) => this.#onConnected(id, dial, endpoint);
    const onDialFailed = () => this.#onDialFailed(id, dial);
    const network = this.#network;
    const refused = process.inThisIncarnation(() => submit(onDialFailed));
    this.#network.connect(this.#host, id, 'nodes', {
      connected: guardConnected(
        network,
        (run) => process.inThisIncarnation(run),
        (endpoint: Endpoint) => {
          submit(() => onConnected(endpoint));
        },
      ),
      refused,
    });
    process.after(CONNECT_TIMEOUT_MS, onDialFailed);
  }

  /** Accepts a connection from another node. */
  accept(endpoint: Endpoint): void {
    const connection = this.#attach(endpoint, '');
    this.#sendHello(connection);
  }

  #onConnected(id: string, dial: number, endpoint: Endpoint): void {
    // The dial was given up meanwhile.
    if (this.#dialing.get(id) !== dial) {
      endpoint.close();
      return;
    }
    this.#dialing.delete(id);
    const connection = this.#attach(endpoint, id);
    this.#sendHello(connection);
    this.#register(connection, id);
    for (const message of this.#queued.get(id) ?? []) this.#write(connection, message);
    this.#queued.delete(id);
  }

  #onDialFailed(id: string, dial: number): void {
    if (this.#dialing.get(id) !== dial) return;
    this.#queued.delete(id);
    // During the redial delay the node still counts as being dialed; the negative number matches no dial in progress.
    this.#dialing.set(id, -dial);
    this.#host.process.after(REDIAL_DELAY_MS, this.#allowDial.bind(this, id, -dial));
  }

  #allowDial(id: string, dial: number): void {
    if (this.#dialing.get(id) === dial) this.#dialing.delete(id);
  }

  #sendHello(connection: Connection): void {
    const { role, zone } = this.#settings;
    this.#write(connection, { kind: 'hello', id: this.#host.id, role, zone });
  }

  #attach(endpoint: Endpoint, nodeId: string): Connection {
    const connection = new Connection(endpoint, nodeId, this.#host.process.now());
    this.#connections.add(connection);
    endpoint.handler = {
      data: (payload) => this.#onData(connection, payload),
      closed: () => this.#onClose(connection),
    };
    return connection;
  }

  #write(connection: Connection, message: Message): void {
    connection.lastWriteAt = this.#host.process.now();
    connection.endpoint.send(copyMessage(message));
  }

  #register(connection: Connection, id: string): void {
    connection.nodeId = id;
    const connections = this.#connectionsByNode.get(id) ?? [];
    if (!connections.includes(connection))
      this.#connectionsByNode.set(id, [...connections, connection]);
  }

  #onData(connection: Connection, payload: Payload): void {
    connection.lastHeardAt = this.#host.process.now();
    if (typeof payload === 'string') return;
    if (payload.kind === 'hello') {
      connection.role = payload.role;
      connection.zone = payload.zone;
      this.#register(connection, payload.id);
      return;
    }
    if (connection.nodeId === '') return;
    this.#owner.receive(connection.nodeId, connection.role, connection.zone, payload);
  }

  #onClose(connection: Connection): void {
    if (!this.#connections.delete(connection)) return;
    const connections = this.#connectionsByNode.get(connection.nodeId);
    if (!connections) return;
    const open = connections.filter((other) => connection !== other);
    if (open.length > 0) {
      this.#connectionsByNode.set(connection.nodeId, open);
      return;
    }
    this.#connectionsByNode.delete(connection.nodeId);
    this.#owner.disconnected(connection.nodeId);
  }

  #checkConnections(): void {
    const now = this.#host.process.now();
    // After a stall of this process the sockets may hold unread input, which is read before a peer times out.
    const stallMs = now - this.#checkedAt - CHECK_INTERVAL_MS;
    this.#checkedAt = now;
    for (const connection of [...this.#connections]) {
      if (stallMs > CHECK_INTERVAL_MS) connection.lastHeardAt = now;
      if (now - connection.lastHeardAt > PEER_TIMEOUT_MS) {
        connection.endpoint.close();
        this.#onClose(connection);
      } else {
        this.#keepAlive(connection, now);
      }
    }
  }

  #keepAlive(connection: Connection, now: Moment): void {
    if (now - connection.lastWriteAt < KEEPALIVE_INTERVAL_MS || connection.endpoint.isHeldUp)
      return;
    connection.lastWriteAt = now;
    connection.endpoint.send(KEEPALIVE);
  }
}

/** A connection that is established after the incarnation that dialed it has ended is reset by the kernel. */
function guardConnected(
  network: SimNetwork,
  inThisLife: (run: () => void) => () => void,
  connected: (endpoint: Endpoint) => void,
): (endpoint: Endpoint) => void {
  let arrived: Endpoint | undefined;
  let isDelivered = false;
  const guarded = inThisLife(() => {
    if (!arrived) return;
    isDelivered = true;
    connected(arrived);
  });
  function onEstablished(endpoint: Endpoint): void {
    arrived = endpoint;
    guarded();
    if (isDelivered) return;
    endpoint.abort();
    network.forget(endpoint);
  }
  return onEstablished;
}
