// The network between control nodes: one relay for each pair of a caller and the node that it calls.
import { connect, createServer } from 'node:net';

class Relay {
  #target;
  #server;
  #pairs = new Set();
  #isCut = false;

  constructor(target) {
    this.#target = target;
    this.#server = createServer((socket) => this.#onConnection(socket));
  }

  listen(host) {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(0, host, () => resolve(`${host}:${this.#server.address().port}`));
    });
  }

  #onConnection(socket) {
    const pair = { socket, other: undefined };
    this.#pairs.add(pair);
    socket.on('error', () => undefined);
    socket.once('close', () => this.#drop(pair));
    // In a cut nothing passes, and nothing is said either.
    if (this.#isCut) {
      socket.pause();
      return;
    }
    const [host, port] = this.#target.split(':');
    pair.other = connect({ host, port: Number(port) });
    pair.other.on('error', () => undefined);
    pair.other.once('close', () => this.#drop(pair));
    socket.pipe(pair.other);
    pair.other.pipe(socket);
  }

  #drop(pair) {
    // A close isn't heard through a cut.
    if (this.#isCut || !this.#pairs.delete(pair)) return;
    pair.socket.destroy();
    pair.other?.destroy();
  }

  cut() {
    this.#isCut = true;
    for (const { socket, other } of this.#pairs) {
      socket.unpipe();
      other?.unpipe();
      socket.pause();
      other?.pause();
    }
  }

  /** What the cut held up is lost with its connections. */
  heal() {
    this.#isCut = false;
    for (const pair of [...this.#pairs]) this.#drop(pair);
  }

  stop() {
    this.heal();
    this.#server.close();
  }
}

/** The relays between all control nodes. */
export class CoreNetwork {
  #relays = new Map();
  #addresses = new Map();

  /** Starts a relay for each pair; `nodes` are the addresses at which control nodes listen for each other. */
  async start(nodes, host) {
    for (let from = 0; from < nodes.length; from += 1)
      for (let to = 0; to < nodes.length; to += 1) {
        if (from === to) continue;
        const relay = new Relay(nodes[to]);
        const address = await relay.listen(host);
        this.#relays.set(`${from} ${to}`, relay);
        const known = this.#addresses.get(from) ?? {};
        this.#addresses.set(from, { ...known, [nodes[to]]: address });
      }
  }

  /** The variables that lead the connections of a control node through its relays. */
  environmentOf(index) {
    const loader = new URL('address-map.mjs', import.meta.url).href;
    return {
      NODE_OPTIONS: `--import=${loader}`,
      REVIEW_RELAYS: JSON.stringify(this.#addresses.get(index)),
    };
  }

  /** Cuts a control node off from the others, in both directions and in silence. */
  cutOff(index) {
    for (const [key, relay] of this.#relays)
      if (key.split(' ').includes(String(index))) relay.cut();
  }

  heal() {
    for (const relay of this.#relays.values()) relay.heal();
  }

  stop() {
    for (const relay of this.#relays.values()) relay.stop();
  }
}
