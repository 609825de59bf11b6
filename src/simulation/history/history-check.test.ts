import { expect, test } from 'vitest';
import type {
  Attempt,
  AttemptOutcome,
  History,
  Order,
  OrderRecord,
  ReadRecord,
} from './history.js';
import { checkHistory } from './history-check.js';
import { amendModel } from './model-runs.js';
import { violationText } from './violation.js';

/** Histories made by hand: a bad one for each rule, and beside it one that differs little and is legal. */

class HistoryBuilder {
  readonly #orders: OrderRecord[] = [];
  readonly #reads: ReadRecord[] = [];

  order(order: Order, ...attempts: Attempt[]): this {
    this.#orders.push({ id: this.#orders.length + 1, operator: 'o', order, attempts });
    return this;
  }

  read(sentAt: number, version: number, text: string, evacuated?: readonly string[]): this {
    const document = version === 0 ? undefined : { version, text };
    const id = 100 + this.#reads.length;
    this.#reads.push({
      id,
      operator: 'o',
      node: 'a',
      sentAt,
      endedAt: sentAt + 5,
      document,
      evacuated,
    });
    return this;
  }

  rules(): string[] {
    const found: string[] = [];
    for (const { rule } of checkHistory(this.history(), { amend: amendModel })) found.push(rule);
    return found;
  }

  history(): History {
    return { orders: this.#orders, reads: this.#reads };
  }
}

