/** What of an HTTP message a proxy passes on, and whether an answer tells where it ends. */
import type { IncomingMessage, OutgoingHttpHeaders } from 'node:http';

/** Headers that concern one connection only, whoever passes a message on. */
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

/** Headers that are not passed on: those that concern one connection only, and others that the caller sets itself. */
export function hopByHopHeaders(...others: readonly string[]): ReadonlySet<string> {
  return new Set([...CONNECTION_HEADERS, ...others]);
}

/** Left out where the length is set anew and trailers are not passed on. */
export const REFRAMED_HEADERS = hopByHopHeaders('proxy-connection', 'content-length', 'trailer');

/** The headers that are passed on: all but the given ones and those that the message says concern its connection. Repeated ones stay repeated. */
export function forwardedHeaders(
  message: IncomingMessage,
  excluded: ReadonlySet<string>,
): OutgoingHttpHeaders {
  const named = message.headers.connection;
  const forwarded: OutgoingHttpHeaders = {};
  for (const [name, values] of Object.entries(message.headersDistinct)) {
    const [first] = values ?? [];
    if (values && first !== undefined && !excluded.has(name))
      forwarded[name] = values.length === 1 ? first : values;
  }
  // Most messages name nothing else here, and these two are no headers to pass on.
  if (named !== undefined && named !== 'close' && named !== 'keep-alive')
    for (const name of named.split(','))
      Reflect.deleteProperty(forwarded, name.trim().toLowerCase());
  return forwarded;
}

/** Whether a response's body is an event stream, by its media type (RFC 9110, 8.3.1: names of types ignore case). */
export function isEventStream(response: IncomingMessage): boolean {
  const [mediaType = ''] = (response.headers['content-type'] ?? '').split(';', 1);
  return mediaType.trim().toLowerCase() === 'text/event-stream';
}

/** Whether the answer itself tells where it ends: by its length, its chunks, or in having no body at all. */
export function hasSelfDefinedLength(method: string, response: IncomingMessage): boolean {
  const status = response.statusCode ?? 0;
  if (method === 'HEAD' || status === 204 || status === 304) return true;
  const coding = response.headers['transfer-encoding'];
  // Any coding but this one ends with its connection, or changes the body.
  if (coding !== undefined) return coding.trim().toLowerCase() === 'chunked';
  return response.headers['content-length'] !== undefined;
}
