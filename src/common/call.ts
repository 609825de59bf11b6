import { request, type ClientRequest, type IncomingMessage } from 'node:http';
import { BodyBuffer } from './body-buffer.js';
import { parseAddress } from './listen.js';
import type { MemorySource } from './memory-account.js';
import { announcedBodyBytes } from './request-body.js';

/** The response to an HTTP request, with its whole body as text. */
export interface CallReply {
  readonly status: number;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
}

const MAX_BODY_BYTES = 64 * 1024 * 1024;

/** Bodies of calls are bounded by their callers, and no account is kept of them. */
const UNACCOUNTED_MEMORY: MemorySource = { reserve: () => true, giveBack: () => undefined };

/** The body of a message is larger than its reader allows. */
export class BodyTooLargeError extends Error {
  constructor(maxBytes: number) {
    super(`a body of more than ${maxBytes} bytes`);
  }
}

/** Reads a whole body as UTF-8 text; fails like `readBytes`. */
export async function readBody(
  stream: IncomingMessage,
  maxBytes: number = MAX_BODY_BYTES,
): Promise<string> {
  return (await readBytes(stream, maxBytes)).toString('utf8');
}

/**
 * Reads a whole body into one buffer. Rejects if the stream ends early, or with a `BodyTooLargeError` if the body is larger
 * than `maxBytes`; the rest of it is not read then.
 */
export function readBytes(stream: IncomingMessage, maxBytes: number): Promise<Buffer> {
  return new Promise((resolve: (body: Buffer) => void, reject: (thrown: unknown) => void) => {
    const body = new BodyBuffer(UNACCOUNTED_MEMORY, {
      maxBytes,
      announcedBytes: announcedBodyBytes(stream),
    });
    function onData(chunk: Buffer): void {
      if (body.append(chunk) === 'appended') return;
      stream.off('data', onData);
      stream.pause();
      body.discard();
      reject(new BodyTooLargeError(maxBytes));
    }
    function onClose(): void {
      reject(new Error('the body broke off'));
    }
    stream.on('data', onData);
    stream.once('end', () => {
      stream.off('close', onClose);
      resolve(body.bytes);
    });
    stream.once('error', reject);
    stream.once('close', onClose);
  });
}

/**
 * Sends an HTTP request, with a JSON body if there is one. `timeoutMs` covers the whole exchange, with the response body. A
 * response whose body is larger than `maxBodyBytes` is not read on: its connection is closed.
 */
export function call(
  method: string,
  address: string,
  path: string,
  body: string | undefined,
  timeoutMs: number,
  maxBodyBytes: number = MAX_BODY_BYTES,
): Promise<CallReply> {
  const { host, port } = parseAddress(address);
  return new Promise(
    (resolve: (response: CallReply) => void, reject: (thrown: unknown) => void) => {
      const headers =
        body === undefined
          ? {}
          : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) };
      // A new connection for each request: a reused one may be closed by the server while the request is written.
      const outgoing: ClientRequest = request({
        host,
        port,
        method,
        path,
        headers,
        agent: false,
        signal: AbortSignal.timeout(timeoutMs),
      });
      outgoing.once('response', async (response: IncomingMessage): Promise<void> => {
        try {
          resolve({
            status: response.statusCode ?? 0,
            headers: response.headers,
            body: await readBody(response, maxBodyBytes),
          });
        } catch (thrown) {
          reject(thrown);
          outgoing.destroy();
        }
      });
      outgoing.once('error', reject);
      outgoing.end(body);
    },
  );
}
