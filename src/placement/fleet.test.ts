import { expect, test } from 'vitest';
import { parseAs } from '../common/json.js';
import { Relay } from '../dissemination/relay.js';
import { SeededRandom } from '../rehearsal/seeded-random.js';
import {
  applyFleetDelta,
  FleetShape,
  mergeFleetText,
  type Fleet,
  type FleetDelta,
  type FleetRunner,
} from './fleet.js';

test('a delta replaces, adds and removes runners, and keeps the other runner objects', () => {
  const fleet: Fleet = {
    flows: 1,
    waits: [],
    runners: [runner('a', 'm'), runner('b', 'm'), runner('c', 'm')],
  };
  const next = applyFleetDelta(fleet, {
    flows: 2,
    waits: [],
    put: [runner('b', 'n'), runner('d', 'm')],
    drop: ['c'],
  });
  expect(next.runners.map(describeRunner)).toEqual(['a m', 'b n', 'd m']);
  expect(next.runners[0]).toBe(fleet.runners[0]);
  expect(next.flows).toBe(2);
});
test('a relay sends a delta to children with the previous version, and the whole fleet to others', () => {
  const relay = new Relay();
  relay.offer(
    'fleet',
    { epoch: 2, count: 1 },
    JSON.stringify({ flows: 1, waits: [], runners: [runner('a', 'm')] } satisfies Fleet),
  );
  relay.onKnownVersions('old', [{ topic: 'fleet', epoch: 2, count: 1 }]);
  expect(relay.offerDelta('fleet', { epoch: 2, count: 2 }, 1, deltaOf(1, [runner('a', 'n')]))).toBe(
    true,
  );
  // A delta of another epoch, or one that does not follow the present version, is rejected.
  expect(relay.offerDelta('fleet', { epoch: 4, count: 3 }, 2, deltaOf(1, []))).toBe(false);
  expect(relay.offerDelta('fleet', { epoch: 2, count: 4 }, 3, deltaOf(1, []))).toBe(false);
  relay.addChild('new');
  const sends = relay.flush();
  expect(sends.map(describeSend)).toEqual(['old delta', 'new update']);
  const whole = sends[1]?.message;
  expect(whole?.kind === 'update' && whole.body).toContain('"n"');
  expect(relay.flush()).toEqual([]);
});
test('all relays end with the newest fleet, whichever deltas are lost on the way', () => {
  for (let seed = 1; seed <= 20; seed += 1) {
    const numbers = new SeededRandom(seed);
    const random = () => numbers.next();
    const [top, middle, low] = [new Relay(), new Relay(), new Relay()];
    let fleet: Fleet = { flows: 1, waits: [], runners: [] };
    let epoch = 2;
    let count = 0;
    function pass(from: Relay, to: Relay, loss: number): void {
      for (const { message } of from.flush()) {
        if (random() < loss) continue;
        if (message.kind === 'update')
          to.offer(message.topic, { epoch: message.epoch, count: message.count }, message.body);
        else if (message.kind === 'delta')
          to.offerDelta(
            message.topic,
            { epoch: message.epoch, count: message.count },
            message.from,
            message.body,
          );
      }
    }
    for (let step = 0; step < 300; step += 1) {
      if (random() < 0.02) {
        epoch += 2;
        count = 0;
      }
      const put = [runner(`r${Math.floor(random() * 8)}`, `m${Math.floor(random() * 9)}`)];
      const delta: FleetDelta = {
        flows: 1,
        waits: [],
        put,
        drop:
          random() < 0.1 ? [`r${Math.floor(random() * 8)}`].filter((id) => id !== put[0]?.id) : [],
      };
      fleet = applyFleetDelta(fleet, delta);
      count += 1;
      if (!top.offerDelta('fleet', { epoch, count }, count - 1, JSON.stringify(delta)))
        top.offer('fleet', { epoch, count }, JSON.stringify(fleet));
      if (step === 0) {
        top.addChild('middle');
        middle.addChild('low');
      }
      pass(top, middle, 0.2);
      pass(middle, low, 0.2);
      if (random() < 0.2) {
        top.onKnownVersions('middle', middle.knownVersions());
        middle.onKnownVersions('low', low.knownVersions());
      }
    }
    for (let round = 0; round < 3; round += 1) {
      top.onKnownVersions('middle', middle.knownVersions());
      pass(top, middle, 0);
      middle.onKnownVersions('low', low.knownVersions());
      pass(middle, low, 0);
    }
    expect(sorted(low.latest('fleet')?.body ?? '')).toEqual(sorted(JSON.stringify(fleet)));
  }
  expect(mergeFleetText('not json', ['{}'])).toBeUndefined();
});

function runner(id: string, model: string): FleetRunner {
  return {
    id,
    address: `${id}:1`,
    zone: 'z',
    service: 's',
    slots: 1,
    isLeaving: false,
    coldMs: 0,
    holds: [{ model, adapters: [] }],
    coming: [],
  };
}
function describeRunner({ id, holds }: FleetRunner): string {
  return `${id} ${holds[0]?.model}`;
}

function deltaOf(flows: number, put: readonly FleetRunner[]): string {
  return JSON.stringify({ flows, waits: [], put: [...put], drop: [] } satisfies FleetDelta);
}
function describeSend(send: {
  readonly to: string;
  readonly message: { readonly kind: string };
}): string {
  return `${send.to} ${send.message.kind}`;
}
function sorted(body: string): string[] {
  return (parseAs(FleetShape, body)?.runners ?? []).map(describeRunner).sort();
}
