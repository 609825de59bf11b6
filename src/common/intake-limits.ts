/** What the clients of a process may occupy of it, derived from what the process itself may use. */
import { getHeapStatistics } from 'node:v8';

const MIB = 1024 * 1024;

/** What a process may use. */
export interface ProcessLimits {
  /** Resident memory. */
  readonly memoryBytes: number;
  /** The heap of the JavaScript engine. */
  readonly heapBytes: number;
  /** Open descriptors. */
  readonly fileHandles: number;
}

/** What clients may occupy. */
export interface IntakeLimits {
  /** Memory of all requests in progress, heads and bodies together, bytes. */
  readonly requestBytes: number;
  /** Open connections. */
  readonly connections: number;
  /** Requests of one connection that were received and have no complete response yet. */
  readonly requestsPerConnection: number;
}

/** Memory of a process without clients, bytes. */
const IDLE_PROCESS_BYTES = 64 * MIB;
/** The part of the remaining memory for requests; buffers that were given back occupy memory until they are collected. */
const REQUEST_SHARE = 3 / 8;
/** The part of the remaining memory for connections. */
const CONNECTION_SHARE = 1 / 4;
/** Memory of one connection, with what the kernel and the parser hold of it, bytes. */
const CONNECTION_BYTES = 32 * 1024;
/** Descriptors for files, as the platform keeps them. */
const FILE_HANDLES = 200;
/** The part of the remaining descriptors for clients; the others are for runners, peers and the process itself. */
const CLIENT_HANDLE_SHARE = 1 / 2;
const MIN_CONNECTIONS = 16;
/** The largest body that the default configuration allows must find room, bytes. */
const MIN_REQUEST_BYTES = 8 * MIB;
const MAX_REQUESTS_PER_CONNECTION = 32;

/** Divides what a process may use among its clients and itself. */
export function intakeLimitsOf({
  memoryBytes,
  heapBytes,
  fileHandles,
}: ProcessLimits): IntakeLimits {
  const spareBytes = Math.max(0, memoryBytes - IDLE_PROCESS_BYTES);
  const spareHandles = Math.max(0, fileHandles - FILE_HANDLES);
  const connections = Math.min(
    spareHandles * CLIENT_HANDLE_SHARE,
    (spareBytes * CONNECTION_SHARE) / CONNECTION_BYTES,
  );
  const requestBytes = Math.min(spareBytes, heapBytes) * REQUEST_SHARE;
  return {
    requestBytes: Math.max(MIN_REQUEST_BYTES, Math.floor(requestBytes)),
    connections: Math.max(MIN_CONNECTIONS, Math.floor(connections)),
    requestsPerConnection: MAX_REQUESTS_PER_CONNECTION,
  };
}

/** The limits of this process, whose settings allow it so much memory and so many descriptors. */
export function processIntakeLimits(memoryMb: number, fileHandles: number): IntakeLimits {
  return intakeLimitsOf({
    memoryBytes: memoryMb * MIB,
    heapBytes: getHeapStatistics().heap_size_limit,
    fileHandles,
  });
}

/** The limits of a process whose settings tell nothing else. */
export const DEFAULT_INTAKE_LIMITS: IntakeLimits = intakeLimitsOf({
  memoryBytes: 256 * MIB,
  heapBytes: 160 * MIB,
  fileHandles: 4096,
});

/** The limits of a port that answers a few callers and reads no bodies. */
export const STATUS_PORT_LIMITS: IntakeLimits = {
  requestBytes: MIB,
  connections: 32,
  requestsPerConnection: 8,
};
