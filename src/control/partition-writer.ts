import type { Moment, PartitionName } from '../common/ids.js';
import type { Version } from '../common/version.js';

/** What of the replicated state the leader writes. */
export interface WritableState {
  /** Replicates a body; returns the count within the epoch of the version that it becomes. */
  write(now: Moment, partition: PartitionName, body: string, token: number): number;
  /** The body stored in this node's own replica. */
  replicaBody(partition: PartitionName): string;
}

interface PendingBody {
  readonly count: number;
  readonly body: string;
}

/** Writes partitions of the replicated state at the leader, and remembers each body until it is committed. */
export class PartitionWriter {
  readonly #state: WritableState;
  /** By partition: the write in flight, and the one queued behind it, which a later write replaces. */
  readonly #written = new Map<PartitionName, readonly PendingBody[]>();

  constructor(state: WritableState) {
    this.#state = state;
  }

  /** Writes a body; `token` is returned with its commit, 0 if nobody waits for that. */
  write(now: Moment, partition: PartitionName, body: string, token: number): void {
    const count = this.#state.write(now, partition, body, token);
    const inFlight = this.#bodiesOf(partition)
      .filter((written) => written.count > count - 2)
      .filter((written) => written.count < count);
    this.#written.set(partition, [...inFlight, { count, body }]);
  }

  /** Returns the body that was committed as this version, and forgets it and all earlier ones. */
  takeCommitted(partition: PartitionName, version: Version): string {
    // The local replica was written first, and may by now have the body of a later write in flight.
    const bodies = this.#bodiesOf(partition);
    const found = bodies.find((written) => written.count === version.count);
    this.#written.set(
      partition,
      bodies.filter((written) => written.count > version.count),
    );
    return found?.body ?? this.#state.replicaBody(partition);
  }

  /** Forgets all writes: this node is no longer the leader. */
  clear(): void {
    this.#written.clear();
  }

  #bodiesOf(partition: PartitionName): readonly PendingBody[] {
    return this.#written.get(partition) ?? [];
  }
}
