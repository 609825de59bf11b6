import { expect, test } from 'vitest';
import { HaretrackError } from '../common/errors.js';
import { moment } from '../common/ids.js';
import type { Message } from '../common/messages.js';
import { ControlCounters } from './control-metrics.js';
import { CommandForwarding } from './command-forwarding.js';

type CommandMessage = Extract<Message, { kind: 'command' }>;

/** The epoch in which this node leads. */
const EPOCH = 8;
const NOW = moment(50_000);
/** Of the leader's own clock: an order older than this is rejected. */
const MOST_AGE_MS = 1500;

const HOST = {
  leader: () => undefined,
  extraRoundTripMs: () => 0,
  send: () => undefined,
  answer: () => undefined,
};

/** An evacuation, which builds on no version of the configuration, as another node forwards it. */
function forwardedZoneOrder(epoch: number, leaderTime: number): CommandMessage {
  return { kind: 'command', id: 8, verb: 'zone', body: '{}', epoch, leaderTime };
}

/** What the leader makes of a forwarded command, and how many orders it counted as rejected for their age. */
function verdictOn(message: CommandMessage): readonly [string, number] {
  const counters = new ControlCounters();
  const forwarding = new CommandForwarding(HOST, counters, 1, NOW);
  try {
    forwarding.checkForwarded(NOW, EPOCH, message);
    return ['taken', counters.orders.refused['too-old']];
  } catch (thrown) {
    const kind = thrown instanceof HaretrackError ? thrown.code : 'untyped';
    return [kind, counters.orders.refused['too-old']];
  }
}

test('an order without a version is taken where it was forwarded in the epoch of this leader', () => {
  expect(verdictOn(forwardedZoneOrder(EPOCH, NOW))).toEqual(['taken', 0]);
  expect(verdictOn(forwardedZoneOrder(EPOCH, NOW - MOST_AGE_MS))).toEqual(['taken', 0]);
});

test('an order without a version is rejected where it was forwarded in another epoch', () => {
  // The time is of another leader's clock, or of this one's own before it lost the lead: it bounds no age here.
  for (const epoch of [EPOCH - 2, EPOCH + 2, 0])
    for (const leaderTime of [NOW, NOW + 1_000_000])
      expect(verdictOn(forwardedZoneOrder(epoch, leaderTime))).toEqual(['no-leader', 1]);
});

test('an order without a version is rejected once it is older than a caller waits', () => {
  expect(verdictOn(forwardedZoneOrder(EPOCH, NOW - MOST_AGE_MS - 1))).toEqual(['no-leader', 1]);
});

test('an order that builds on a version is taken whenever it was forwarded', () => {
  const message = forwardedZoneOrder(EPOCH - 2, 0);
  for (const verb of ['configure', 'amend', 'read'])
    expect(verdictOn({ ...message, verb })).toEqual(['taken', 0]);
});
