// Calls over HTTP/1.1 on connections of their own, and on kept ones.
import { Agent, request } from 'node:http';

function partsOf(address) {
  const [host, port] = address.split(':');
  return { host, port: Number(port) };
}

/** One request on a new connection; rejects without a complete answer. */
export function callOnce(method, address, path, body, headers, limitMs) {
  return call(method, address, path, body, { ...headers, connection: 'close' }, limitMs, false);
}

/** A client with one kept connection. */
export class KeptClient {
  #agent = new Agent({ keepAlive: true, maxSockets: 1, maxFreeSockets: 1 });
  #address;

  constructor(address) {
    this.#address = address;
  }

  /** Sends a request and resolves with its complete answer; rejects if the connection ends before. */
  send(method, path, body, headers, limitMs) {
    return call(method, this.#address, path, body, headers, limitMs, this.#agent);
  }

  close() {
    this.#agent.destroy();
  }
}

function call(method, address, path, body, headers, limitMs, agent) {
  return new Promise((resolve, reject) => {
    const length = body === undefined ? {} : { 'content-length': Buffer.byteLength(body) };
    const outgoing = request({
      ...partsOf(address),
      method,
      path,
      headers: { ...headers, ...length },
      agent,
    });
    const limit = setTimeout(() => outgoing.destroy(new Error('no answer in time')), limitMs);
    outgoing.on('error', (error) => {
      clearTimeout(limit);
      reject(error);
    });
    outgoing.once('response', (response) => {
      const chunks = [];
      response.on('data', (chunk) => chunks.push(chunk));
      response.once('end', () => {
        clearTimeout(limit);
        resolve({
          status: response.statusCode,
          headers: response.headers,
          body: Buffer.concat(chunks),
          isReused: outgoing.reusedSocket,
        });
      });
      response.on('error', (error) => {
        clearTimeout(limit);
        reject(error);
      });
    });
    outgoing.end(body);
  });
}
