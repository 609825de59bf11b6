import type { Moment, PartitionName } from '../common/ids.js';
import type { Version } from '../common/version.js';

/** The replicated state at a leader, as far as it is written. */
export interface WritableState {
  /** Returns the count of the version that it will be. */
  write(now: Moment, partition: PartitionName, body: string, token: number): number;
  /** The copy of this node. */
  replicaBody(partition: PartitionName): string;
}

interface PendingBody {
  readonly count: number;
  readonly body: string;
}

/** Writes parts of the replicated state, and remembers what was written until it is committed. */
export class PartitionWriter {
  readonly #state: WritableState;
  /** By part; what comes while a write is under way replaces what waits for its end. */
  readonly #written = new Map<PartitionName, readonly PendingBody[]>();

  constructor(state: WritableState) {
    this.#state = state;
  }

  /** `token` comes back with the commit; 0 where nobody waits for it. */
  write(now: Moment, partition: PartitionName, body: string, token: number): void {
    const count = this.#state.write(now, partition, body, token);
    const underWay = this.#bodiesOf(partition)
      .filter((written) => isAfter(count - 2, written))
      .filter((written) => written.count < count);
    this.#written.set(partition, [...underWay, { count, body }]);
  }

  /** The body that was committed as this version; it and earlier ones are forgotten. */
  takeCommitted(partition: PartitionName, version: Version): string {
    // The replica here was written with this version first; a later one may already be under way.
    const bodies = this.#bodiesOf(partition);
    const found = bodies.find((written) => written.count === version.count);
    this.#written.set(
      partition,
      bodies.filter((written) => isAfter(version.count, written)),
    );
    return found?.body ?? this.#state.replicaBody(partition);
  }

  /** This node leads no longer. */
  clear(): void {
    this.#written.clear();
  }

  #bodiesOf(partition: PartitionName): readonly PendingBody[] {
    return this.#written.get(partition) ?? [];
  }
}
function isAfter(count: number, written: PendingBody): boolean {
  return written.count > count;
}
