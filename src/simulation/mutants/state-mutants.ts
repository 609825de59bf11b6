import { partitionName, type PartitionName } from '../../common/ids.js';
import type { Message } from '../../common/messages.js';
import { isNewer } from '../../common/version.js';
import { decodeConfigDoc, encodeConfigDoc } from '../../control/config-codec.js';
import type { ConfigDoc } from '../../control/config-shapes.js';
import type { ControlEffect } from '../../control/control-effect.js';
import { allPartitions, CONFIG_PARTITION, VOTE_RECORD } from '../../state/partition-names.js';
import type { StoredPartition } from '../../state/store.js';
import type { ControlInputs } from '../core-factory.js';
import { InterceptedControl, type ReceivedMessage } from './intercepted-control.js';

/** Mutants of control nodes that store or repair the replicated state incorrectly. */

/** Reports a write as on disk as soon as it starts. */
abstract class StoresUnsynced extends InterceptedControl {
  protected abstract isReportedEarly(partition: PartitionName): boolean;

  protected override interceptEffect(effect: ControlEffect): readonly ControlEffect[] {
    if (effect.do === 'store' && this.isReportedEarly(effect.partition))
      this.injectPersisted(effect.partition, effect.version);
    return [effect];
  }
}

/** Acknowledges the configuration before it is synced. */
export class StoresConfigUnsynced extends StoresUnsynced {
  protected override isReportedEarly(partition: PartitionName): boolean {
    return partition === CONFIG_PARTITION;
  }
}

/** Sends its votes before they are synced. */
export class StoresVotesUnsynced extends StoresUnsynced {
  protected override isReportedEarly(partition: PartitionName): boolean {
    return partition === VOTE_RECORD;
  }
}

/** Counts every voter that a write was sent to as having stored it. */
export class CountsUnacknowledged extends InterceptedControl {
  protected override interceptEffect(effect: ControlEffect): readonly ControlEffect[] {
    if (effect.do !== 'send' || effect.message.kind !== 'write') return [effect];
    const { part, epoch, count } = effect.message;
    this.injectMessage(effect.to, {
      kind: 'writeReply',
      part,
      epoch,
      count,
      good: true,
      members: [],
    });
    return [effect];
  }
}

/** Accepts a write of a past epoch as the newest one of the epoch that this node has granted. */
export class TakesDeposedWrites extends InterceptedControl {
  protected override interceptMessage(from: string, message: Message): readonly ReceivedMessage[] {
    const { grantEpoch } = this.elector.record;
    if (message.kind !== 'write' || message.epoch >= grantEpoch) return [{ from, message }];
    // With only the epoch changed, the count would usually be below that of the current leader's writes.
    const held = this.state.versionOf(partitionName(message.part));
    const count = Math.max(message.count, held.count);
    return [{ from, message: { ...message, epoch: grantEpoch, count } }];
  }
}

/** Starts to lead with its own copies, without reading those of other nodes. */
export class LeadsByOwnCopies extends InterceptedControl {
  protected override interceptEffect(effect: ControlEffect): readonly ControlEffect[] {
    if (effect.do !== 'send' || effect.message.kind !== 'read' || effect.message.epoch === 0) {
      return [effect];
    }
    const { epoch, nonce } = effect.message;
    const copies = allPartitions().map(emptyCopy);
    this.injectMessage(effect.to, {
      kind: 'readReply',
      epoch,
      nonce,
      sound: true,
      copies,
      standing: 'sound',
    });
    return [];
  }
}

function emptyCopy(partition: PartitionName): {
  part: string;
  epoch: number;
  count: number;
  body: string;
  sound: boolean;
} {
  return { part: partition, epoch: 0, count: 0, body: '', sound: true };
}

/** Alters the configuration before it is sent to other nodes or written on this one. */
abstract class AltersConfig extends InterceptedControl {
  protected abstract altered(doc: ConfigDoc): ConfigDoc;

