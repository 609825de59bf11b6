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
