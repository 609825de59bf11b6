/** An account of the memory that clients' requests occupy in a process, so that their sum stays within a limit. */

/** Why a reservation was revoked: others needed its memory or its connection, or nothing arrived for too long. */
export type RevocationReason = 'memory' | 'connection' | 'rest';

/** Called once when a reservation is revoked; its bytes have been returned by then, and its holder must drop what it holds. */
export type RevocationHandler = (reason: RevocationReason) => void;

/** Where the memory of a buffer is reserved. */
export interface MemorySource {
  /** Reserves more bytes; returns false if they are not to be had. */
  reserve(bytes: number): boolean;
  /** Returns some of the reserved bytes. */
  giveBack(bytes: number): void;
}

/** The part of an account that one request occupies. */
export class Reservation implements MemorySource {
  readonly #account: MemoryAccount;
  readonly #onRevoked: RevocationHandler;
  #bytes = 0;
  #isReleased = false;
  /** The interval of the account in which the request last made progress. */
  #progressInterval: number;

  /** Reservations are made by `MemoryAccount.open`. */
  constructor(account: MemoryAccount, interval: number, onRevoked: RevocationHandler) {
    this.#account = account;
    this.#progressInterval = interval;
    this.#onRevoked = onRevoked;
  }

  /** The bytes that are reserved now. */
  get bytes(): number {
    return this.#bytes;
  }

  /** The interval of the account in which the request last made progress. */
  get progressInterval(): number {
    return this.#progressInterval;
  }

  /**
   * Reserves more bytes, if necessary by revoking requests that have made no progress for longer than this one. Returns
   * false if they are not to be had; what was reserved before stays reserved.
   */
  reserve(bytes: number): boolean {
    if (this.#isReleased || !this.#account.take(bytes, this)) return false;
    this.#bytes += bytes;
    return true;
  }

  /** Returns some of the reserved bytes. */
  giveBack(bytes: number): void {
    const returned = Math.min(bytes, this.#bytes);
    this.#bytes -= returned;
    this.#account.giveBack(returned);
  }

  /** From now on the reservation may be revoked, until it is kept or released. */
  allowRevocation(): void {
    if (this.#isReleased) return;
    this.#progressInterval = this.#account.interval;
    this.#account.addRevocable(this);
  }

  /** The request made progress: others give way before it. */
  touch(): void {
    if (!this.#account.removeRevocable(this)) return;
    this.#progressInterval = this.#account.interval;
    this.#account.addRevocable(this);
  }

  /** From now on the reservation can't be revoked. */
  keep(): void {
    this.#account.removeRevocable(this);
  }

  /** Returns all bytes. Nothing can be reserved afterwards; further calls have no effect. */
  release(): void {
    this.#isReleased = true;
    this.#account.removeRevocable(this);
    this.giveBack(this.#bytes);
  }

  /** Releases the reservation and tells its holder. */
  revoke(reason: RevocationReason): void {
    this.release();
    this.#onRevoked(reason);
  }
}

/** The memory that requests may occupy together, and the order in which requests that are still being read give way. */
export class MemoryAccount {
  readonly #capacityBytes: number;
  /** Reservations that may be revoked, the one without progress for the longest first. */
  readonly #revocable = new Set<Reservation>();
  #reservedBytes = 0;
  #interval = 0;

  constructor(capacityBytes: number) {
    this.#capacityBytes = capacityBytes;
  }

  /** The bytes that are reserved now. */
  get reservedBytes(): number {
    return this.#reservedBytes;
  }

  /** The number of intervals that have passed. */
  get interval(): number {
    return this.#interval;
  }

  /** Makes an empty reservation, which can't be revoked yet. */
  open(onRevoked: RevocationHandler): Reservation {
    return new Reservation(this, this.#interval, onRevoked);
  }

  /** Another interval has passed: revokes what has made no progress for more than `maxRest` intervals. */
  advance(maxRest: number): void {
    this.#interval += 1;
    for (const reservation of this.#revocable) {
      if (this.#interval - reservation.progressInterval <= maxRest) return;
      reservation.revoke('rest');
    }
  }

  /** Revokes the reservation without progress for the longest. Returns false if none may be revoked. */
  revokeOldest(reason: RevocationReason): boolean {
    const [oldest] = this.#revocable;
    oldest?.revoke(reason);
    return oldest !== undefined;
  }

  /** Takes bytes for a reservation, and revokes others that come before it. Returns false if that doesn't suffice. */
  take(bytes: number, taker: Reservation): boolean {
    if (taker.bytes + bytes > this.#capacityBytes) return false;
    while (this.#reservedBytes + bytes > this.#capacityBytes) {
      const [oldest] = this.#revocable;
      if (oldest === undefined || oldest === taker) return false;
      oldest.revoke('memory');
    }
    this.#reservedBytes += bytes;
    return true;
  }

  /** Returns bytes that a reservation had taken. */
  giveBack(bytes: number): void {
    this.#reservedBytes -= bytes;
  }

  /** Adds a reservation behind all others that may be revoked. */
  addRevocable(reservation: Reservation): void {
    this.#revocable.add(reservation);
  }

  /** Returns whether the reservation could be revoked until now. */
  removeRevocable(reservation: Reservation): boolean {
    return this.#revocable.delete(reservation);
  }
}
