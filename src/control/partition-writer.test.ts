import { expect, test } from 'vitest';
import { moment, type Moment, type PartitionName } from '../common/ids.js';
import { CONFIG_PARTITION } from '../state/partition-names.js';
import { PartitionWriter, type WritableState } from './partition-writer.js';

const NOW = moment(0);

/** As in the replicated state, one write is in flight at a time, and all that are requested meanwhile become one next write. */
class FakeState implements WritableState {
  count = 0;

  write(_now: Moment, _partition: PartitionName, _body: string, _token: number): number {
    return this.count + 1;
  }

  replicaBody(): string {
    return 'replica';
  }
}
test('a commit returns the body written as its version, which is the last of the queued ones', () => {
  const state = new FakeState();
  const writer = new PartitionWriter(state);
  writer.write(NOW, CONFIG_PARTITION, 'first', 0);
  state.count = 1;
  writer.write(NOW, CONFIG_PARTITION, 'second', 0);
  writer.write(NOW, CONFIG_PARTITION, 'third', 0);
  expect(writer.takeCommitted(CONFIG_PARTITION, { epoch: 1, count: 1 })).toBe('first');
  expect(writer.takeCommitted(CONFIG_PARTITION, { epoch: 1, count: 2 })).toBe('third');
});
test('a body that was not written here is read from the replica', () => {
  const writer = new PartitionWriter(new FakeState());
  writer.write(NOW, CONFIG_PARTITION, 'first', 0);
  writer.clear();
  expect(writer.takeCommitted(CONFIG_PARTITION, { epoch: 1, count: 1 })).toBe('replica');
});
