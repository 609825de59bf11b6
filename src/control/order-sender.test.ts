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
  readonly #mayOrder: boolean;
  readonly #endMs: number;
  constructor(may: boolean, end: number) {
    this.#mayOrder = may;
    this.#endMs = end;
  }
  mayOrder(): boolean {
    return this.#mayOrder;
  }
  leaseEnd(): Moment {
    return moment(this.#endMs);
  }
}
function nowAtZero(): Moment {
  return moment(0);
}
async function checkAccepted(address: string, bodies: string[]): Promise<void> {
  expect(
    await new OrderSender(new FakeLease(true, 5000), nowAtZero).send(intent, address, 'me', 2),
  ).toBe('taken');
  expect(bodies).toHaveLength(1);
}
async function checkExpiredLease(address: string, bodies: string[]): Promise<void> {
  // The lease is lost between the headers and the body: the runner receives no order.
  expect(
    await new OrderSender(new FakeLease(false, 5000), nowAtZero).send(intent, address, 'me', 2),
  ).toBe('unsent');
  expect(
    await new OrderSender(new FakeLease(true, 50), nowAtZero).send(intent, address, 'me', 2),
  ).toBe('unsent');
  expect(bodies).toHaveLength(0);
}
test('an order within the lease is accepted', () => withRunner(checkAccepted));
test('no order is written after the lease has ended or shortly before its end', () =>
  withRunner(checkExpiredLease));
