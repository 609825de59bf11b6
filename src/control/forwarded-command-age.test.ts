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
/** By the leader's own clock: a command older than this is rejected. */
const MAX_AGE_MS = 1500;

const HOST = {
  leader: () => undefined,
  extraRoundTripMs: () => 0,
  send: () => undefined,
  answer: () => undefined,
};

/** An evacuation, which has no base version, as another node forwards it. */
function forwardedZoneCommand(epoch: number, leaderTime: number): CommandMessage {
  return { kind: 'command', id: 8, verb: 'zone', body: '{}', epoch, leaderTime };
}

/** The leader's result for a forwarded command, and how many commands it counted as rejected for their age. */
function resultOf(message: CommandMessage): readonly [string, number] {
  const counters = new ControlCounters();
  const forwarding = new CommandForwarding(HOST, counters, 1, NOW);
  try {
    forwarding.checkForwarded(NOW, EPOCH, message);
    return ['taken', counters.edits.refused['too-old']];
  } catch (thrown) {
    const kind = thrown instanceof HaretrackError ? thrown.code : 'untyped';
    return [kind, counters.edits.refused['too-old']];
  }
}

test('a command without a base version is accepted if it was forwarded in the epoch of this leader', () => {
  expect(resultOf(forwardedZoneCommand(EPOCH, NOW))).toEqual(['taken', 0]);
  expect(resultOf(forwardedZoneCommand(EPOCH, NOW - MAX_AGE_MS))).toEqual(['taken', 0]);
});

test('a command without a base version is rejected if it was forwarded in another epoch', () => {
  // The time is from another leader's clock, or from this one's before it lost its leadership, so it does not bound the age.
  for (const epoch of [EPOCH - 2, EPOCH + 2, 0])
    for (const leaderTime of [NOW, NOW + 1_000_000])
      expect(resultOf(forwardedZoneCommand(epoch, leaderTime))).toEqual(['no-leader', 1]);
});

test('a command without a base version is rejected once it is older than a client waits', () => {
  expect(resultOf(forwardedZoneCommand(EPOCH, NOW - MAX_AGE_MS - 1))).toEqual(['no-leader', 1]);
});

test('a command with a base version is accepted whenever it was forwarded', () => {
  const message = forwardedZoneCommand(EPOCH - 2, 0);
  for (const verb of ['configure', 'amend', 'read'])
    expect(resultOf({ ...message, verb })).toEqual(['taken', 0]);
});
