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

/** Handwritten histories: for each rule an illegal one, and a similar one that is legal. */

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
function newHistory(): HistoryBuilder {
  return new HistoryBuilder();
}
test('a chain of accepted orders is legal', () => {
  const chain = newHistory()
    .order(put(0, 2), accepted(0))
    .order(patch(2, 5), accepted(10))
    .read(20, 5, '2+5');
  expect(chain.rules()).toEqual([]);
  expect(newHistory().read(0, 0, '').rules()).toEqual([]);
  expect(newHistory().rules()).toEqual([]);
});
test('two different orders on one base must not both be accepted, but the same order may be accepted twice', () => {
  const bad = newHistory()
    .order(put(0, 1, 'a'), accepted(0))
    .order(put(0, 2, 'b'), accepted(1));
  expect(bad.rules()).toEqual(['two-accepted-on-one-base']);
  const sameNumber = newHistory()
    .order(put(0, 1, 'a'), accepted(0))
    .order(put(0, 1, 'b'), accepted(1));
  expect(sameNumber.rules()).toEqual(['two-accepted-on-one-base']);
  const otherKind = newHistory()
    .order(put(0, 1, 'a'), accepted(0))
    .order(patch(0, 1, 'a'), accepted(1));
  expect(otherKind.rules()).toEqual(['two-accepted-on-one-base']);
  const same = newHistory()
    .order(put(0, 1, 'a'), accepted(0))
    .order(put(0, 1, 'a'), accepted(1));
  expect(same.rules()).toEqual([]);
  const refusedOne = newHistory()
    .order(put(0, 1, 'a'), accepted(0))
    .order(put(0, 1, 'b'), refused(1));
  expect(refusedOne.rules()).toEqual([]);
});
test('an accepted order must not be refused', () => {
  const bad = newHistory().order(put(0, 1), accepted(0), refused(10)).order(put(1, 2), accepted(6));
  expect(bad.rules()).toEqual(['refused-after-accepted']);
  const otherOperator = newHistory().order(put(0, 1), accepted(0)).order(put(0, 1), refused(10));
  expect(otherOperator.rules()).toEqual(['refused-after-accepted']);
  const lostAnswer = newHistory().order(put(0, 1), unclear(0), refused(2000)).read(3000, 1, '1');
  expect(lostAnswer.rules()).toEqual(['refused-after-accepted']);
  const again = newHistory()
    .order(put(0, 1), accepted(0), accepted(10))
    .order(put(1, 2), accepted(6));
  expect(again.rules()).toEqual([]);
  const lost = newHistory()
    .order(put(0, 1), accepted(0))
    .order(put(0, 2), unclear(1), refused(2000));
  expect(lost.rules()).toEqual([]);
  // Sent before its base was in force, and again afterwards: each answer was correct at its time.
  const early = newHistory()
    .order(put(0, 1), accepted(5, 20))
    .order(put(1, 2), refused(0, 8), accepted(30));
  expect(early.rules()).toEqual([]);
});
test('an order must not be refused unless another order on its base took effect', () => {
  const alone = newHistory().order(put(0, 1), refused(0)).read(10, 0, '');
  expect(alone.rules()).toEqual(['refused-for-a-winner-that-never-was']);
  const winner = newHistory()
    .order(put(0, 1, 'a'), unclear(0))
    .order(put(0, 2, 'b'), refused(1));
  expect(winner.rules()).toEqual([]);
  const never = newHistory()
    .order(put(0, 1, 'a'), unclear(0))
    .order(put(0, 2, 'b'), refused(1))
    .read(3000, 0, '');
  expect(never.rules()).toEqual(['refused-for-a-winner-that-never-was']);
  // The other order takes effect, but only after the refusal.
  const later = newHistory()
    .order(put(0, 1, 'a'), unclear(0))
    .order(put(0, 2, 'b'), refused(1, 5))
    .read(10, 0, '')
    .read(20, 1, 'a');
  expect(later.rules()).toEqual(['refused-for-a-winner-that-never-was']);
  const inTime = newHistory()
    .order(put(0, 1, 'a'), unclear(0))
    .order(put(0, 2, 'b'), refused(1, 15))
    .read(10, 0, '')
    .read(20, 1, 'a');
  expect(inTime.rules()).toEqual([]);
  const invalid = newHistory()
    .order(put(0, 1, 'a', true), refused(0))
    .read(10, 0, '');
  expect(invalid.rules()).toEqual([]);
});
function neverApplicable(): undefined {
  return undefined;
}
test('a change that cannot be applied to its base may be refused', () => {
  const chain = newHistory().order(put(0, 1), accepted(0));
  expect(chain.order(patch(1, 2), refused(10)).rules()).toEqual([
    'refused-for-a-winner-that-never-was',
  ]);
  const rest = newHistory().order(put(0, 1), accepted(0)).order(patch(1, 2), refused(10)).history();
  // A change that can't be applied to the document in force may be refused.
  expect(checkHistory(rest, { amend: neverApplicable })).toEqual([]);
});
test('a read must not return an older version than was known when it started', () => {
  const twice = newHistory().order(put(0, 1), accepted(0)).order(put(1, 2), accepted(10));
  expect(twice.read(20, 1, '1').read(30, 2, '2').rules()).toEqual(['stale-read']);
  const meanwhile = newHistory().order(put(0, 1), accepted(0)).order(put(1, 2), accepted(10, 22));
  expect(meanwhile.read(20, 1, '1').read(30, 2, '2').rules()).toEqual([]);
  const readBefore = newHistory().order(put(0, 1), accepted(0)).order(put(1, 2), unclear(10));
  expect(readBefore.read(20, 2, '2').read(30, 1, '1').rules()).toEqual(['stale-read']);
  const none = newHistory().order(put(0, 1), accepted(0)).read(10, 0, '').read(20, 1, '1');
  expect(none.rules()).toEqual(['stale-read']);
});
test('an accepted order must not be lost', () => {
  const lost = newHistory().order(put(0, 1), accepted(0)).order(put(1, 2), accepted(10));
  expect(lost.read(20, 1, '1').rules()).toEqual(['lost-accepted']);
  const unknown = newHistory().order(put(0, 1), accepted(0)).order(put(1, 2), unclear(10));
  expect(unknown.read(20, 1, '1').rules()).toEqual([]);
  const onTop = newHistory().order(put(0, 1), accepted(0)).order(put(1, 2), unclear(10));
  expect(onTop.read(20, 2, '2').rules()).toEqual([]);
  // The newest version skips the accepted order: it is based on the version before it.
  const passedOver = newHistory()
    .order(put(0, 1), accepted(0))
    .order(put(1, 2), accepted(10))
    .order(put(1, 3), unclear(11))
    .order(put(3, 4), accepted(20))
    .read(30, 4, '4');
  expect(passedOver.rules()).toEqual(['lost-accepted']);
});
test('an order that was refused or lost to an accepted one must not be in force', () => {
  const loser = newHistory()
    .order(put(0, 1), refused(0))
    .order(put(0, 2), unclear(0))
    .read(10, 1, '1');
  expect(loser.rules()).toContain('losing-in-force');
  const rival = newHistory()
    .order(put(0, 1), accepted(0))
    .order(put(0, 2), unclear(0))
    .read(10, 2, '2');
  expect(rival.rules()).toContain('losing-in-force');
  const winner = newHistory()
    .order(put(0, 1), refused(0))
    .order(put(0, 2), unclear(0))
    .read(10, 2, '2');
  expect(winner.rules()).toEqual([]);
});
test('an invalid order must be neither accepted nor in force', () => {
  expect(
    newHistory()
      .order(put(0, 1, 'a', true), accepted(0))
      .rules(),
  ).toEqual(['invalid-accepted']);
  expect(newHistory().order(put(2, 1), accepted(0)).rules()).toContain('invalid-accepted');
  const inForce = newHistory()
    .order(put(0, 1, 'a', true), unclear(0))
    .read(10, 1, 'a');
  expect(inForce.rules()).toEqual(['invalid-in-force']);
  expect(
    newHistory()
      .order(put(0, 1, 'a', true), unclear(0))
      .read(10, 0, '')
      .rules(),
  ).toEqual([]);
});
test('a read must return a document as it was sent, or as its patches produced it', () => {
  expect(newHistory().order(put(0, 1), accepted(0)).read(10, 1, 'x').rules()).toEqual([
    'read-not-as-sent',
  ]);
  expect(newHistory().order(put(0, 1), accepted(0)).read(10, 3, '1').rules()).toEqual([
    'read-not-as-sent',
  ]);
  const patched = newHistory().order(put(0, 1), accepted(0)).order(patch(1, 2), accepted(10));
  expect(patched.read(20, 2, '2').rules()).toEqual(['read-not-as-sent']);
  // The patch is applied to a document that never was its base: another one was accepted under that version.
  const base = newHistory()
    .order(put(0, 1, 'a'), accepted(0))
    .order(put(0, 1, 'b'), unclear(0))
    .order(patch(1, 2), accepted(10))
    .read(20, 2, 'b+2');
  expect(base.rules()).toEqual(['read-not-as-sent']);
  const unknown = newHistory().order(put(0, 1), accepted(0)).order(patch(1, 2), accepted(10));
  expect(checkHistory(unknown.read(20, 2, 'any').history())).toEqual([]);
  const differing = unknown.read(30, 2, 'other').history();
  expect(checkHistory(differing).map(violationText)).toEqual([
    'read-not-as-sent: read 101, version 2',
  ]);
});
test('an order without a definite answer takes effect within a bounded time or never', () => {
  const late = newHistory().order(put(0, 1), unclear(0)).read(5001, 0, '').read(5010, 1, '1');
  expect(late.rules()).toEqual(['late-configuration']);
  const inTime = newHistory().order(put(0, 1), unclear(0)).read(4990, 0, '').read(5010, 1, '1');
  expect(inTime.rules()).toEqual([]);
});
test('a document must not be read before it was sent', () => {
  // The read ended before the order was first sent.
  const early = newHistory().read(0, 1, '1').order(put(0, 1), accepted(10));
  expect(early.rules()).toEqual(['not-linearizable']);
  expect(newHistory().read(10, 1, '1').order(put(0, 1), accepted(10)).rules()).toEqual([]);
});
test('a late copy of an evacuation must not evacuate the zone again', () => {
  const bad = newHistory()
    .order(evacuate(), unclear(0), accepted(1000))
    .order(restore(), accepted(1100))
    .read(9000, 0, '', ['z']);
  expect(bad.rules()).toEqual(['late-evacuation']);
  const otherZone = newHistory()
    .order(evacuate('y'), unclear(0), accepted(1000))
    .order(restore('z'), accepted(1100))
    .read(9000, 0, '', ['y']);
  expect(otherZone.rules()).toEqual([]);
  const twice = newHistory()
    .order(evacuate(), accepted(0))
    .order(restore(), accepted(1100))
    .order(evacuate(), unclear(1200))
    .read(9000, 0, '', ['z']);
  expect(twice.rules()).toEqual([]);
  const unsettled = newHistory()
    .order(evacuate(), unclear(0))
    .order(restore(), accepted(1100))
    .read(1200, 0, '', [])
    .read(4000, 0, '', ['z']);
  expect(unsettled.rules()).toEqual([]);
  const tooLate = newHistory()
    .order(evacuate(), unclear(0))
    .order(restore(), accepted(1100))
    .read(5100, 0, '', [])
    .read(9000, 0, '', ['z']);
  expect(tooLate.rules()).toEqual(['late-evacuation']);
});
test('a late copy of a restore must not restore the zone again', () => {
  const bad = newHistory()
    .order(evacuate(), accepted(0))
    .order(restore(), accepted(100))
    .order(evacuate(), accepted(200))
    .read(300, 0, '', ['z'])
    .read(400, 0, '', []);
  expect(bad.rules()).toEqual(['late-restore']);
  const again = newHistory()
    .order(evacuate(), accepted(0))
    .order(restore(), unclear(100))
    .order(evacuate(), accepted(200))
    .read(300, 0, '', ['z'])
    .read(400, 0, '', []);
  expect(again.rules()).toEqual([]);
});
test('a copy that no node could know to be late may take effect once', () => {
  const startedLate: Attempt = { ...unclear(100), takenLateAt: 1120 };
  // A node started the first copy before the operator's close arrived; it takes effect after the second one was
  // acknowledged.
  const unknowable = newHistory()
    .order(evacuate(), accepted(0))
    .order(restore(), startedLate, accepted(1150))
    .order(evacuate(), accepted(1200))
    .read(1300, 0, '', ['z'])
    .read(1400, 0, '', []);
  expect(unknowable.rules()).toEqual([]);
  // At most once, and only for a bounded time.
  const twice = newHistory()
    .order(evacuate(), accepted(0))
    .order(restore(), startedLate, accepted(1150))
    .order(evacuate(), accepted(1200))
    .read(1300, 0, '', ['z'])
    .read(1400, 0, '', [])
    .read(1410, 0, '', [])
    .order(evacuate(), accepted(1500))
    .read(1600, 0, '', ['z'])
    .read(1700, 0, '', []);
  expect(twice.rules()).toEqual(['late-restore']);
  const tooLate = newHistory()
    .order(evacuate(), accepted(0))
    .order(restore(), startedLate, accepted(1150))
    .order(evacuate(), accepted(1200))
    .read(5200, 0, '', ['z'])
    .read(5210, 0, '', ['z'])
    .read(5300, 0, '', []);
  expect(tooLate.rules()).toEqual(['late-restore']);
});
test('each copy of an evacuation or a restore may take effect until the operator gets the acceptance', () => {
  // The first copy took effect before the evacuation and the second after it, both before the acceptance.
  const twice = newHistory()
    .order(restore(), unclear(0), accepted(1000))
    .order(evacuate(), accepted(400))
    .read(100, 0, '', [])
    .read(500, 0, '', ['z'])
    .read(1100, 0, '', []);
  expect(twice.rules()).toEqual([]);
  const once = newHistory()
    .order(restore(), accepted(0, 300))
    .order(evacuate(), accepted(400))
    .read(500, 0, '', ['z'])
    .read(1100, 0, '', []);
  expect(once.rules()).toEqual(['late-restore']);
});
test('reads of the evacuated zones are checked', () => {
  const stale = newHistory()
    .order(evacuate(), accepted(0))
    .read(10, 0, '', [])
    .read(20, 0, '', ['z']);
  expect(stale.rules()).toEqual(['stale-read']);
  const lost = newHistory()
    .order(evacuate(), accepted(0))
    .read(10, 0, '', ['z'])
    .read(20, 0, '', []);
  expect(lost.rules()).toEqual(['lost-accepted']);
  expect(newHistory().order(evacuate(), accepted(0)).read(10, 0, '').rules()).toEqual([]);
  expect(newHistory().read(10, 0, '', ['z']).rules()).toEqual(['not-linearizable']);
});
test('an evacuation must not be refused', () => {
  expect(newHistory().order(evacuate(), refused(0)).rules()).toEqual(['refused-without-cause']);
  expect(newHistory().order(evacuate(), accepted(0), refused(10)).rules()).toEqual([
    'refused-after-accepted',
  ]);
});

const LONG_HISTORY_ORDERS = 1000;
test('a thousand orders, eight of them concurrent, are checked quickly', () => {
  // Eight operators compete for every version; each time the winner's answer is lost, and the order is sent again.
  const long = newHistory();
  for (let version = 0; version < LONG_HISTORY_ORDERS / 8; version += 1) {
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
  expect(
    long.read(LONG_HISTORY_ORDERS * 3000, LONG_HISTORY_ORDERS / 8, 'r124-2').rules(),
  ).not.toEqual([]);
}, 10_000);
