import type { Server } from 'node:net';

/** Splits an address like "10.0.0.1:7000" or "[::1]:7000" into host and port. */
export function parseAddress(address: string): { readonly host: string; readonly port: number } {
  const separator = address.lastIndexOf(':');
  return {
    host: address.slice(0, separator).replace(/^\[(.*)\]$/, '$1'),
    port: Number(address.slice(separator + 1)),
  };
}

/** Binds a server to an address and returns its port number; rejects with the error of the system. */
export async function bindServer(server: Server, address: string): Promise<number> {
  const { host, port } = parseAddress(address);
  await new Promise<void>((resolve: () => void, reject: (thrown: Error) => void) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  const bound = server.address();
  return typeof bound === 'object' && bound !== null ? bound.port : port;
}
