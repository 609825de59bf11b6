import type { AgentSettings } from '../../agent/agent-core.js';
import type { Moment } from '../../common/ids.js';
import type { ControlCore } from '../../control/control-core.js';
import type { SeededRandom } from '../../rehearsal/seeded-random.js';
import type { Fault, FaultKind } from '../faults.js';
import type { HistoryRule } from '../history/violation.js';
import type { StateRule } from '../violation.js';
import {
  cutLeaders,
  frozenLeaders,
  delayedCalls,
  laggingVoterElected,
  repairWithLaggingVoter,
  repairThenLoss,
  restartedVoters,
  slowLeaders,
  stalledVotes,
  voterReplacementDuringCut,
  delayedElections,
} from './targeted-schedules.js';
import { AcceptsOlderConfig } from './agent-mutants.js';
import { UNMODIFIED_CORES, type ControlInputs, type CoreFactory } from '../core-factory.js';
import {
  ForgetsGrants,
  GrantsTwice,
  OmitsLeaseWait,
  LeasesByWallClock,
  SkipsHandoverGap,
  RenewsItself,
  WinsWithoutMajority,
} from './election-mutants.js';
import {
  AcknowledgesForwarded,
  ReadsAtFollowers,
  ForgetsIdentity,
  IdentifiesByBase,
  ReadsWithoutMajority,
  RefusesByUncommitted,
  RefusesUnclear,
  RefusesWithoutMajority,
} from './order-mutants.js';
import {
  CountsOldDisk,
  CountsUnacknowledged,
  CountsWipedDisk,
  KeepsIdentitiesInMemory,
  KeepsZonesInMemory,
  LeadsByOwnCopies,
  RepairsWithoutCopies,
  Snapshots,
  StoresConfigUnsynced,
  StoresVotesUnsynced,
  TakesDeposedWrites,
} from './state-mutants.js';
import {
  withoutAgeChecks,
  halfIsMajority,
  majorityOfEitherSet,
  majorityOfNewSetOnly,
  repairSkipsOneVoter,
  withoutJointSet,
  type Restore,
} from './patched-methods.js';

/** Builds of the control plane with one fault each: a check that never fails on any of them proves nothing. */

/** The name of any rule that a run may break. */
export type Rule = HistoryRule | StateRule;

/** A build with one fault, and how to catch it. */
export interface Mutant {
  /** The fault in a few words, printed by the command. */
  readonly what: string;
  /** The rules that indicate the fault; a violation of any of them catches the mutant. */
  readonly rules: readonly Rule[];
  /** The injected faults that expose it: kinds to draw from, or a schedule of its own. */
  readonly faults: readonly FaultKind[] | TargetedSchedule;
  /** Creates the build whose cores one run uses. */
  readonly build?: () => CoreFactory;
  /** Patches a component that cores create themselves, until the returned function restores it. */
  readonly patch?: () => Restore;
}

/** Draws a fault schedule that exposes one fault. */
export type TargetedSchedule = (random: SeededRandom) => Fault[];

type ControlClass = new (inputs: ControlInputs) => ControlCore;

function controlBuild(core: ControlClass): CoreFactory {
  function control(inputs: ControlInputs): ControlCore {
    return new core(inputs);
  }
  return { ...UNMODIFIED_CORES, control };
}

function builtBy(core: ControlClass): () => CoreFactory {
  return () => controlBuild(core);
}

function oldDiskBuild(): CoreFactory {
  const snapshots = new Snapshots();
  function control(inputs: ControlInputs): ControlCore {
    return new CountsOldDisk(inputs, snapshots);
  }
  return { ...UNMODIFIED_CORES, control };
}

function olderUpdateBuild(): CoreFactory {
  function agent(settings: AgentSettings, now: Moment): AcceptsOlderConfig {
    return new AcceptsOlderConfig(settings, now);
  }
  return { ...UNMODIFIED_CORES, agent };
}

const LEADER_LOSS = ['kill', 'powerLoss', 'freeze', 'cut'] as const;

