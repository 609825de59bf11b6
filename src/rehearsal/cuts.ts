import { connect, createServer, type Server, type Socket } from 'node:net';
import { bindServer, parseAddress } from '../common/listen.js';

interface SocketPair {
  readonly near: Socket;
  readonly far: Socket;
}

interface Relay {
  readonly from: string;
  readonly to: string;
  readonly server: Server;
  readonly address: string;
  readonly pairs: Set<SocketPair>;
  isCut: boolean;
}

/**
 * TCP relays between real processes, one for each direction in which one dials another, so that connections can be cut.
 * As in a network partition, a cut connection stays open and carries no data; once healed, it delivers what was held back.
 */
export class Cuts {
  readonly #relays: Relay[] = [];

  /** Starts a relay and returns the address that `from` must dial to reach `to`. */
  async path(from: string, to: string): Promise<string> {
    const pairs = new Set<SocketPair>();
    const server = createServer((near: Socket) => {
      const { host, port } = parseAddress(to);
      const far = connect({ host, port });
      const pair: SocketPair = { near, far };
      pairs.add(pair);
      function end(): void {
        pairs.delete(pair);
        near.destroy();
        far.destroy();
      }
      for (const socket of [near, far]) {
        socket.setNoDelay(true);
        socket.on('error', end);
        socket.on('close', end);
      }
      near.on('data', (chunk: Buffer) => {
        far.write(chunk);
      });
      far.on('data', (chunk: Buffer) => {
        near.write(chunk);
      });
      if (relay.isCut) {
        near.pause();
        far.pause();
      }
    });
    const address = `127.0.0.1:${await bindServer(server, '127.0.0.1:0')}`;
    const relay: Relay = { from, to, server, address, pairs, isCut: false };
    this.#relays.push(relay);
    return address;
  }

  /** Cuts or heals every relay between the two groups, in both directions. */
  set(isCut: boolean, some: ReadonlySet<string>, others: ReadonlySet<string>): void {
    for (const relay of this.#relays) {
      const isBetween =
        (some.has(relay.from) && others.has(relay.to)) ||
        (others.has(relay.from) && some.has(relay.to));
      if (!isBetween) continue;
      relay.isCut = isCut;
      for (const { near, far } of relay.pairs) {
        for (const socket of [near, far]) {
          if (isCut) socket.pause();
          else socket.resume();
        }
      }
    }
  }

  /** Closes all relays and their connections. */
  close(): void {
    for (const relay of this.#relays) {
      for (const { near, far } of relay.pairs) {
        near.destroy();
        far.destroy();
      }
      relay.server.close();
    }
  }
}
