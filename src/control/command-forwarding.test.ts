import { describe, expect, test } from 'vitest';
import { moment } from '../common/ids.js';
import type { Message } from '../common/messages.js';
import type { CommandAnswer, Origin } from './command-answers.js';
import { CommandForwarding, leaderClockOf } from './command-forwarding.js';
import { ControlCounters } from './control-metrics.js';

const INCARNATION = 3000;
const BEGAN = moment(50_000);
const EDIT_TIMEOUT_MS = 9000;
const READ_TIMEOUT_MS = 1500;
const STALL_MS = 1000;
const BACKLOG_MS = 300;
const EDIT = JSON.stringify({ id: 'e1' });
/** A client at this node's own API. */
const CLIENT: Origin = { from: '', id: 5 };

/** A follower's forwarding, with what it sent and answered. */
class Follower {
  leader: string | undefined = 'b';
  extraRoundTripMs = 0;
  readonly sent: (readonly [string, Message])[] = [];
  readonly answers: (readonly [number, CommandAnswer])[] = [];
  readonly counters = new ControlCounters();
  readonly forwarding = new CommandForwarding(
    {
      leader: () => this.leader,
      extraRoundTripMs: () => this.extraRoundTripMs,
      send: (to, message) => this.sent.push([to, message]),
      answer: (origin, answer) => this.answers.push([origin.id, answer]),
    },
    this.counters,
    INCARNATION,
    BEGAN,
  );

  tickAfter(millis: number): void {
    this.forwarding.tick(moment(BEGAN + millis));
  }

  reply(from: string, id: number): void {
    this.forwarding.onReply(from, { kind: 'commandReply', id, status: 200, body: 'done' });
  }

  /** Ticks on until its answer to a command that was forwarded at the beginning; returns when that came. */
  answeredAfter(limitMs: number): number | undefined {
    for (let millis = 500; millis <= limitMs; millis += 500) {
      this.tickAfter(millis - 1);
      if (this.answers.length > 0) return millis - 1;
      this.tickAfter(millis);
      if (this.answers.length > 0) return millis;
    }
    return undefined;
  }

  get statuses(): readonly number[] {
    return this.answers.map(([, answer]) => answer.status);
  }
}

describe('a command that is forwarded', () => {
  test('carries the last clock of the leader that was heard, and a number of this incarnation', () => {
    const follower = new Follower();
    const { forwarding } = follower;
    forwarding.forward(BEGAN, CLIENT, 'zone', EDIT);
    forwarding.onLeaderClock(leaderClockOf({ epoch: 6, sentAt: 777 }));
    forwarding.forward(BEGAN, CLIENT, 'configure', EDIT);
    const command = { kind: 'command', body: EDIT } as const;
    expect(follower.sent).toEqual([
      ['b', { ...command, id: INCARNATION + 1, verb: 'zone', epoch: 0, leaderTime: 0 }],
      ['b', { ...command, id: INCARNATION + 2, verb: 'configure', epoch: 6, leaderTime: 777 }],
    ]);
    expect(follower.counters.orders.forwarded).toBe(2);
  });

  test('is answered once, with what the leader replied, and by nobody else', () => {
    const follower = new Follower();
    follower.forwarding.forward(BEGAN, CLIENT, 'configure', EDIT);
    follower.reply('c', INCARNATION + 1);
    follower.reply('b', INCARNATION + 2);
    expect(follower.answers).toEqual([]);
    follower.reply('b', INCARNATION + 1);
    follower.reply('b', INCARNATION + 1);
    expect(follower.answers).toEqual([[CLIENT.id, { status: 200, body: 'done' }]]);
    follower.tickAfter(EDIT_TIMEOUT_MS);
    expect(follower.answers).toHaveLength(1);
  });

  test('is unclear where no reply to an edit comes in time', () => {
    const follower = new Follower();
    follower.forwarding.forward(BEGAN, CLIENT, 'configure', EDIT);
    expect(follower.answeredAfter(EDIT_TIMEOUT_MS)).toBe(EDIT_TIMEOUT_MS);
    expect(follower.answers[0]?.[1].body).toContain('"outcome":"unsure"');
    expect(follower.counters.orders.unclear.timeout).toBe(1);
    follower.tickAfter(2 * EDIT_TIMEOUT_MS);
    expect(follower.answers).toHaveLength(1);
  });

  test('is not done where no reply to a read comes in time, which is longer over slow links', () => {
    const follower = new Follower();
    follower.forwarding.forward(BEGAN, CLIENT, 'read', '');
    expect(follower.answeredAfter(EDIT_TIMEOUT_MS)).toBe(READ_TIMEOUT_MS);
    expect(follower.statuses).toEqual([503]);
    const slow = new Follower();
    slow.extraRoundTripMs = 1000;
    slow.forwarding.forward(BEGAN, CLIENT, 'read', '');
    expect(slow.answeredAfter(EDIT_TIMEOUT_MS)).toBe(READ_TIMEOUT_MS + 2000);
    expect(slow.counters.orders.unclear).toMatchObject({ timeout: 0, 'leader-lost': 0 });
  });

  test('is unclear at once where the connection to the leader closes, and not where another closes', () => {
    const follower = new Follower();
    follower.forwarding.forward(BEGAN, CLIENT, 'configure', EDIT);
    follower.forwarding.onDisconnect('c');
    expect(follower.answers).toEqual([]);
    follower.forwarding.onDisconnect('b');
    follower.forwarding.onDisconnect('b');
    expect(follower.answers).toHaveLength(1);
    expect(follower.counters.orders.unclear['leader-lost']).toBe(1);
  });
});