/** All mutants by name. */
export const MUTANTS = {
  'refusal-unproved': {
    what: 'an order is refused without contact with a majority',
    rules: ['refused-after-accepted', 'refused-for-a-winner-that-never-was', 'losing-in-force'],
    faults: frozenLeaders,
    build: builtBy(RefusesWithoutMajority),
  },
  'refusal-by-uncommitted': {
    what: 'an order is refused for a winner that is not committed',
    rules: ['refused-for-a-winner-that-never-was'],
    faults: cutLeaders,
    build: builtBy(RefusesByUncommitted),
  },
  'identity-forgotten': {
    what: 'a repeated order is checked by its base before its identity',
    rules: ['refused-after-accepted'],
    faults: ['answersLost', 'operatorCut'],
    build: builtBy(ForgetsIdentity),
  },
  'identity-by-base': {
    what: 'two different orders on one base are treated as the same',
    rules: ['two-accepted-on-one-base'],
    faults: ['slowLinks'],
    build: builtBy(IdentifiesByBase),
  },
  'identities-in-memory': {
    what: 'the identities of accepted orders are not replicated',
    rules: ['refused-after-accepted'],
    faults: [...LEADER_LOSS, 'answersLost'],
    build: builtBy(KeepsIdentitiesInMemory),
  },
  'evacuations-in-memory': {
    what: 'evacuations are not replicated',
    rules: ['lost-accepted', 'late-restore', 'stale-read'],
    faults: LEADER_LOSS,
    build: builtBy(KeepsZonesInMemory),
  },
  'unclear-as-refused': {
    what: 'an order whose outcome is not known is refused',
    rules: ['refused-after-accepted', 'refused-for-a-winner-that-never-was', 'losing-in-force'],
    faults: LEADER_LOSS,
    build: builtBy(RefusesUnclear),
  },
  'acknowledged-when-passed-on': {
    what: 'a follower acknowledges an order as soon as it has forwarded it',
    rules: ['two-accepted-on-one-base', 'lost-accepted', 'stale-read'],
    faults: ['cut', 'freeze'],
    build: builtBy(AcknowledgesForwarded),
  },
  'reads-unproved': {
    what: 'a leader answers reads without contact with a majority',
    rules: ['stale-read'],
    faults: frozenLeaders,
    build: builtBy(ReadsWithoutMajority),
  },
  'reads-at-followers': {
    what: 'followers answer reads from the last update they received',
    rules: ['stale-read'],
    faults: ['slowLinks', 'cut'],
    build: builtBy(ReadsAtFollowers),
  },
  'older-update-taken': {
    what: 'an agent accepts an older configuration as a newer one',
    rules: ['version-stepped-back'],
    faults: ['cut', 'freeze', 'slowLinks', 'agentCut', 'agentFreeze'],
    build: olderUpdateBuild,
  },
  'late-evacuation': {
    what: 'evacuations are accepted however old they are',
    rules: ['late-evacuation', 'late-restore'],
    faults: delayedCalls,
    patch: withoutAgeChecks,
  },
  'configuration-unsynced': {
    what: 'a write is acknowledged before it is synced',
    rules: ['acknowledged-lost', 'lost-accepted', 'stale-read'],
    faults: ['powerLossAll', 'killAll', 'disk', 'powerLoss'],
    build: builtBy(StoresConfigUnsynced),
  },
  'vote-unsynced': {
    what: 'a vote is sent before it is synced',
    rules: ['two-leaders-in-one-epoch', 'two-holders', 'two-holders-with-one-fence'],
    faults: stalledVotes,
    build: builtBy(StoresVotesUnsynced),
  },
  'deposed-write-taken': {
    what: 'a write of a deposed leader is accepted as one of the current term',
    rules: ['acknowledged-lost', 'lost-accepted', 'two-accepted-on-one-base', 'stale-read'],
    faults: slowLeaders,
    build: builtBy(TakesDeposedWrites),
  },
  'acknowledged-by-one': {
    what: 'a write counts as stored by every voter it was sent to',
    rules: ['acknowledged-lost', 'lost-accepted', 'two-accepted-on-one-base', 'stale-read'],
    faults: LEADER_LOSS,
    build: builtBy(CountsUnacknowledged),
  },
  'half-is-majority': {
    what: 'half of the voters count as a majority',
    rules: [
      'two-leaders-in-one-epoch',
      'acknowledged-lost',
      'two-accepted-on-one-base',
      'lost-accepted',
      'stale-read',
      'two-holders',
    ],
    faults: LEADER_LOSS,
    patch: halfIsMajority,
  },
  'leads-by-own-copies': {
    what: 'a new leader serves its own copies without reading from a majority',
    rules: ['lost-accepted', 'stale-read', 'acknowledged-lost', 'refused-after-accepted'],
    faults: laggingVoterElected,
    build: builtBy(LeadsByOwnCopies),
  },
  'wiped-disk-counts': {
    what: 'a voter with an empty disk counts at once',
    rules: ['acknowledged-lost', 'lost-accepted', 'two-leaders-in-one-epoch', 'stale-read'],
    faults: repairWithLaggingVoter,
    build: builtBy(CountsWipedDisk),
  },
  'repaired-without-copies': {
    what: 'a repaired voter counts without the copies of the other voters',
    rules: ['acknowledged-lost', 'lost-accepted', 'stale-read'],
    faults: repairThenLoss,
    build: builtBy(RepairsWithoutCopies),
  },
  'repair-skips-one': {
    what: 'a repair skips a voter with which the repaired one may have formed a majority',
    rules: ['acknowledged-lost', 'lost-accepted', 'stale-read'],
    faults: repairWithLaggingVoter,
    patch: repairSkipsOneVoter,
  },
  'old-disk-counts': {
    what: 'a voter that starts with the disk contents of three seconds ago counts',
    rules: ['acknowledged-lost', 'lost-accepted', 'stale-read', 'two-leaders-in-one-epoch'],
    faults: ['kill', 'powerLoss', 'powerLossAll', 'killAll'],
    build: oldDiskBuild,
  },
  'swap-without-joint-set': {
    what: 'voters change in one step, without a joint set',
    rules: [
      'voters-without-majority',
      'acknowledged-lost',
      'lost-accepted',
      'two-leaders-in-one-epoch',
    ],
    faults: voterReplacementDuringCut,
    patch: withoutJointSet,
  },
  'joint-by-new-set-alone': {
    what: 'in a joint set of voters the new set alone decides',
    rules: [
      'voters-without-majority',
      'acknowledged-lost',
      'lost-accepted',
      'two-leaders-in-one-epoch',
    ],
    faults: voterReplacementDuringCut,
    patch: majorityOfNewSetOnly,
  },
  'joint-by-either-set': {
    what: 'in a joint set of voters either set decides',
    rules: [
      'voters-without-majority',
      'acknowledged-lost',
      'lost-accepted',
      'two-leaders-in-one-epoch',
    ],
    faults: voterReplacementDuringCut,
    patch: majorityOfEitherSet,
  },
  'no-gap-between-holders': {
    what: 'a new lease holder sends orders as soon as it leads',
    rules: ['two-holders'],
    faults: LEADER_LOSS,
    build: builtBy(SkipsHandoverGap),
  },
  'promises-hidden': {
    what: 'a grant does not report how long an older promise is binding',
    rules: ['two-holders'],
    faults: LEADER_LOSS,
    build: builtBy(OmitsLeaseWait),
  },
  'renews-itself': {
    what: 'a leader renews its lease without a majority',
    rules: ['two-holders', 'lower-fence', 'stale-read'],
    faults: cutLeaders,
    build: builtBy(RenewsItself),
  },
  'grants-twice': {
    what: 'a voter grants one epoch to two nodes',
    rules: ['two-leaders-in-one-epoch'],
    faults: delayedElections,
    build: builtBy(GrantsTwice),
  },
  'wins-by-one': {
    what: 'a winner counts every node it told as a grant',
    rules: ['two-leaders-in-one-epoch', 'two-holders'],
    faults: [...LEADER_LOSS, 'slowLinks', 'powerLossAll'],
    build: builtBy(WinsWithoutMajority),
  },
  'grants-forgotten': {
    what: 'a voter forgets at a restart to which node it granted the epoch',
    rules: ['two-leaders-in-one-epoch', 'two-holders'],
    faults: restartedVoters,
    build: builtBy(ForgetsGrants),
  },
  'lease-by-wall-clock': {
    what: 'time spans are measured by a clock that is set back',
    rules: ['two-holders', 'stale-read', 'lower-fence'],
    faults: cutLeaders,
    build: builtBy(LeasesByWallClock),
  },
} as const satisfies Record<string, Mutant>;

/** The name of a mutant. */
export type MutantName = keyof typeof MUTANTS;

function isMutantName(text: string): text is MutantName {
  return text in MUTANTS;
}

/** The names of all mutants. */
export const MUTANT_NAMES: readonly MutantName[] = Object.keys(MUTANTS).filter(isMutantName);
