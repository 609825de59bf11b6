import { randomInt, randomUUID } from 'node:crypto';

/**
 * A random number from which a process numbers its requests. It differs from that of earlier processes at the same address,
 * so that late replies to their requests are not taken for replies to new ones.
 */
export function newIncarnation(): number {
  return randomInt(2 ** 47);
}

/** A new id for an edit that was sent without one. */
export function newEditId(): string {
  return randomUUID();
}
