import { expect, test } from 'vitest';
import { Scheduler } from '../rehearsal/scheduler.js';
import { SeededRandom } from '../rehearsal/seeded-random.js';
import type { Endpoint } from './endpoint.js';
import { RandomStreams } from './random-streams.js';
import { SimNetwork, type Host } from './sim-network.js';
import { SimProcess } from './sim-process.js';

/** A host that records what it receives. */
class ListeningHost implements Host {
  readonly id: string;
  readonly process: SimProcess;
  readonly received: string[] = [];
  endpoint: Endpoint | undefined;
  isPowered = true;
  isListening = true;

  constructor(id: string, scheduler: Scheduler) {
    this.id = id;
    this.process = new SimProcess(scheduler, new SeededRandom(3), 0);
    this.process.begin();
  }

  accept(endpoint: Endpoint): void {
    this.connected(endpoint);
  }

  connected(endpoint: Endpoint): void {
    this.endpoint = endpoint;
    const { received } = this;
    endpoint.handler = {
      data: received.push.bind(received),
      closed: received.push.bind(received, 'closed'),
    };
  }

  refused(): void {
    this.received.push('refused');
  }
}

class Pair {
  readonly scheduler = new Scheduler();
  readonly network = new SimNetwork(this.scheduler, new RandomStreams(1));
  readonly near = new ListeningHost('near', this.scheduler);
  readonly far = new ListeningHost('far', this.scheduler);

  constructor() {
    this.network.addHost(this.near);
    this.network.addHost(this.far);
  }

  connect(): this {
    this.network.connect(this.near, 'far', 'nodes', this.near);
    this.run(20);
    return this;
  }

  run(millis: number): void {
    this.scheduler.runUntil(this.scheduler.now + millis);
  }

  send(...texts: readonly string[]): void {
    for (const text of texts) this.near.endpoint?.send(text);
  }
}

test('payloads written to a connection arrive in order', () => {
  const pair = new Pair().connect();
  pair.send('1', '2', '3', '4');
  pair.run(50);
  expect(pair.far.received).toEqual(['1', '2', '3', '4']);
});
test('payloads held up by a cut arrive after it, even if their sender has closed the connection', () => {
  const pair = new Pair().connect();
  pair.network.cut('near', 'far', 'silent');
  pair.send('1', '2');
  pair.near.endpoint?.close();
  pair.run(5000);
  expect(pair.far.received).toEqual([]);
  pair.network.heal('near', 'far');
  pair.run(200);
  // The sender has closed meanwhile, but the payloads still arrive.
  expect(pair.far.received).toEqual(['1', '2', 'closed']);
});
test('a cut can affect one direction only', () => {
  const pair = new Pair().connect();
  pair.network.cut('near', 'far', 'silent');
  pair.far.endpoint?.send('back');
  pair.send('there');
  pair.run(1000);
  expect([pair.near.received, pair.far.received]).toEqual([['back'], []]);
});
test('a link that several faults cut is healed when the last of them ends', () => {
  const pair = new Pair().connect();
  pair.network.cut('near', 'far', 'silent');
  pair.network.cut('near', 'far', 'silent');
  pair.network.heal('near', 'far');
  expect(pair.network.isCut('near', 'far')).toBe(true);
  pair.network.heal('near', 'far');
  expect(pair.network.isCut('near', 'far')).toBe(false);
});
test('a reset drops payloads that were held up, and both sides are notified', () => {
  const pair = new Pair().connect();
  pair.network.cut('near', 'far', 'silent');
  pair.send('1');
  pair.network.resetConnections('near', 1);
  pair.network.heal('near', 'far');
  pair.run(500);
  expect([pair.near.received, pair.far.received]).toEqual([['closed'], ['closed']]);
});
test('a machine without power sends nothing, and its unsent payloads are lost', () => {
  const pair = new Pair().connect();
  pair.network.cut('near', 'far', 'silent');
  pair.send('lost');
  pair.network.powerLost('near');
  pair.network.heal('near', 'far');
  pair.run(500);
  // The other side is not notified.
  expect(pair.far.received).toEqual([]);
  pair.far.endpoint?.send('anybody?');
  pair.run(500);
  expect(pair.far.received).toEqual(['closed']);
});
test('a thawed process reads what arrived while it was frozen', () => {
  const pair = new Pair();
  pair.far.process.freeze();
  pair.connect();
  pair.send('1', '2');
  pair.near.endpoint?.close();
  pair.run(3000);
  expect(pair.far.endpoint).toBeUndefined();
  pair.far.process.thaw();
  // Its kernel accepted the connection: the call is read although the caller has closed.
  expect(pair.far.received).toEqual(['1', '2', 'closed']);
});
test('a closed port refuses a connection, a machine without power does not respond', () => {
  const pair = new Pair();
  pair.far.isListening = false;
  pair.connect();
  expect(pair.near.received).toEqual(['refused']);
  pair.far.isPowered = false;
  pair.connect();
  expect(pair.near.received).toEqual(['refused']);
});
