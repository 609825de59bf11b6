import { expect, test } from 'vitest';
import { moment, nodeId } from '../common/ids.js';
import { Quorum } from '../common/quorum.js';
import { Relay } from '../dissemination/relay.js';
import { Elector } from '../election/elector.js';
import { VOTE_DEFAULTS } from '../election/vote-settings.js';
import { allPartitions, CONFIG_PARTITION } from '../state/partition-names.js';
import { ReplicatedState } from '../state/replicated-state.js';
import { ControlCounters } from './control-metrics.js';
import { FollowedVoters, type VoterSources } from './followed-voters.js';

const SEEDS = ['a', 'b', 'c'].map(nodeId);

/** At node `a`, whose replica has a configuration with the voters `storedVoters`, as version 2.1. */
function followedVoters(storedVoters: readonly string[], relay: Relay | undefined): FollowedVoters {
  return new FollowedVoters(new Quorum(SEEDS), sourcesOf(storedVoters, relay));
}

function sourcesOf(storedVoters: readonly string[], relay: Relay | undefined): VoterSources {
  const quorum = new Quorum(SEEDS);
  const storedConfig = {
    partition: CONFIG_PARTITION,
    version: { epoch: 2, count: 1 },
    body: bodyOf(storedVoters),
    isIntact: true,
  };
  return {
    elector: new Elector(nodeId('a'), quorum, VOTE_DEFAULTS, moment(0), undefined),
    state: new ReplicatedState(nodeId('a'), quorum, allPartitions(), [storedConfig]),
    relay,
    counters: new ControlCounters(),
  };
}

function bodyOf(voters: readonly string[]): string {
  return JSON.stringify({ voters: [voters] });
}
test('the voters of the newest configuration are used, whichever source it comes from', () => {
  const relay = new Relay();
  const voters = followedVoters(['a', 'b', 'd'], relay);
  expect(voters.quorum.all).toEqual(SEEDS);
  voters.follow();
  expect(voters.quorum.all).toEqual(['a', 'b', 'd']);
  relay.offer('config', { epoch: 2, count: 2 }, bodyOf(['a', 'd', 'e']));
  voters.follow();
  expect(voters.quorum.all).toEqual(['a', 'd', 'e']);
  voters.onConfigRead({ version: { epoch: 3, count: 1 }, body: bodyOf(['f']) });
  voters.follow();
  expect(voters.quorum.all).toEqual(['f']);
  voters.clearConfigRead();
  voters.follow();
  expect(voters.quorum.all).toEqual(['a', 'd', 'e']);
});
test('an older configuration changes nothing', () => {
  const voters = followedVoters(['a', 'b', 'd'], undefined);
  voters.follow();
  voters.onConfigRead({ version: { epoch: 1, count: 9 }, body: bodyOf(['f']) });
  voters.follow();
  expect(voters.quorum.all).toEqual(['a', 'b', 'd']);
});
test('applying the same voters again is not counted as a change', () => {
  const sources = sourcesOf(['a', 'b', 'd'], undefined);
  const voters = new FollowedVoters(new Quorum(SEEDS), sources);
  voters.follow();
  voters.follow();
  voters.useQuorum(new Quorum(['a', 'b', 'd'].map(nodeId)));
  const electorCounts = {
    electionsStarted: 0,
    votesGranted: 0,
    copiesRepaired: 0,
    leaderlessListReads: 0,
  };
  expect(sources.counters.eventsWith(electorCounts).voterChanges).toBe(1);
});
test('voters that another node reported apply if they are newer, and only then', () => {
  const voters = followedVoters(['a', 'b', 'd'], new Relay());
  const version = { epoch: 2, count: 2 };
  expect(voters.onVotersReported({ version: { epoch: 2, count: 1 }, body: bodyOf(['f']) })).toBe(
    false,
  );
  expect(voters.onVotersReported({ version, body: bodyOf(['a', 'd', 'e']) })).toBe(true);
  expect(voters.onVotersReported({ version, body: bodyOf(['f']) })).toBe(false);
  expect(voters.quorum.all).toEqual(['a', 'd', 'e']);
});
test('a report that names no voters changes nothing', () => {
  const voters = followedVoters(['a', 'b', 'd'], new Relay());
  voters.follow();
  const version = { epoch: 9, count: 9 };
  for (const body of ['', '{}', '{"voters":[]}', 'x'])
    expect(voters.onVotersReported({ version, body })).toBe(false);
  expect(voters.quorum.all).toEqual(['a', 'b', 'd']);
});
test('only the voters of a configuration are reported, and only to nodes that know an older one', () => {
  const relay = new Relay();
  const voters = followedVoters(['a', 'b', 'd'], relay);
  const version = { epoch: 3, count: 1 };
  relay.offer('config', version, JSON.stringify({ voters: [['a', 'd', 'e']], number: 4 }));
  expect(voters.newerThan(version)).toBeUndefined();
  expect(voters.newerThan({ epoch: 2, count: 9 })).toEqual({
    version,
    body: bodyOf(['a', 'd', 'e']),
  });
});
