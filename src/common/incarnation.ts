import { randomInt, randomUUID } from 'node:crypto';

/**
 * Where a process begins to count what it asks and passes on: apart from all its former incarnations, whose returns
 * may still be on their way to the same address.
 */
export function newIncarnation(): number {
  return randomInt(2 ** 47);
}

/** An id for an edit that its sender gave none. */
export function newEditId(): string {
  return randomUUID();
}
