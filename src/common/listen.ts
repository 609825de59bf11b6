import type { Server } from 'node:net';

/** "10.0.0.1:7000" as host and port. */
export function parseAddress(address: string): { readonly host: string; readonly port: number } {
  const at = address.lastIndexOf(':');
  return {
    host: address.slice(0, at).replace(/^\[(.*)\]$/, '$1'),
    port: Number(address.slice(at + 1)),
  };
}

/** Opens a port and returns its number, or fails as the system says. */
export async function bindServer(server: Server, address: string): Promise<number> {
  const { host, port } = parseAddress(address);
  await new Promise<void>((done: () => void, fail: (thrown: Error) => void) => {
    server.once('error', fail);
    server.listen(port, host, done);
  });
  const bound = server.address();
  return typeof bound === 'object' && bound !== null ? bound.port : port;
}
