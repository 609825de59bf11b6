import type { AgentSettings } from '../../agent/agent-core.js';
import type { Moment } from '../../common/ids.js';
import type { ControlCore } from '../../control/control-core.js';
import type { Seeded } from '../../rehearsal/seeded.js';
import type { Fault, FaultKind } from '../faults.js';
import type { HistoryRule } from '../history/violation.js';
import type { StateRule } from '../violation.js';
import {
  cutLeaders,
  frozenLeaders,
  heldCalls,
  laggardElected,
  repairBesideOneBehind,
  repairThenLoss,
  restartedVoters,
  slowLeaders,
  stalledVotes,
  swapBesideCut,
  tornElections,
} from './aimed-schedules.js';
import { TakesOlder } from './agent-mutants.js';
import { SOUND_BUILD, type ControlInputs, type CoreBuild } from '../core-build.js';
import {
  ForgetsGrants,
  GrantsTwice,
  HidesPromises,
  LeasesByWallClock,
  LeavesNoGap,
  RenewsItself,
  WinsByOne,
} from './election-mutants.js';
import {
  AcknowledgesForwarded,
  FollowerReads,
  ForgetsIdentity,
  IdentifiesByBase,
  ReadsUnproved,
  RefusesByUncommitted,
  RefusesUnclear,
  RefusesUnproved,
} from './order-mutants.js';
import {
  CountsOldDisk,
  CountsUnacknowledged,
  CountsWiped,
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
  ageUnjudged,
  halfIsMajority,
  judgedByEitherSet,
  judgedByNewSetAlone,
  repairSkipsOne,
  withoutJointSet,
  type Restore,
} from './exchanged-parts.js';

/** Builds of the control side with one thing wrong each: a check that none of them fails proves nothing. */

export type Rule = HistoryRule | StateRule;

export interface Mutant {
  readonly what: string;
  /** The rules that name the fault; breaking any of them catches the mutant. */
  readonly rules: readonly Rule[];
  /** Under which faults it shows: kinds that are drawn, or a schedule of its own. */
  readonly faults: readonly FaultKind[] | AimedSchedule;
  /** Makes what one run takes its cores from. */
  readonly build?: () => CoreBuild;
  /** Exchanges a part that cores make for themselves, until restored. */
  readonly exchange?: () => Restore;
}

/** A schedule that a seed varies. */
export type AimedSchedule = (random: Seeded) => Fault[];

type ControlClass = new (inputs: ControlInputs) => ControlCore;

function controlBuild(core: ControlClass): CoreBuild {
  function control(inputs: ControlInputs): ControlCore {
    return new core(inputs);
  }
  return { ...SOUND_BUILD, control };
}

function builtBy(core: ControlClass): () => CoreBuild {
  return () => controlBuild(core);
}

function oldDiskBuild(): CoreBuild {
  const snapshots = new Snapshots();
  function control(inputs: ControlInputs): ControlCore {
    return new CountsOldDisk(inputs, snapshots);
  }
  return { ...SOUND_BUILD, control };
}

function olderUpdateBuild(): CoreBuild {
  function agent(settings: AgentSettings, now: Moment): TakesOlder {
    return new TakesOlder(settings, now);
  }
  return { ...SOUND_BUILD, agent };
}

const LEADER_LOSS = ['kill', 'powerLoss', 'freeze', 'cut'] as const;

