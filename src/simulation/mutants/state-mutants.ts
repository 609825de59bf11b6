import { partitionName, type PartitionName } from '../../common/ids.js';
import type { Message } from '../../common/messages.js';
import { isNewer } from '../../common/version.js';
import { decodeConfigDoc, encodeConfigDoc } from '../../control/config-codec.js';
import type { ConfigDoc } from '../../control/config-shapes.js';
import type { ControlEffect } from '../../control/control-effect.js';
import { allPartitions, CONFIG_PARTITION, VOTE_RECORD } from '../../state/partition-names.js';
import type { StoredPartition } from '../../state/store.js';
import type { ControlInputs } from '../core-build.js';
import { InterceptedControl, type Heard } from './intercepted-control.js';

/** Control nodes that keep or repair the replicated state wrongly. */

/** Says that a write is on disk as soon as it begins. */
abstract class StoresUnsynced extends InterceptedControl {
  protected abstract isEarly(partition: PartitionName): boolean;

  protected override carryOut(effect: ControlEffect): readonly ControlEffect[] {
    if (effect.do === 'store' && this.isEarly(effect.partition))
      this.pretendStored(effect.partition, effect.version);
    return [effect];
  }
}

/** Acknowledges the configuration before it is synced. */
export class StoresConfigUnsynced extends StoresUnsynced {
  protected override isEarly(partition: PartitionName): boolean {
    return partition === CONFIG_PARTITION;
  }
}

/** Speaks of its votes before they are synced. */
export class StoresVotesUnsynced extends StoresUnsynced {
  protected override isEarly(partition: PartitionName): boolean {
    return partition === VOTE_RECORD;
  }
}

/** Counts every voter that a write was sent to as one that has it. */
export class CountsUnacknowledged extends InterceptedControl {
  protected override carryOut(effect: ControlEffect): readonly ControlEffect[] {
    if (effect.do !== 'send' || effect.message.kind !== 'write') return [effect];
    const { part, epoch, count } = effect.message;
    this.pretend(effect.to, { kind: 'writeReply', part, epoch, count, good: true, members: [] });
    return [effect];
  }
}

/** Takes a write of an epoch that is over as the newest of the epoch granted here. */
export class TakesDeposedWrites extends InterceptedControl {
  protected override hear(from: string, message: Message): readonly Heard[] {
    const { grantEpoch } = this.elector.record;
    if (message.kind !== 'write' || message.epoch >= grantEpoch) return [{ from, message }];
    // With the epoch alone mistaken, its count is most often below what the present leader has written since.
    const held = this.state.versionOf(partitionName(message.part));
    const count = Math.max(message.count, held.count);
    return [{ from, message: { ...message, epoch: grantEpoch, count } }];
  }
}

/** Begins to lead with its own copies, reading nobody else's. */
export class LeadsByOwnCopies extends InterceptedControl {
  protected override carryOut(effect: ControlEffect): readonly ControlEffect[] {
    if (effect.do !== 'send' || effect.message.kind !== 'read' || effect.message.epoch === 0) {
      return [effect];
    }
    const { epoch, nonce } = effect.message;
    const copies = allPartitions().map(emptyCopy);
    this.pretend(effect.to, {
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

/** Alters the configuration before it is sent to others or written here. */
abstract class AltersConfig extends InterceptedControl {
  protected abstract altered(doc: ConfigDoc): ConfigDoc;

  protected override carryOut(effect: ControlEffect): readonly ControlEffect[] {
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

/** Keeps the identities of orders in the leader's memory alone. */
export class KeepsIdentitiesInMemory extends AltersConfig {
  protected override altered(doc: ConfigDoc): ConfigDoc {
    return { ...doc, edits: [] };
  }
}

/** Keeps evacuations in the leader's memory alone. */
export class KeepsZonesInMemory extends AltersConfig {
  protected override altered(doc: ConfigDoc): ConfigDoc {
    return { ...doc, emptied: [] };
  }
}

/** Counts as repaired without the copies that others hold. */
export class RepairsWithoutCopies extends InterceptedControl {
  protected override hear(from: string, message: Message): readonly Heard[] {
    if (message.kind !== 'readReply' || message.sound) return [{ from, message }];
    return [{ from, message: { ...message, copies: [] } }];
  }
}

/** A voter with an empty disk counts at once. */
export class CountsWiped extends InterceptedControl {
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

/** A write with the moment of its beginning. */
interface DatedPart {
  readonly at: number;
  readonly stored: StoredPartition;
}

/** What the processes of one run have written, for nodes that start from an older state than their newest. */
export class Snapshots {
  readonly #byNode = new Map<string, DatedPart[]>();

  note(node: string, at: number, stored: StoredPartition): void {
    const log = this.#byNode.get(node) ?? [];
    this.#byNode.set(node, log);
    log.push({ at, stored });
  }

  /** What the node had on disk at that moment. */
  at(node: string, moment: number): readonly StoredPartition[] {
    const partitions = new Map<string, StoredPartition>();
    for (const { at, stored } of this.#byNode.get(node) ?? []) {
      const known = partitions.get(stored.partition);
      if (at <= moment && (!known || isNewer(stored.version, known.version)))
        partitions.set(stored.partition, stored);
    }
    return [...partitions.values()];
  }
}

const SNAPSHOT_AGE_MS = 3000;

/** Starts from a disk as it was three seconds before, and counts. */
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

  protected override carryOut(effect: ControlEffect): readonly ControlEffect[] {
    if (effect.do === 'store') {
      const { partition, version, body } = effect;
      this.#snapshots.note(this.#me, this.now, { partition, version, body, isIntact: true });
    }
    return [effect];
  }
}
