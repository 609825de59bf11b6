import { connect, createServer, type Server, type Socket } from 'node:net';
import { bindServer, parseAddress } from '../common/listen.js';

interface Pair {
  readonly near: Socket;
  readonly far: Socket;
}

interface Path {
  readonly from: string;
  readonly to: string;
  readonly server: Server;
  readonly address: string;
  readonly pairs: Set<Pair>;
  isCut: boolean;
}

/**
 * Relays between nodes, one for each way that one dials another, so that links can be cut under real processes.
 * A cut link stays open and carries nothing, as a network does; healed, it brings what was held up.
 */
export class Cuts {
  readonly #paths: Path[] = [];

  /** Where `from` must dial to reach `to`. */
  async path(from: string, to: string): Promise<string> {
    const pairs = new Set<Pair>();
    const server = createServer((near: Socket) => {
      const { host, port } = parseAddress(to);
      const far = connect({ host, port });
      const pair: Pair = { near, far };
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
      if (made.isCut) {
        near.pause();
        far.pause();
      }
    });
    const address = `127.0.0.1:${await bindServer(server, '127.0.0.1:0')}`;
    const made: Path = { from, to, server, address, pairs, isCut: false };
    this.#paths.push(made);
    return address;
  }

  /** Cuts or heals every path between the two groups, both ways. */
  set(isCut: boolean, some: ReadonlySet<string>, others: ReadonlySet<string>): void {
    for (const path of this.#paths) {
      const isBetween =
        (some.has(path.from) && others.has(path.to)) ||
        (others.has(path.from) && some.has(path.to));
      if (!isBetween) continue;
      path.isCut = isCut;
      for (const { near, far } of path.pairs) {
        for (const socket of [near, far]) {
          if (isCut) socket.pause();
          else socket.resume();
        }
      }
    }
  }

  close(): void {
    for (const path of this.#paths) {
      for (const { near, far } of path.pairs) {
        near.destroy();
        far.destroy();
      }
      path.server.close();
    }
  }
}
