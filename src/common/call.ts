import { request, type ClientRequest, type IncomingMessage } from 'node:http';
import { parseAddress } from './listen.js';

export interface CallReply {
  readonly status: number;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
}

const MAX_BODY = 64 * 1024 * 1024;

/** Reads a whole body as text. */
export async function readBody(stream: IncomingMessage, most: number = MAX_BODY): Promise<string> {
  return (await readBytes(stream, most)).toString('utf8');
}

/** Reads a whole body, or fails if it breaks off or is larger than it may be. */
export function readBytes(stream: IncomingMessage, most: number): Promise<Buffer> {
  return new Promise((done: (body: Buffer) => void, fail: (thrown: unknown) => void) => {
    const chunks: Buffer[] = [];
    let size = 0;
    function take(chunk: Buffer): void {
      size += chunk.length;
      if (size <= most) {
        chunks.push(chunk);
        return;
      }
      // What still comes is let go, so that whoever sends it can read our return.
      stream.off('data', take);
      stream.resume();
      fail(new Error(`a body of more than ${most} bytes`));
    }
    function cut(): void {
      fail(new Error('the body broke off'));
    }
    stream.on('data', take);
    stream.once('end', () => {
      stream.off('close', cut);
      done(Buffer.concat(chunks));
    });
    stream.once('error', fail);
    stream.once('close', cut);
  });
}

/** One HTTP call with a JSON body and one limit on all of it. */
export function call(
  method: string,
  address: string,
  path: string,
  body: string | undefined,
  limitMs: number,
): Promise<CallReply> {
  const { host, port } = parseAddress(address);
  return new Promise((done: (returned: CallReply) => void, fail: (thrown: unknown) => void) => {
    const headers =
      body === undefined
        ? {}
        : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) };
    // A connection of its own each time: a kept one may close just as we write.
    const sent: ClientRequest = request({
      host,
      port,
      method,
      path,
      headers,
      agent: false,
      signal: AbortSignal.timeout(limitMs),
    });
    sent.once('response', async (returned: IncomingMessage): Promise<void> => {
      try {
        done({
          status: returned.statusCode ?? 0,
          headers: returned.headers,
          body: await readBody(returned),
        });
      } catch (thrown) {
        fail(thrown);
      }
    });
    sent.once('error', fail);
    sent.end(body);
  });
}
