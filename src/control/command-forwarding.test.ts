import { describe, expect, test } from 'vitest';
import { moment } from '../common/ids.js';
import type { Message } from '../common/messages.js';
import type { CommandAnswer, Origin } from './command-answers.js';
import { CommandForwarding, leaderClockOf } from './command-forwarding.js';
import { ControlCounters } from './control-metrics.js';

const INCARNATION = 3000;
const START = moment(50_000);
const EDIT_TIMEOUT_MS = 9000;
const READ_TIMEOUT_MS = 1500;
const STALL_MS = 1000;
const BACKLOG_MS = 300;
const EDIT = JSON.stringify({ id: 'e1' });
/** The origin of a command at this node's own API. */
const CLIENT: Origin = { from: '', id: 5 };

/** The forwarding of a follower; records the messages and answers that it sends. */
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
    START,
  );

  tickAfter(millis: number): void {
    this.forwarding.tick(moment(START + millis));
  }

  reply(from: string, id: number): void {
    this.forwarding.onReply(from, { kind: 'commandReply', id, status: 200, body: 'done' });
  }

  /** Ticks until a command that was forwarded at the start is answered; returns after how many milliseconds. */
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
  test('carries the last received clock of the leader, and an id of this incarnation', () => {
    const follower = new Follower();
    const { forwarding } = follower;
    forwarding.forward(START, CLIENT, 'zone', EDIT);
    forwarding.onLeaderClock(leaderClockOf({ epoch: 6, sentAt: 777 }));
    forwarding.forward(START, CLIENT, 'configure', EDIT);
    const command = { kind: 'command', body: EDIT } as const;
    expect(follower.sent).toEqual([
      ['b', { ...command, id: INCARNATION + 1, verb: 'zone', epoch: 0, leaderTime: 0 }],
      ['b', { ...command, id: INCARNATION + 2, verb: 'configure', epoch: 6, leaderTime: 777 }],
    ]);
    expect(follower.counters.edits.forwarded).toBe(2);
  });

  test('is answered once, with the reply of the leader and of no other node', () => {
    const follower = new Follower();
    follower.forwarding.forward(START, CLIENT, 'configure', EDIT);
    follower.reply('c', INCARNATION + 1);
    follower.reply('b', INCARNATION + 2);
    expect(follower.answers).toEqual([]);
    follower.reply('b', INCARNATION + 1);
    follower.reply('b', INCARNATION + 1);
    expect(follower.answers).toEqual([[CLIENT.id, { status: 200, body: 'done' }]]);
    follower.tickAfter(EDIT_TIMEOUT_MS);
    expect(follower.answers).toHaveLength(1);
  });

  test('has an unknown outcome if it is an edit without a reply in time', () => {
    const follower = new Follower();
    follower.forwarding.forward(START, CLIENT, 'configure', EDIT);
    expect(follower.answeredAfter(EDIT_TIMEOUT_MS)).toBe(EDIT_TIMEOUT_MS);
    expect(follower.answers[0]?.[1].body).toContain('"outcome":"unsure"');
    expect(follower.counters.edits.unclear.timeout).toBe(1);
    follower.tickAfter(2 * EDIT_TIMEOUT_MS);
    expect(follower.answers).toHaveLength(1);
  });

  test('fails if it is a read without a reply in time, which is longer over slow links', () => {
    const follower = new Follower();
    follower.forwarding.forward(START, CLIENT, 'read', '');
    expect(follower.answeredAfter(EDIT_TIMEOUT_MS)).toBe(READ_TIMEOUT_MS);
    expect(follower.statuses).toEqual([503]);
    const slow = new Follower();
    slow.extraRoundTripMs = 1000;
    slow.forwarding.forward(START, CLIENT, 'read', '');
    expect(slow.answeredAfter(EDIT_TIMEOUT_MS)).toBe(READ_TIMEOUT_MS + 2000);
    expect(slow.counters.edits.unclear).toMatchObject({ timeout: 0, 'leader-lost': 0 });
  });

  test('has an unknown outcome at once if the connection to the leader closes, and not if another closes', () => {
    const follower = new Follower();
    follower.forwarding.forward(START, CLIENT, 'configure', EDIT);
    follower.forwarding.onDisconnect('c');
    expect(follower.answers).toEqual([]);
    follower.forwarding.onDisconnect('b');
    follower.forwarding.onDisconnect('b');
    expect(follower.answers).toHaveLength(1);
    expect(follower.counters.edits.unclear['leader-lost']).toBe(1);
  });
});

describe('a command that cannot be forwarded', () => {
  function expectRejected(follower: Follower, origin: Origin = CLIENT): void {
    expect(() => follower.forwarding.forward(START, origin, 'configure', EDIT)).toThrow(
      'no leader is known; nothing was done',
    );
    expect(follower.sent).toEqual([]);
    expect(follower.counters.edits).toMatchObject({ unserved: 1, forwarded: 0 });
  }

  test('is rejected if no leader is known', () => {
    const follower = new Follower();
    follower.leader = undefined;
    expectRejected(follower);
  });

  test('is rejected if it was forwarded already', () => {
    expectRejected(new Follower(), { from: 'c', id: 1 });
  });

  test('is rejected while the connection to the leader is closed, until a message from the leader arrives', () => {
    const follower = new Follower();
    follower.forwarding.onDisconnect('b');
    follower.forwarding.onHeard('c');
    expectRejected(follower);
    follower.forwarding.onHeard('b');
    follower.forwarding.forward(START, CLIENT, 'configure', EDIT);
    expect(follower.sent).toHaveLength(1);
  });

  test('is not counted as an unserved edit if it is a read', () => {
    const follower = new Follower();
    for (const verb of ['read', 'fleet', 'live']) {
      follower.forwarding.forward(START, CLIENT, verb, '');
      follower.leader = undefined;
      expect(() => follower.forwarding.forward(START, CLIENT, verb, '')).toThrow();
      follower.leader = 'b';
    }
    expect(follower.counters.edits).toMatchObject({ unserved: 0, forwarded: 0 });
  });
});

describe('the age of a command without a base version', () => {
  function isRejected(follower: Follower, millis: number, verb = 'zone'): boolean {
    try {
      follower.forwarding.checkAge(moment(START + millis), verb);
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
    expect(follower.counters.edits.refused['too-old']).toBe(0);
  });

  test('is not known to a node that is stalled, by the time since its last tick', () => {
    const follower = new Follower();
    expect(isRejected(follower, STALL_MS + 1)).toBe(true);
    expect(follower.counters.edits.refused['too-old']).toBe(1);
  });

  test('is not known until the backlog after a stall is read', () => {
    const follower = new Follower();
    const endMs = STALL_MS + 1;
    follower.tickAfter(endMs);
    expect(isRejected(follower, endMs)).toBe(true);
    expect(isRejected(follower, endMs + BACKLOG_MS - 1)).toBe(true);
    expect(isRejected(follower, endMs + BACKLOG_MS)).toBe(false);
  });

  test('does not matter for a command with a base version', () => {
    const follower = new Follower();
    for (const verb of ['configure', 'read'])
      expect(isRejected(follower, 60_000, verb)).toBe(false);
  });
});
