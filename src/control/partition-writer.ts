import type { Moment, PartitionName } from '../common/ids.js';
import type { Version } from '../common/version.js';

/** The operations of the replicated state that writes use. */
export interface WritableState {
  /** Replicates a body; returns the count, within the epoch, of the version that it will have. */
  write(now: Moment, partition: PartitionName, body: string, token: number): number;
  /** The body stored in this node's own replica. */
  replicaBody(partition: PartitionName): string;
}

interface PendingWrite {
  readonly count: number;
  readonly body: string;
}

/** Writes partitions of the replicated state at the leader, and retains each body until it is committed. */
export class PartitionWriter {
  readonly #state: WritableState;
  /** By partition: the write in flight, and the one queued behind it, which a later write replaces. */
  readonly #pendingWrites = new Map<PartitionName, readonly PendingWrite[]>();

  constructor(state: WritableState) {
    this.#state = state;
  }

  /** Writes a body; `token` is returned with its commit, and is 0 if the commit is not awaited. */
  write(now: Moment, partition: PartitionName, body: string, token: number): void {
    const count = this.#state.write(now, partition, body, token);
    const inFlight = this.#writesOf(partition)
      .filter((written) => written.count > count - 2)
      .filter((written) => written.count < count);
    this.#pendingWrites.set(partition, [...inFlight, { count, body }]);
  }

  /** Returns the body that was committed as this version, and removes it and all earlier ones. */
  takeCommitted(partition: PartitionName, version: Version): string {
    // The local replica is written first: it may already contain the body of a later write that is still in flight.
    const writes = this.#writesOf(partition);
    const found = writes.find((written) => written.count === version.count);
    this.#pendingWrites.set(
      partition,
      writes.filter((written) => written.count > version.count),
    );
    return found?.body ?? this.#state.replicaBody(partition);
  }

  /** Discards all writes: this node no longer leads. */
  clear(): void {
    this.#pendingWrites.clear();
  }

  #writesOf(partition: PartitionName): readonly PendingWrite[] {
    return this.#pendingWrites.get(partition) ?? [];
  }
}
