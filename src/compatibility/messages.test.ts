import { array, define, string, type } from 'superstruct';
import { describe, expect, test } from 'vitest';
import {
  SHAPES,
  decodeMessage,
  encodeMessage,
  type Message,
  type MessageKind,
} from '../common/messages.js';
import { readGolden } from './testing/golden.js';

function isKind(value: unknown): value is MessageKind {
  return typeof value === 'string' && Object.hasOwn(SHAPES, value);
}

function isMessage(value: unknown): boolean {
  if (typeof value !== 'object' || value === null || !('kind' in value)) return false;
  return isKind(value.kind) && SHAPES[value.kind].is(value);
}

const GoldenShape = type({
  kinds: array(string()),
  messages: array(type({ message: define<Message>('Message', isMessage), bytes: string() })),
});

const golden = readGolden(GoldenShape, 'wire/messages.json');

test('the message kinds keep their numbers on the wire', () => {
  expect(Object.keys(SHAPES).slice(0, golden.kinds.length)).toEqual(golden.kinds);
});

test('every message kind has samples of an earlier build', () => {
  const covered = new Set<string>(golden.messages.map(({ message }) => message.kind));
  expect([...covered]).toEqual(Object.keys(SHAPES));
});

describe.each(golden.kinds)('message %s', (kind) => {
  const samples = golden.messages.filter(({ message }) => message.kind === kind);

  test('decodes from the bytes of an earlier build to the same values', () => {
    expect(samples.length).toBeGreaterThan(3);
    for (const { message, bytes } of samples)
      expect(decodeMessage(Buffer.from(bytes, 'base64'))).toEqual(message);
  });

  test('encodes to the bytes of an earlier build', () => {
    for (const { message, bytes } of samples)
      expect(encodeMessage(message).toString('base64')).toBe(bytes);
  });
});