export const MUTANTS = {
  'refusal-unproved': {
    what: 'an order is refused without contact with a majority',
    rules: ['refused-after-accepted', 'refused-for-a-winner-that-never-was', 'losing-in-force'],
    faults: frozenLeaders,
    build: builtBy(RefusesUnproved),
  },
  'refusal-by-uncommitted': {
    what: 'an order is refused for a winner that is not committed',
    rules: ['refused-for-a-winner-that-never-was'],
    faults: cutLeaders,
    build: builtBy(RefusesByUncommitted),
  },
  'identity-forgotten': {
    what: 'an order sent again is judged by its base before its identity',
    rules: ['refused-after-accepted'],
    faults: ['answersLost', 'operatorCut'],
    build: builtBy(ForgetsIdentity),
  },
  'identity-by-base': {
    what: 'two different orders on one base are taken for the same',
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
    what: 'a follower acknowledges an order as soon as it has passed it on',
    rules: ['two-accepted-on-one-base', 'lost-accepted', 'stale-read'],
    faults: ['cut', 'freeze'],
    build: builtBy(AcknowledgesForwarded),
  },
  'reads-unproved': {
    what: 'a leader answers reads without contact with a majority',
    rules: ['stale-read'],
    faults: frozenLeaders,
    build: builtBy(ReadsUnproved),
  },
  'reads-at-followers': {
    what: 'followers answer reads by what they were told last',
    rules: ['stale-read'],
    faults: ['slowLinks', 'cut'],
    build: builtBy(FollowerReads),
  },
  'older-update-taken': {
    what: 'an agent takes an older configuration for a newer one',
    rules: ['version-stepped-back'],
    faults: ['cut', 'freeze', 'slowLinks', 'agentCut', 'agentFreeze'],
    build: olderUpdateBuild,
  },
  'late-evacuation': {
    what: 'evacuations are taken however old they are',
    rules: ['late-evacuation', 'late-restore'],
    faults: heldCalls,
    exchange: ageUnjudged,
  },
  'configuration-unsynced': {
    what: 'a write is acknowledged before it is synced',
    rules: ['acknowledged-lost', 'lost-accepted', 'stale-read'],
    faults: ['powerLossAll', 'killAll', 'disk', 'powerLoss'],
    build: builtBy(StoresConfigUnsynced),
  },
  'vote-unsynced': {
    what: 'a vote is spoken before it is synced',
    rules: ['two-leaders-in-one-epoch', 'two-holders', 'two-holders-with-one-fence'],
    faults: stalledVotes,
    build: builtBy(StoresVotesUnsynced),
  },
  'deposed-write-taken': {
    what: 'a write of a deposed leader is taken as one of the present term',
    rules: ['acknowledged-lost', 'lost-accepted', 'two-accepted-on-one-base', 'stale-read'],
    faults: slowLeaders,
    build: builtBy(TakesDeposedWrites),
  },
  'acknowledged-by-one': {
    what: 'a write counts as held by everybody it was sent to',
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
    exchange: halfIsMajority,
  },
  'leads-by-own-copies': {
    what: 'a new leader serves its own copies without reading a majority',
    rules: ['lost-accepted', 'stale-read', 'acknowledged-lost', 'refused-after-accepted'],
    faults: laggardElected,
    build: builtBy(LeadsByOwnCopies),
  },
  'wiped-disk-counts': {
    what: 'a voter with an empty disk counts at once',
    rules: ['acknowledged-lost', 'lost-accepted', 'two-leaders-in-one-epoch', 'stale-read'],
    faults: repairBesideOneBehind,
    build: builtBy(CountsWiped),
  },
  'repaired-without-copies': {
    what: 'a repaired voter counts without the copies that others hold',
    rules: ['acknowledged-lost', 'lost-accepted', 'stale-read'],
    faults: repairThenLoss,
    build: builtBy(RepairsWithoutCopies),
  },
  'repair-skips-one': {
    what: 'a repair leaves one unread that the voter may have decided with',
    rules: ['acknowledged-lost', 'lost-accepted', 'stale-read'],
    faults: repairBesideOneBehind,
    exchange: repairSkipsOne,
  },
  'old-disk-counts': {
    what: 'a voter that starts from a disk of three seconds ago counts',
    rules: ['acknowledged-lost', 'lost-accepted', 'stale-read', 'two-leaders-in-one-epoch'],
    faults: ['kill', 'powerLoss', 'powerLossAll', 'killAll'],
    build: oldDiskBuild,
  },
  'swap-without-joint-set': {
    what: 'voters change in one step, without a set of both',
    rules: [
      'voters-without-majority',
      'acknowledged-lost',
      'lost-accepted',
      'two-leaders-in-one-epoch',
    ],
    faults: swapBesideCut,
    exchange: withoutJointSet,
  },
  'joint-by-new-set-alone': {
    what: 'of two sets of voters the new one decides alone',
    rules: [
      'voters-without-majority',
      'acknowledged-lost',
      'lost-accepted',
      'two-leaders-in-one-epoch',
    ],
    faults: swapBesideCut,
    exchange: judgedByNewSetAlone,
  },
  'joint-by-either-set': {
    what: 'of two sets of voters either decides',
    rules: [
      'voters-without-majority',
      'acknowledged-lost',
      'lost-accepted',
      'two-leaders-in-one-epoch',
    ],
    faults: swapBesideCut,
    exchange: judgedByEitherSet,
  },
  'no-gap-between-holders': {
    what: 'a new holder orders as soon as it leads',
    rules: ['two-holders'],
    faults: LEADER_LOSS,
    build: builtBy(LeavesNoGap),
  },
  'promises-hidden': {
    what: 'a grant does not tell how long an older promise binds',
    rules: ['two-holders'],
    faults: LEADER_LOSS,
    build: builtBy(HidesPromises),
  },
  'renews-itself': {
    what: 'a leader renews its lease without a majority',
    rules: ['two-holders', 'lower-fence', 'stale-read'],
    faults: cutLeaders,
    build: builtBy(RenewsItself),
  },
  'grants-twice': {
    what: 'a voter grants one epoch to two',
    rules: ['two-leaders-in-one-epoch'],
    faults: tornElections,
    build: builtBy(GrantsTwice),
  },
  'wins-by-one': {
    what: 'a winner counts everybody it told as one that granted',
    rules: ['two-leaders-in-one-epoch', 'two-holders'],
    faults: [...LEADER_LOSS, 'slowLinks', 'powerLossAll'],
    build: builtBy(WinsByOne),
  },
  'grants-forgotten': {
    what: 'a voter forgets at its restart whom it granted the epoch',
    rules: ['two-leaders-in-one-epoch', 'two-holders'],
    faults: restartedVoters,
    build: builtBy(ForgetsGrants),
  },
  'lease-by-wall-clock': {
    what: 'spans are measured by a clock that is set back',
    rules: ['two-holders', 'stale-read', 'lower-fence'],
    faults: cutLeaders,
    build: builtBy(LeasesByWallClock),
  },
} as const satisfies Record<string, Mutant>;

export type MutantName = keyof typeof MUTANTS;

function isMutantName(text: string): text is MutantName {
  return text in MUTANTS;
}

export const MUTANT_NAMES: readonly MutantName[] = Object.keys(MUTANTS).filter(isMutantName);
