import { expect, test } from 'vitest';
import { moment } from '../common/ids.js';
import { FAN_OUT, Sessions } from './sessions.js';

function sessionsOf(count: number): Sessions {
  const sessions = new Sessions(1000, 5000);
  for (let index = 0; index < count; index += 1)
    sessions.onJoin(moment(0), `n${String(index).padStart(3, '0')}`, 'z', '', {
      epoch: 0,
      count: 0,
    });
  return sessions;
}
test('the relay tree of 200 members is shallow and has a bounded fan-out', () => {
  const tree = sessionsOf(200).relayParents();
  const children = new Map<string, number>();
  for (const [id, parent] of tree) {
    children.set(parent, (children.get(parent) ?? 0) + 1);
    let depth = 0;
    for (let at = id; at !== ''; at = tree.get(at) ?? '') depth += 1;
    expect(depth).toBeLessThanOrEqual(4);
  }
  for (const count of children.values()) expect(count).toBeLessThanOrEqual(FAN_OUT);
});
test('a member that is disconnected or unreachable is not a parent', () => {
  const sessions = sessionsOf(10);
  sessions.onUnreachable(moment(0), 'n000');
  expect([...sessions.relayParents().values()]).not.toContain('n000');
  sessions.onDisconnect('n001');
  expect([...sessions.relayParents().values()]).not.toContain('n001');
  sessions.tick(moment(4000));
  expect(sessions.recentMembers()).toHaveLength(10);
  expect(sessions.connectedMembers()).toHaveLength(0);
});
