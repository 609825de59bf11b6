import { request, type ClientRequest, type IncomingMessage } from 'node:http';
import { parseAddress } from './listen.js';

/** The response to an HTTP request, with its whole body as text. */
export interface CallReply {
  readonly status: number;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
}

const MAX_BODY_BYTES = 64 * 1024 * 1024;

/** Reads a whole body as UTF-8 text; fails like `readBytes`. */
export async function readBody(
  stream: IncomingMessage,
  maxBytes: number = MAX_BODY_BYTES,
): Promise<string> {
  return (await readBytes(stream, maxBytes)).toString('utf8');
}

/** Reads a whole body. Rejects if the stream ends early or the body is larger than `maxBytes`. */
export function readBytes(stream: IncomingMessage, maxBytes: number): Promise<Buffer> {
  return new Promise((resolve: (body: Buffer) => void, reject: (thrown: unknown) => void) => {
    const chunks: Buffer[] = [];
    let size = 0;
    function onData(chunk: Buffer): void {
      size += chunk.length;
      if (size <= maxBytes) {
        chunks.push(chunk);
        return;
      }
      // The rest is read and discarded, so that the sender can finish and read the response.
      stream.off('data', onData);
      stream.resume();
      reject(new Error(`a body of more than ${maxBytes} bytes`));
    }
    function onClose(): void {
      reject(new Error('the body broke off'));
    }
    stream.on('data', onData);
    stream.once('end', () => {
      stream.off('close', onClose);
      resolve(Buffer.concat(chunks));
    });
    stream.once('error', reject);
    stream.once('close', onClose);
  });
}

/** Sends an HTTP request, with a JSON body if there is one. `timeoutMs` covers the whole exchange, with the response body. */
export function call(
  method: string,
  address: string,
  path: string,
  body: string | undefined,
  timeoutMs: number,
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
            body: await readBody(response),
          });
        } catch (thrown) {
          reject(thrown);
        }
      });
      outgoing.once('error', reject);
      outgoing.end(body);
    },
  );
}