  protected override interceptEffect(effect: ControlEffect): readonly ControlEffect[] {
    if (effect.do === 'store' && effect.partition === CONFIG_PARTITION) {
      return [{ ...effect, body: this.#alter(effect.body) }];
    }
    if (effect.do !== 'send' || effect.message.kind !== 'write') return [effect];
    const { message } = effect;
    if (message.part !== CONFIG_PARTITION) return [effect];
    return [{ ...effect, message: { ...message, body: this.#alter(message.body) } }];
  }

  #alter(body: string): string {
    const doc = decodeConfigDoc(body);
    return doc ? encodeConfigDoc(this.altered(doc)) : body;
  }
}

/** Keeps the identities of orders only in the leader's memory. */
export class KeepsIdentitiesInMemory extends AltersConfig {
  protected override altered(doc: ConfigDoc): ConfigDoc {
    return { ...doc, edits: [] };
  }
}

/** Keeps evacuations only in the leader's memory. */
export class KeepsZonesInMemory extends AltersConfig {
  protected override altered(doc: ConfigDoc): ConfigDoc {
    return { ...doc, emptied: [] };
  }
}

/** Counts as repaired without the copies that other nodes hold. */
export class RepairsWithoutCopies extends InterceptedControl {
  protected override interceptMessage(from: string, message: Message): readonly ReceivedMessage[] {
    if (message.kind !== 'readReply' || message.sound) return [{ from, message }];
    return [{ from, message: { ...message, copies: [] } }];
  }
}

/** Counts as a voter at once although its disk is empty. */
export class CountsWipedDisk extends InterceptedControl {
  constructor(inputs: ControlInputs) {
    const isFirst = inputs.settings.deployed?.isFirstStart ?? true;
    const isWiped = inputs.stored.length === 0 && !isFirst;
    super(isWiped ? { ...inputs, stored: [FRESH_VOTE] } : inputs);
  }
}

const FRESH_VOTE: StoredPartition = {
  partition: VOTE_RECORD,
  version: { epoch: 0, count: 1 },
  body: JSON.stringify({ epoch: 0, grantEpoch: 0, grantLeader: '' }),
  isIntact: true,
};

/** A write with the time at which it started. */
interface TimedWrite {
  readonly at: number;
  readonly stored: StoredPartition;
}

/** The writes of all nodes of a run, for nodes that restart from an older state than their newest one. */
export class Snapshots {
  readonly #byNode = new Map<string, TimedWrite[]>();

  /** Adds a write of a node that started at `at`. */
  add(node: string, at: number, stored: StoredPartition): void {
    const log = this.#byNode.get(node) ?? [];
    this.#byNode.set(node, log);
    log.push({ at, stored });
  }

  /** Returns what the node had on disk at a time. */
  at(node: string, moment: number): readonly StoredPartition[] {
    const partitions = new Map<string, StoredPartition>();
    for (const { at, stored } of this.#byNode.get(node) ?? []) {
      const newest = partitions.get(stored.partition);
      if (at <= moment && (!newest || isNewer(stored.version, newest.version)))
        partitions.set(stored.partition, stored);
    }
    return [...partitions.values()];
  }
}

const SNAPSHOT_AGE_MS = 3000;

/** Restarts with its disk contents of three seconds ago, and counts as a voter. */
export class CountsOldDisk extends InterceptedControl {
  readonly #snapshots: Snapshots;
  readonly #me: string;

  constructor(inputs: ControlInputs, snapshots: Snapshots) {
    const { me } = inputs.settings;
    const old = snapshots.at(me, inputs.now - SNAPSHOT_AGE_MS);
    super(old.length > 0 && inputs.stored.length > 0 ? { ...inputs, stored: old } : inputs);
    this.#snapshots = snapshots;
    this.#me = me;
  }

  protected override interceptEffect(effect: ControlEffect): readonly ControlEffect[] {
    if (effect.do === 'store') {
      const { partition, version, body } = effect;
      this.#snapshots.add(this.#me, this.now, { partition, version, body, isIntact: true });
    }
    return [effect];
  }
}
