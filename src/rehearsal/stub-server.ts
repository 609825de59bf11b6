import { appendFileSync } from 'node:fs';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { readBody } from '../common/call.js';
import { bindServer } from '../common/listen.js';

export type Serve = (
  method: string,
  path: string,
  body: string,
  returned: ServerResponse,
  asked: IncomingMessage,
) => Promise<void> | void;

export function replyJson(
  returned: ServerResponse,
  status: number,
  value: unknown,
  headers: Record<string, string> = {},
): void {
  const body = JSON.stringify(value);
  returned.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    ...headers,
  });
  returned.end(body);
}

/** What all stubs share: an HTTP port, and a record of what was seen that outlasts a kill. */
export class StubServer {
  readonly #server: Server;
  readonly #records: string;
  readonly #continuedAt = new WeakMap<IncomingMessage, number>();

  constructor(serve: Serve, records: string) {
    this.#records = records;
    async function take(asked: IncomingMessage, returned: ServerResponse): Promise<void> {
      try {
        await serve(
          asked.method ?? 'GET',
          asked.url ?? '/',
          await readBody(asked),
          returned,
          asked,
        );
      } catch {
        returned.destroy();
      }
    }
    this.#server = createServer(take);
    const continuedAt = this.#continuedAt;
    this.#server.on('checkContinue', (asked: IncomingMessage, returned: ServerResponse) => {
      continuedAt.set(asked, performance.now());
      returned.writeContinue();
      void take(asked, returned);
    });
    this.#server.keepAliveTimeout = 5000;
  }

  /** How long ago this request was told to go on, on a clock that does not jump. */
  sinceContinue(asked: IncomingMessage): number {
    return performance.now() - (this.#continuedAt.get(asked) ?? performance.now());
  }

  /** Wall-clock milliseconds go with each record: all of a rehearsal runs on one machine. */
  record(value: Readonly<Record<string, unknown>>): void {
    if (this.#records !== '')
      appendFileSync(this.#records, `${JSON.stringify({ at: Date.now(), ...value })}\n`);
  }

  async listen(address: string): Promise<number> {
    return bindServer(this.#server, address);
  }

  close(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }
}