describe('a command that cannot be forwarded', () => {
  function expectRejected(follower: Follower, origin: Origin = CLIENT): void {
    expect(() => follower.forwarding.forward(BEGAN, origin, 'configure', EDIT)).toThrow(
      'no leader is known; nothing was done',
    );
    expect(follower.sent).toEqual([]);
    expect(follower.counters.orders).toMatchObject({ unserved: 1, forwarded: 0 });
  }

  test('is rejected where no leader is known', () => {
    const follower = new Follower();
    follower.leader = undefined;
    expectRejected(follower);
  });

  test('is rejected where it was forwarded already', () => {
    expectRejected(new Follower(), { from: 'c', id: 1 });
  });

  test('is rejected while the connection to the leader is closed, until that is heard again', () => {
    const follower = new Follower();
    follower.forwarding.onDisconnect('b');
    follower.forwarding.onHeard('c');
    expectRejected(follower);
    follower.forwarding.onHeard('b');
    follower.forwarding.forward(BEGAN, CLIENT, 'configure', EDIT);
    expect(follower.sent).toHaveLength(1);
  });

  test('is no unserved order where it is a read', () => {
    const follower = new Follower();
    for (const verb of ['read', 'fleet', 'live']) {
      follower.forwarding.forward(BEGAN, CLIENT, verb, '');
      follower.leader = undefined;
      expect(() => follower.forwarding.forward(BEGAN, CLIENT, verb, '')).toThrow();
      follower.leader = 'b';
    }
    expect(follower.counters.orders).toMatchObject({ unserved: 0, forwarded: 0 });
  });
});

describe('the age of an order that builds on no version', () => {
  function isRejected(follower: Follower, millis: number, verb = 'zone'): boolean {
    try {
      follower.forwarding.checkAge(moment(BEGAN + millis), verb);
      return false;
    } catch {
      return true;
    }
  }

  test('is known to a node that was not stalled', () => {
    const follower = new Follower();
    expect(isRejected(follower, 0)).toBe(false);
    expect(isRejected(follower, STALL_MS)).toBe(false);
    follower.tickAfter(STALL_MS);
    expect(isRejected(follower, STALL_MS)).toBe(false);
    expect(follower.counters.orders.refused['too-old']).toBe(0);
  });

  test('is not known to a node that is stalled, by the time since its last tick', () => {
    const follower = new Follower();
    expect(isRejected(follower, STALL_MS + 1)).toBe(true);
    expect(follower.counters.orders.refused['too-old']).toBe(1);
  });

  test('is not known until the backlog after a stall is read', () => {
    const follower = new Follower();
    const endMs = STALL_MS + 1;
    follower.tickAfter(endMs);
    expect(isRejected(follower, endMs)).toBe(true);
    expect(isRejected(follower, endMs + BACKLOG_MS - 1)).toBe(true);
    expect(isRejected(follower, endMs + BACKLOG_MS)).toBe(false);
  });

  test('does not matter to an order that builds on a version', () => {
    const follower = new Follower();
    for (const verb of ['configure', 'read'])
      expect(isRejected(follower, 60_000, verb)).toBe(false);
  });
});
