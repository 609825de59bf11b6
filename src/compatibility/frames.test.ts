import { array, string, type } from 'superstruct';
import { afterEach, beforeEach, describe, expect, test } from 'vitest';
import type { HaretrackError } from '../common/errors.js';
import type { Message } from '../common/messages.js';
import { Exchange, type Incoming } from '../dissemination/exchange.js';
import { readGolden } from './testing/golden.js';
import { RawListener, RawPeer, waitFor } from './testing/raw-peer.js';

const FramesShape = type({
  hello: string(),
  keepalive: string(),
  helloOfProxy: string(),
  messages: array(type({ message: type({}), frame: string() })),
});

const golden = readGolden(FramesShape, 'wire/frames.json');
const bytesOf = (frame: string): Buffer => Buffer.from(frame, 'hex');

const SENT: readonly Message[] = [
  { kind: 'update', topic: 'config', epoch: 4, count: 17, body: '{"number":3}' },
  { kind: 'leaving', runners: ['i-1', 'i-2'] },
  { kind: 'freshnessReply', nonce: 9, epoch: 4, count: 17, marks: 2 },
];

describe('the frames between processes', () => {
  let exchange: Exchange;
  let port: number;
  let incoming: Incoming[];
  let faults: HaretrackError[];

  beforeEach(async () => {
    incoming = [];
    faults = [];
    exchange = new Exchange(
      { id: 'server', role: 'mind', zone: 'north', listen: '127.0.0.1:0', reach: {} },
      (fault) => faults.push(fault),
    );
    exchange.incoming$.subscribe((item) => incoming.push(item));
    port = await exchange.open();
  });

  afterEach(() => {
    exchange.close();
  });

  test('a listener sends a hello on a new connection, and an empty frame as keepalive while idle', async () => {
    const peer = await RawPeer.dial(`127.0.0.1:${port}`);
    const expected = Buffer.concat([bytesOf(golden.hello), bytesOf(golden.keepalive)]);
    await waitFor('a hello and a keepalive', () => peer.bytes.length >= expected.length);
    expect(peer.bytes.subarray(0, expected.length).toString('hex')).toBe(expected.toString('hex'));
    peer.close();
  });

  test('a dialing process sends a hello first and then the queued messages in order', async () => {
    const listener = new RawListener();
    const address = `127.0.0.1:${await listener.listen('127.0.0.1:0')}`;
    for (const message of SENT) exchange.send(address, message);
    const peer = await listener.accept();
    const expected = golden.hello + golden.messages.map(({ frame }) => frame).join('');
    await waitFor('all frames', () => peer.bytes.length >= expected.length / 2);
    expect(peer.bytes.toString('hex').slice(0, expected.length)).toBe(expected);
    listener.close();
  });

  test('frames are read from chunks of any size, with keepalives between them', async () => {
    const peer = await RawPeer.dial(`127.0.0.1:${port}`);
    const frames = [golden.helloOfProxy, golden.keepalive];
    for (const { frame } of golden.messages) frames.push(frame, golden.keepalive);
    const bytes = bytesOf(frames.join(''));
    for (let offset = 0; offset < bytes.length; offset += 7) {
      peer.write(bytes.subarray(offset, offset + 7));
      await new Promise((resolve) => setImmediate(resolve));
    }
    await waitFor('all messages', () => incoming.length >= golden.messages.length);
    expect(incoming).toEqual(
      golden.messages.map(({ message }) => ({
        from: 'flow@10.0.0.1:8080',
        role: 'flow',
        zone: 'east',
        message,
      })),
    );
    peer.close();
  });

  test('messages before a hello are ignored, and a frame of more than 64 MiB closes the connection', async () => {
    const peer = await RawPeer.dial(`127.0.0.1:${port}`);
    const [first] = golden.messages;
    peer.write(bytesOf(first?.frame ?? ''));
    peer.write(Buffer.from([0x04, 0x00, 0x00, 0x01]));
    await waitFor('the close of the connection', () => peer.isClosed);
    expect(incoming).toEqual([]);
    expect(faults.map(({ code }) => code)).toEqual(['bad-frame']);
  });

  test('the golden messages are the ones that this test sends', () => {
    expect(golden.messages.map(({ message }) => message)).toEqual(SENT);
  });
});
