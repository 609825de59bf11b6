import fc from 'fast-check';
import { expect, test } from 'vitest';
import { BodyBuffer } from './body-buffer.js';
import { MemoryAccount, type Reservation } from './memory-account.js';

const SEED = 46;
const CAPACITY_BYTES = 10_000;
const REQUESTS = 6;

interface Step {
  readonly act: 'reserve' | 'giveBack' | 'allow' | 'touch' | 'keep' | 'release' | 'advance';
  readonly request: number;
  readonly bytes: number;
}

const STEPS = fc.array(
  fc.record<Step>({
    act: fc.constantFrom('reserve', 'giveBack', 'allow', 'touch', 'keep', 'release', 'advance'),
    request: fc.nat(REQUESTS - 1),
    bytes: fc.nat(CAPACITY_BYTES),
  }),
  { maxLength: 80 },
);

function apply(account: MemoryAccount, reservation: Reservation, { act, bytes }: Step): void {
  switch (act) {
    case 'reserve':
      reservation.reserve(bytes);
      break;
    case 'giveBack':
      reservation.giveBack(bytes);
      break;
    case 'allow':
      reservation.allowRevocation();
      break;
    case 'touch':
      reservation.touch();
      break;
    case 'keep':
      reservation.keep();
      break;
    case 'release':
      reservation.release();
      break;
    case 'advance':
      account.advance(2);
      break;
  }
}

test('what is reserved is what the requests hold, never over the capacity, and 0 once all have ended', () => {
  fc.assert(
    fc.property(STEPS, (steps) => {
      const account = new MemoryAccount(CAPACITY_BYTES);
      const reservations: Reservation[] = [];
      for (let index = 0; index < REQUESTS; index += 1)
        reservations.push(account.open(() => undefined));
      for (const step of steps) {
        const reservation = reservations[step.request];
        if (reservation) apply(account, reservation, step);
        const held = reservations.reduce((sum, { bytes }) => sum + bytes, 0);
        expect(account.reservedBytes).toBe(held);
        expect(held).toBeLessThanOrEqual(CAPACITY_BYTES);
      }
      for (const reservation of reservations) reservation.release();
      expect(account.reservedBytes).toBe(0);
    }),
    { seed: SEED, numRuns: 500 },
  );
});

test('a request that is new finds room as long as others rest in their bodies', () => {
  fc.assert(
    fc.property(
      fc.array(fc.integer({ min: 1, max: CAPACITY_BYTES }), { maxLength: 30 }),
      (sizes) => {
        const account = new MemoryAccount(CAPACITY_BYTES);
        for (const bytes of sizes) {
          const reservation = account.open(() => undefined);
          reservation.allowRevocation();
          expect(reservation.reserve(bytes)).toBe(true);
        }
      },
    ),
    { seed: SEED, numRuns: 500 },
  );
});

test('whoever has made no progress for the longest gives way first', () => {
  const account = new MemoryAccount(100);
  const revoked: string[] = [];
  function open(name: string): Reservation {
    const reservation = account.open((reason) => revoked.push(`${name} ${reason}`));
    reservation.allowRevocation();
    reservation.reserve(40);
    return reservation;
  }
  const first = open('first');
  open('second');
  first.touch();
  open('third');
  expect(revoked).toEqual(['second memory']);
  first.keep();
  open('fourth');
  expect(revoked).toEqual(['second memory', 'third memory']);
  // Nobody but `fourth` itself can give way.
  const late = account.open(() => undefined);
  expect(late.reserve(61)).toBe(false);
});

test('whoever rests for longer than allowed gives way', () => {
  const account = new MemoryAccount(100);
  const revoked: string[] = [];
  const resting = account.open((reason) => revoked.push(`resting ${reason}`));
  const active = account.open((reason) => revoked.push(`active ${reason}`));
  resting.allowRevocation();
  active.allowRevocation();
  account.advance(2);
  active.touch();
  account.advance(2);
  account.advance(2);
  expect(revoked).toEqual(['resting rest']);
});

test('a body is the same in whatever chunks it comes, and costs at most twice its length and a constant', () => {
  fc.assert(
    fc.property(
      fc.uint8Array({ maxLength: 30_000 }),
      fc.array(fc.integer({ min: 1, max: 5000 })),
      fc.boolean(),
      (content, cuts, isAnnounced) => {
        const account = new MemoryAccount(1_000_000);
        const reservation = account.open(() => undefined);
        const buffer = new BodyBuffer(reservation, {
          maxBytes: 40_000,
          announcedBytes: isAnnounced ? content.length : undefined,
        });
        let from = 0;
        for (const size of [...cuts, content.length]) {
          expect(buffer.append(Buffer.from(content.subarray(from, from + size)))).toBe('appended');
          from = Math.min(content.length, from + size);
        }
        expect(buffer.bytes.equals(content)).toBe(true);
        expect(reservation.bytes).toBeLessThanOrEqual(2 * content.length + 4096);
        reservation.release();
        expect(account.reservedBytes).toBe(0);
      },
    ),
    { seed: SEED, numRuns: 300 },
  );
});

test('a body over its limit, and one without memory, are told apart', () => {
  const account = new MemoryAccount(5000);
  const reservation = account.open(() => undefined);
  const buffer = new BodyBuffer(reservation, { maxBytes: 20_000, announcedBytes: undefined });
  expect(buffer.append(Buffer.alloc(20_001))).toBe('too-large');
  expect(buffer.append(Buffer.alloc(4000))).toBe('appended');
  expect(buffer.append(Buffer.alloc(4000))).toBe('no-memory');
  expect(reservation.bytes).toBe(account.reservedBytes);
});
