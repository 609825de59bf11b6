import { expect, test } from 'vitest';
import { parseAs } from '../common/json.js';
import { Quorum } from '../common/quorum.js';
import { moment, nodeId, type PartitionName } from '../common/ids.js';
import type { Version } from '../common/version.js';
import { Relay } from '../dissemination/relay.js';
import { allPartitions, CONFIG_PARTITION } from '../state/partition-names.js';
import { ReplicatedState } from '../state/replicated-state.js';
import { ConfigUpdateShape } from './config-shapes.js';
import { ConfigStore } from './config-store.js';
import { PartitionWriter } from './partition-writer.js';

const NOW = moment(0);
const EPOCH = 2;
const ME = nodeId('a');

/** The only voter; it serves once its first writes are on disk. */
class SoleVoter {
  readonly relay = new Relay();
  readonly state = new ReplicatedState(ME, new Quorum([ME]), allPartitions(), []);
  readonly document = new ConfigStore({
    seeds: ['a'],
    state: this.state,
    writer: new PartitionWriter(this.state),
    relay: this.relay,
  });

  constructor() {
    this.state.lead(NOW, EPOCH);
    this.step();
    this.step();
  }

  /** Completes the pending disk writes, and applies the commits that result. */
  step(): void {
    for (const effect of this.state.drain()) {
      if (effect.do === 'store')
        this.state.onPersisted(effect.partition, effect.version, EPOCH, NOW);
      else if (effect.do === 'committed') this.#commit(effect.partition, effect.version);
    }
  }

  /** The first writes take over the state; their commits are not reported to the store. */
  #commit(partition: PartitionName, version: Version): void {
    if (
      partition === CONFIG_PARTITION &&
      this.state.isServing &&
      this.state.replicaBody(partition) !== ''
    )
      this.document.onCommitted(version);
  }

  publishedNumber(): unknown {
    return parseAs(ConfigUpdateShape, this.relay.latest('config')?.body ?? '')?.number;
  }
}
test('a document is published once it is committed', () => {
  const owner = new SoleVoter();
  const { document } = owner;
  expect(document.load()).toBe(false);
  expect(document.newest().voters).toEqual([['a']]);
  document.write(NOW, { ...document.newest(), number: 1 }, 0);
  document.write(NOW, { ...document.newest(), number: 2 }, 0);
  expect(document.newest().number).toBe(2);
  expect(document.committed().number).toBe(0);
  owner.step();
  owner.step();
  expect(document.committed().number).toBe(1);
  expect(owner.publishedNumber()).toBe(1);
  owner.step();
  expect(document.committed()).toBe(document.newest());
  expect(owner.publishedNumber()).toBe(2);
});
test('a configuration that members still hold is recovered, except for its voters', () => {
  const owner = new SoleVoter();
  const { document } = owner;
  document.load();
  expect(document.unstoredUpdate()).toBeUndefined();
  const { table } = document.newest();
  const published = { number: 5, table, emptied: ['east'], voters: [['x']] };
  owner.relay.offer('config', { epoch: 1, count: 9 }, JSON.stringify(published));
  const unstored = document.unstoredUpdate();
  expect(unstored?.number).toBe(5);
  document.recover(NOW, unstored);
  expect(document.newest()).toMatchObject({ number: 5, emptied: ['east'], voters: [['a']] });
  expect(document.unstoredUpdate()).toBeUndefined();
});
