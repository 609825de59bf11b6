/** Which headers of an HTTP message a proxy forwards, and whether a response defines its own length. */
import type { IncomingMessage, OutgoingHttpHeaders } from 'node:http';

/** Headers that apply to a single connection and are never forwarded. */
const CONNECTION_HEADERS = [
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'transfer-encoding',
  'upgrade',
  'expect',
] as const;

/** Headers that are not forwarded: those that apply to a single connection, and others that the caller sets itself. */
export function hopByHopHeaders(...others: readonly string[]): ReadonlySet<string> {
  return new Set([...CONNECTION_HEADERS, ...others]);
}

/** Headers that are not forwarded where the proxy sets the length itself and drops trailers. */
export const REFRAMED_HEADERS = hopByHopHeaders('proxy-connection', 'content-length', 'trailer');

/**
 * The headers to forward: all but the excluded ones and those that the message's `Connection` header names. Repeated
 * headers stay repeated.
 */
export function forwardedHeaders(
  message: IncomingMessage,
  excluded: ReadonlySet<string>,
): OutgoingHttpHeaders {
  const connectionHeader = message.headers.connection;
  const forwarded: OutgoingHttpHeaders = {};
  for (const [name, values] of Object.entries(message.headersDistinct)) {
    const [first] = values ?? [];
    if (values && first !== undefined && !excluded.has(name))
      forwarded[name] = values.length === 1 ? first : values;
  }
  // `close` and `keep-alive` name no other header, and most messages have nothing else here.
  if (
    connectionHeader !== undefined &&
    connectionHeader !== 'close' &&
    connectionHeader !== 'keep-alive'
  )
    for (const name of connectionHeader.split(','))
      Reflect.deleteProperty(forwarded, name.trim().toLowerCase());
  return forwarded;
}

/** Whether a response's body is an event stream, by its media type, which is case-insensitive (RFC 9110, 8.3.1). */
export function isEventStream(response: IncomingMessage): boolean {
  const [mediaType = ''] = (response.headers['content-type'] ?? '').split(';', 1);
  return mediaType.trim().toLowerCase() === 'text/event-stream';
}

/** The statuses of final responses; those below are of interim ones, or of none (RFC 9110, 15). */
const MIN_FINAL_STATUS = 200;
const MAX_STATUS = 999;

/**
 * Whether the response is a final one. Node passes on a status below 100 as it came, and a 101 without `Upgrade` as if it were
 * final; neither answers a request, and the former can't even be written.
 */
export function isFinalResponse({ statusCode = 0 }: IncomingMessage): boolean {
  return statusCode >= MIN_FINAL_STATUS && statusCode <= MAX_STATUS;
}

/** Whether the response itself defines where it ends: by its length, by chunked coding, or by having no body. */
export function hasSelfDefinedLength(method: string, response: IncomingMessage): boolean {
  const status = response.statusCode ?? 0;
  if (method === 'HEAD' || status === 204 || status === 304) return true;
  const coding = response.headers['transfer-encoding'];
  // With any other transfer coding the body ends with the connection, or is changed.
  if (coding !== undefined) return coding.trim().toLowerCase() === 'chunked';
  return response.headers['content-length'] !== undefined;
}

/** The trailers of a message whose end has arrived, each value by itself. */
export function trailersOf(message: IncomingMessage): [string, string][] {
  const trailers: [string, string][] = [];
  for (const [name, values] of Object.entries(message.trailersDistinct))
    for (const value of values ?? []) trailers.push([name, value]);
  return trailers;
}