function put(base: number, version: number, text = `${version}`, isInvalid = false): Order {
  return { kind: 'put', base, version, text, isInvalid };
}
function patch(base: number, version: number, text = `${version}`): Order {
  return { kind: 'patch', base, version, text, isInvalid: false };
}
function evacuate(zone = 'z'): Order {
  return { kind: 'evacuate', zone };
}
function restore(zone = 'z'): Order {
  return { kind: 'restore', zone };
}
function attempt(outcome: AttemptOutcome, sentAt: number, endedAt: number | undefined): Attempt {
  return { node: 'a', sentAt, endedAt, outcome };
}
function accepted(sentAt: number, endedAt = sentAt + 5): Attempt {
  return attempt('accepted', sentAt, endedAt);
}
function refused(sentAt: number, endedAt = sentAt + 5): Attempt {
  return attempt('refused', sentAt, endedAt);
}
function unclear(sentAt: number, endedAt?: number): Attempt {
  return attempt('unclear', sentAt, endedAt);
}
function begun(): HistoryBuilder {
  return new HistoryBuilder();
}
test('a chain of accepted orders is legal', () => {
  const chain = begun()
    .order(put(0, 2), accepted(0))
    .order(patch(2, 5), accepted(10))
    .read(20, 5, '2+5');
  expect(chain.rules()).toEqual([]);
  expect(begun().read(0, 0, '').rules()).toEqual([]);
  expect(begun().rules()).toEqual([]);
});
test('two different orders on one base are not both accepted, the same order twice is', () => {
  const bad = begun()
    .order(put(0, 1, 'a'), accepted(0))
    .order(put(0, 2, 'b'), accepted(1));
  expect(bad.rules()).toEqual(['two-accepted-on-one-base']);
  const sameNumber = begun()
    .order(put(0, 1, 'a'), accepted(0))
    .order(put(0, 1, 'b'), accepted(1));
  expect(sameNumber.rules()).toEqual(['two-accepted-on-one-base']);
  const otherKind = begun()
    .order(put(0, 1, 'a'), accepted(0))
    .order(patch(0, 1, 'a'), accepted(1));
  expect(otherKind.rules()).toEqual(['two-accepted-on-one-base']);
  const same = begun()
    .order(put(0, 1, 'a'), accepted(0))
    .order(put(0, 1, 'a'), accepted(1));
  expect(same.rules()).toEqual([]);
  const refusedOne = begun()
    .order(put(0, 1, 'a'), accepted(0))
    .order(put(0, 1, 'b'), refused(1));
  expect(refusedOne.rules()).toEqual([]);
});
test('what was accepted is not refused', () => {
  const bad = begun().order(put(0, 1), accepted(0), refused(10)).order(put(1, 2), accepted(6));
  expect(bad.rules()).toEqual(['refused-after-accepted']);
  const otherOperator = begun().order(put(0, 1), accepted(0)).order(put(0, 1), refused(10));
  expect(otherOperator.rules()).toEqual(['refused-after-accepted']);
  const lostAnswer = begun().order(put(0, 1), unclear(0), refused(2000)).read(3000, 1, '1');
  expect(lostAnswer.rules()).toEqual(['refused-after-accepted']);
  const again = begun().order(put(0, 1), accepted(0), accepted(10)).order(put(1, 2), accepted(6));
  expect(again.rules()).toEqual([]);
  const lost = begun().order(put(0, 1), accepted(0)).order(put(0, 2), unclear(1), refused(2000));
  expect(lost.rules()).toEqual([]);
  // Sent before its base was in force, and again after it: each answer was right in its time.
  const early = begun()
    .order(put(0, 1), accepted(5, 20))
    .order(put(1, 2), refused(0, 8), accepted(30));
  expect(early.rules()).toEqual([]);
});
test('nobody is refused for a winner that never was', () => {
  const alone = begun().order(put(0, 1), refused(0)).read(10, 0, '');
  expect(alone.rules()).toEqual(['refused-for-a-winner-that-never-was']);
  const winner = begun()
    .order(put(0, 1, 'a'), unclear(0))
    .order(put(0, 2, 'b'), refused(1));
  expect(winner.rules()).toEqual([]);
  const never = begun()
    .order(put(0, 1, 'a'), unclear(0))
    .order(put(0, 2, 'b'), refused(1))
    .read(3000, 0, '');
  expect(never.rules()).toEqual(['refused-for-a-winner-that-never-was']);
  // The winner wins, but only after the refusal.
  const later = begun()
    .order(put(0, 1, 'a'), unclear(0))
    .order(put(0, 2, 'b'), refused(1, 5))
    .read(10, 0, '')
    .read(20, 1, 'a');
  expect(later.rules()).toEqual(['refused-for-a-winner-that-never-was']);
  const inTime = begun()
    .order(put(0, 1, 'a'), unclear(0))
    .order(put(0, 2, 'b'), refused(1, 15))
    .read(10, 0, '')
    .read(20, 1, 'a');
  expect(inTime.rules()).toEqual([]);
  const invalid = begun()
    .order(put(0, 1, 'a', true), refused(0))
    .read(10, 0, '');
  expect(invalid.rules()).toEqual([]);
});
function unreadable(): undefined {
  return undefined;
}
test('a change may be refused that cannot be applied to its base', () => {
  const chain = begun().order(put(0, 1), accepted(0));
  expect(chain.order(patch(1, 2), refused(10)).rules()).toEqual([
    'refused-for-a-winner-that-never-was',
  ]);
  const rest = begun().order(put(0, 1), accepted(0)).order(patch(1, 2), refused(10)).history();
  // A change that cannot be applied to the document in force is invalid with it.
  expect(checkHistory(rest, { amend: unreadable })).toEqual([]);
});
test('no read is older than what was known when it began', () => {
  const twice = begun().order(put(0, 1), accepted(0)).order(put(1, 2), accepted(10));
  expect(twice.read(20, 1, '1').read(30, 2, '2').rules()).toEqual(['stale-read']);
  const meanwhile = begun().order(put(0, 1), accepted(0)).order(put(1, 2), accepted(10, 22));
  expect(meanwhile.read(20, 1, '1').read(30, 2, '2').rules()).toEqual([]);
  const readBefore = begun().order(put(0, 1), accepted(0)).order(put(1, 2), unclear(10));
  expect(readBefore.read(20, 2, '2').read(30, 1, '1').rules()).toEqual(['stale-read']);
  const none = begun().order(put(0, 1), accepted(0)).read(10, 0, '').read(20, 1, '1');
  expect(none.rules()).toEqual(['stale-read']);
});
test('what was accepted is not lost', () => {
  const lost = begun().order(put(0, 1), accepted(0)).order(put(1, 2), accepted(10));
  expect(lost.read(20, 1, '1').rules()).toEqual(['lost-accepted']);
  const unknown = begun().order(put(0, 1), accepted(0)).order(put(1, 2), unclear(10));
  expect(unknown.read(20, 1, '1').rules()).toEqual([]);
  const onTop = begun().order(put(0, 1), accepted(0)).order(put(1, 2), unclear(10));
  expect(onTop.read(20, 2, '2').rules()).toEqual([]);
  // The newest version passes the accepted one over: it builds on what was before.
  const passedOver = begun()
    .order(put(0, 1), accepted(0))
    .order(put(1, 2), accepted(10))
    .order(put(1, 3), unclear(11))
    .order(put(3, 4), accepted(20))
    .read(30, 4, '4');
  expect(passedOver.rules()).toEqual(['lost-accepted']);
});
test('what was refused or has lost is not in force', () => {
  const loser = begun().order(put(0, 1), refused(0)).order(put(0, 2), unclear(0)).read(10, 1, '1');
  expect(loser.rules()).toContain('losing-in-force');
  const rival = begun().order(put(0, 1), accepted(0)).order(put(0, 2), unclear(0)).read(10, 2, '2');
  expect(rival.rules()).toContain('losing-in-force');
  const winner = begun().order(put(0, 1), refused(0)).order(put(0, 2), unclear(0)).read(10, 2, '2');
  expect(winner.rules()).toEqual([]);
});
test('what is invalid is neither accepted nor in force', () => {
  expect(
    begun()
      .order(put(0, 1, 'a', true), accepted(0))
      .rules(),
  ).toEqual(['invalid-accepted']);
  expect(begun().order(put(2, 1), accepted(0)).rules()).toContain('invalid-accepted');
  const inForce = begun()
    .order(put(0, 1, 'a', true), unclear(0))
    .read(10, 1, 'a');
  expect(inForce.rules()).toEqual(['invalid-in-force']);
  expect(
    begun()
      .order(put(0, 1, 'a', true), unclear(0))
      .read(10, 0, '')
      .rules(),
  ).toEqual([]);
});
test('a read brings a document as it was sent, or as its changes made it', () => {
  expect(begun().order(put(0, 1), accepted(0)).read(10, 1, 'x').rules()).toEqual([
    'read-not-as-sent',
  ]);
  expect(begun().order(put(0, 1), accepted(0)).read(10, 3, '1').rules()).toEqual([
    'read-not-as-sent',
  ]);
  const patched = begun().order(put(0, 1), accepted(0)).order(patch(1, 2), accepted(10));
  expect(patched.read(20, 2, '2').rules()).toEqual(['read-not-as-sent']);
  // The change is put on a document that never was its base: the accepted one on that base is another.
  const base = begun()
    .order(put(0, 1, 'a'), accepted(0))
    .order(put(0, 1, 'b'), unclear(0))
    .order(patch(1, 2), accepted(10))
    .read(20, 2, 'b+2');
  expect(base.rules()).toEqual(['read-not-as-sent']);
  const unknown = begun().order(put(0, 1), accepted(0)).order(patch(1, 2), accepted(10));
  expect(checkHistory(unknown.read(20, 2, 'any').history())).toEqual([]);
  const differing = unknown.read(30, 2, 'other').history();
  expect(checkHistory(differing).map(violationText)).toEqual([
    'read-not-as-sent: read 101, version 2',
  ]);
});
test('an order without a clear answer takes effect in time or never', () => {
  const late = begun().order(put(0, 1), unclear(0)).read(5001, 0, '').read(5010, 1, '1');
  expect(late.rules()).toEqual(['late-configuration']);
  const inTime = begun().order(put(0, 1), unclear(0)).read(4990, 0, '').read(5010, 1, '1');
  expect(inTime.rules()).toEqual([]);
});
test('nothing is read before it was sent', () => {
  // Read before it was sent by anybody.
  const early = begun().read(0, 1, '1').order(put(0, 1), accepted(10));
  expect(early.rules()).toEqual(['not-linearizable']);
  expect(begun().read(10, 1, '1').order(put(0, 1), accepted(10)).rules()).toEqual([]);
});
test('a late copy of an evacuation does not empty the zone again', () => {
  const bad = begun()
    .order(evacuate(), unclear(0), accepted(1000))
    .order(restore(), accepted(1100))
    .read(9000, 0, '', ['z']);
  expect(bad.rules()).toEqual(['late-evacuation']);
  const otherZone = begun()
    .order(evacuate('y'), unclear(0), accepted(1000))
    .order(restore('z'), accepted(1100))
    .read(9000, 0, '', ['y']);
  expect(otherZone.rules()).toEqual([]);
  const twice = begun()
    .order(evacuate(), accepted(0))
    .order(restore(), accepted(1100))
    .order(evacuate(), unclear(1200))
    .read(9000, 0, '', ['z']);
  expect(twice.rules()).toEqual([]);
  const unsettled = begun()
    .order(evacuate(), unclear(0))
    .order(restore(), accepted(1100))
    .read(1200, 0, '', [])
    .read(4000, 0, '', ['z']);
  expect(unsettled.rules()).toEqual([]);
  const tooLate = begun()
    .order(evacuate(), unclear(0))
    .order(restore(), accepted(1100))
    .read(5100, 0, '', [])
    .read(9000, 0, '', ['z']);
  expect(tooLate.rules()).toEqual(['late-evacuation']);
});
test('a late copy of an end of an evacuation does not fill the zone again', () => {
  const bad = begun()
    .order(evacuate(), accepted(0))
    .order(restore(), accepted(100))
    .order(evacuate(), accepted(200))
    .read(300, 0, '', ['z'])
    .read(400, 0, '', []);
  expect(bad.rules()).toEqual(['late-restore']);
  const again = begun()
    .order(evacuate(), accepted(0))
    .order(restore(), unclear(100))
    .order(evacuate(), accepted(200))
    .read(300, 0, '', ['z'])
    .read(400, 0, '', []);
  expect(again.rules()).toEqual([]);
});
test('a copy that no node could know to be late may take effect once', () => {
  const taken: Attempt = { ...unclear(100), takenLateAt: 1120 };
  // A node took the first copy while the operator's close was on the line, after the second had been acknowledged.
  const unknowable = begun()
    .order(evacuate(), accepted(0))
    .order(restore(), taken, accepted(1150))
    .order(evacuate(), accepted(1200))
    .read(1300, 0, '', ['z'])
    .read(1400, 0, '', []);
  expect(unknowable.rules()).toEqual([]);
  // Once only, and not for ever.
  const twice = begun()
    .order(evacuate(), accepted(0))
    .order(restore(), taken, accepted(1150))
    .order(evacuate(), accepted(1200))
    .read(1300, 0, '', ['z'])
    .read(1400, 0, '', [])
    .read(1410, 0, '', [])
    .order(evacuate(), accepted(1500))
    .read(1600, 0, '', ['z'])
    .read(1700, 0, '', []);
  expect(twice.rules()).toEqual(['late-restore']);
  const tooLate = begun()
    .order(evacuate(), accepted(0))
    .order(restore(), taken, accepted(1150))
    .order(evacuate(), accepted(1200))
    .read(5200, 0, '', ['z'])
    .read(5210, 0, '', ['z'])
    .read(5300, 0, '', []);
  expect(tooLate.rules()).toEqual(['late-restore']);
});
test('each copy of an evacuation or its end may take effect, until the operator knows', () => {
  // The first copy took effect before the evacuation and the second after it; no copy is older than the acceptance.
  const twice = begun()
    .order(restore(), unclear(0), accepted(1000))
    .order(evacuate(), accepted(400))
    .read(100, 0, '', [])
    .read(500, 0, '', ['z'])
    .read(1100, 0, '', []);
  expect(twice.rules()).toEqual([]);
  const once = begun()
    .order(restore(), accepted(0, 300))
    .order(evacuate(), accepted(400))
    .read(500, 0, '', ['z'])
    .read(1100, 0, '', []);
  expect(once.rules()).toEqual(['late-restore']);
});
test('reads bring the evacuated zones', () => {
  const stale = begun().order(evacuate(), accepted(0)).read(10, 0, '', []).read(20, 0, '', ['z']);
  expect(stale.rules()).toEqual(['stale-read']);
  const lost = begun().order(evacuate(), accepted(0)).read(10, 0, '', ['z']).read(20, 0, '', []);
  expect(lost.rules()).toEqual(['lost-accepted']);
  expect(begun().order(evacuate(), accepted(0)).read(10, 0, '').rules()).toEqual([]);
  expect(begun().read(10, 0, '', ['z']).rules()).toEqual(['not-linearizable']);
});
test('an evacuation is not refused', () => {
  expect(begun().order(evacuate(), refused(0)).rules()).toEqual(['refused-without-cause']);
  expect(begun().order(evacuate(), accepted(0), refused(10)).rules()).toEqual([
    'refused-after-accepted',
  ]);
});

const LONG = 1000;
test('a thousand orders, eight at once, are judged at once', () => {
  // Eight operators race for every version; the winner's answer is lost each time, and it is sent again.
  const long = begun();
  for (let version = 0; version < LONG / 8; version += 1) {
    const at = version * 3000;
    long.order(put(version, version + 1, `w${version}`), unclear(at), accepted(at + 1000));
    for (let rival = 1; rival < 8; rival += 1) {
      const text = `r${version}-${rival}`;
      if (rival % 2 === 0) long.order(put(version, version + 1, text), unclear(at + rival));
      else long.order(put(version, version + 1, text), refused(at + rival, at + 500));
    }
    long.read(at + 2000, version + 1, `w${version}`, version % 2 === 0 ? ['z'] : []);
    if (version % 2 === 0) long.order(evacuate(), unclear(at), unclear(at + 1000, at + 1500));
    else long.order(restore(), unclear(at), accepted(at + 1000, at + 1500));
  }
  expect(long.rules()).toEqual([]);
  expect(long.read(LONG * 3000, LONG / 8, 'r124-2').rules()).not.toEqual([]);
}, 10_000);
