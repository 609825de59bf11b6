import { expect, test } from 'vitest';
import { readBody } from '../common/call.js';
import { type Moment, moment } from '../common/ids.js';
import type { Intent } from '../placement/shapes.js';
import { OrderSender } from './order-sender.js';
import { type IncomingMessage, type ServerResponse, createServer } from 'node:http';

const intent: Intent = {
  id: 'i1',
  runner: 'r',
  boot: 'b',
  verb: 'load',
  model: 'm',
  adapter: '',
  size: 1,
};
async function withRunner(
  run: (address: string, bodies: string[]) => Promise<void>,
): Promise<void> {
  const bodies: string[] = [];
  const accept = async (asked: IncomingMessage, returned: ServerResponse): Promise<void> => {
    try {
      bodies.push(await readBody(asked));
    } catch {
      return;
    }
    returned.writeHead(202).end();
  };
  const server = createServer((asked, returned) => void accept(asked, returned));
  await new Promise<void>((done: () => void) => {
    server.listen(0, '127.0.0.1', done);
  });
  const bound = server.address();
  const port = typeof bound === 'object' && bound !== null ? bound.port : 0;
  try {
    await run(`127.0.0.1:${port}`, bodies);
  } finally {
    server.closeAllConnections();
    server.close();
  }
}
class FakeLease {
  readonly #may: boolean;
  readonly #end: number;
  constructor(may: boolean, end: number) {
    this.#may = may;
    this.#end = end;
  }
  mayOrder(): boolean {
    return this.#may;
  }
  leaseEnd(): Moment {
    return moment(this.#end);
  }
}
function zero(): Moment {
  return moment(0);
}
async function checkTaken(address: string, bodies: string[]): Promise<void> {
  expect(
    await new OrderSender(new FakeLease(true, 5000), zero).send(intent, address, 'me', 2),
  ).toBe('taken');
  expect(bodies).toHaveLength(1);
}
async function checkLapsed(address: string, bodies: string[]): Promise<void> {
  // The lease is lost between the head and the write: the runner sees no order.
  expect(
    await new OrderSender(new FakeLease(false, 5000), zero).send(intent, address, 'me', 2),
  ).toBe('unsent');
  expect(await new OrderSender(new FakeLease(true, 50), zero).send(intent, address, 'me', 2)).toBe(
    'unsent',
  );
  expect(bodies).toHaveLength(0);
}
test('an order within the lease is taken', () => withRunner(checkTaken));
test('no order is written once the lease is over or about to be', () => withRunner(checkLapsed));
