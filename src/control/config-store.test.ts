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

/** The only voter, which owns all parts once its first writes are on disk. */
class Owner {
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

  /** Lets what is being written reach the disk, and takes up what was committed by then. */
  step(): void {
    for (const effect of this.state.drain()) {
      if (effect.do === 'store')
        this.state.onPersisted(effect.partition, effect.version, EPOCH, NOW);
      else if (effect.do === 'committed') this.#commit(effect.partition, effect.version);
    }
  }

  /** The first writes take over the state; nothing is told of them. */
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
test('what is written is told once it is committed', () => {
  const owner = new Owner();
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
test('a table that members still hold is taken back, the voters are not', () => {
  const owner = new Owner();
  const { document } = owner;
  document.load();
  expect(document.unstoredUpdate()).toBeUndefined();
  const { table } = document.newest();
  const news = { number: 5, table, emptied: ['east'], voters: [['x']] };
  owner.relay.offer('config', { epoch: 1, count: 9 }, JSON.stringify(news));
  const lost = document.unstoredUpdate();
  expect(lost?.number).toBe(5);
  document.recover(NOW, lost);
  expect(document.newest()).toMatchObject({ number: 5, emptied: ['east'], voters: [['a']] });
  expect(document.unstoredUpdate()).toBeUndefined();
});
