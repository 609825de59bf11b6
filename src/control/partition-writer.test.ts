import { expect, test } from 'vitest';
import { moment, type Moment, type PartitionName } from '../common/ids.js';
import { CONFIG_PARTITION } from '../state/partition-names.js';
import { PartitionWriter, type WritableState } from './partition-writer.js';

const NOW = moment(0);

/** One write is under way at a time; all that come meanwhile are one next write, as in the replicated state. */
class State implements WritableState {
  count = 0;

  write(_now: Moment, _partition: PartitionName, _body: string, _token: number): number {
    return this.count + 1;
  }

  replicaBody(): string {
    return 'replica';
  }
}
test('a commit takes the body written as its version, the last of those that waited', () => {
  const state = new State();
  const writer = new PartitionWriter(state);
  writer.write(NOW, CONFIG_PARTITION, 'first', 0);
  state.count = 1;
  writer.write(NOW, CONFIG_PARTITION, 'second', 0);
  writer.write(NOW, CONFIG_PARTITION, 'third', 0);
  expect(writer.takeCommitted(CONFIG_PARTITION, { epoch: 1, count: 1 })).toBe('first');
  expect(writer.takeCommitted(CONFIG_PARTITION, { epoch: 1, count: 2 })).toBe('third');
});
test('what was not written here is read from the replica', () => {
  const writer = new PartitionWriter(new State());
  writer.write(NOW, CONFIG_PARTITION, 'first', 0);
  writer.clear();
  expect(writer.takeCommitted(CONFIG_PARTITION, { epoch: 1, count: 1 })).toBe('replica');
});
