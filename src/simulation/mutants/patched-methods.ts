import type { NodeId } from '../../common/ids.js';
import { Quorum } from '../../common/quorum.js';
import { CommandForwarding } from '../../control/command-forwarding.js';
import { VoterPlan, type VoterPlanStep } from '../../control/voter-plan.js';

/**
 * Mutants of components that a core creates itself, so that they can't be injected: a method of the class is patched
 * for the duration of a run. This needs no injection point in the product code.
 */

/** Restores the original methods. */
export type Restore = () => void;

/** Changes from one set of voters to the next in one step, without a joint set. */
export function withoutJointSet(): Restore {
  const { next } = VoterPlan.prototype;
  function nextWithoutJointSet(
    this: VoterPlan,
    ...inputs: Parameters<VoterPlan['next']>
  ): VoterPlanStep {
    const step = next.apply(this, inputs);
    if (step.do !== 'voters') return step;
    return { ...step, voters: step.voters.slice(-1) };
  }
  VoterPlan.prototype.next = nextWithoutJointSet;
  return () => restoreNext(next);
}

function restoreNext(next: VoterPlan['next']): void {
  VoterPlan.prototype.next = next;
}

/** The sets of voters of a quorum, parsed from its text. */
function setsOf(quorum: Quorum): string[][] {
  const sets: string[][] = [];
  for (const set of quorum.text.split(' | ')) sets.push(set.split(','));
  return sets;
}

function patchMajority(isMajority: Quorum['isMajority']): Restore {
  const before = Quorum.prototype.isMajority;
  Quorum.prototype.isMajority = isMajority;
  return () => restoreMajority(before);
}

function restoreMajority(isMajority: Quorum['isMajority']): void {
  Quorum.prototype.isMajority = isMajority;
}

function hasMajority(ids: ReadonlySet<string>, set: readonly string[]): boolean {
  return set.filter(ids.has, ids).length * 2 > set.length;
}

/** In a joint set of voters, a majority of the new set alone decides. */
export function majorityOfNewSetOnly(): Restore {
  function isMajority(this: Quorum, ids: ReadonlySet<NodeId>): boolean {
    return hasMajority(ids, setsOf(this).at(-1) ?? []);
  }
  return patchMajority(isMajority);
}

/** In a joint set of voters, a majority of either set decides. */
export function majorityOfEitherSet(): Restore {
  function isMajority(this: Quorum, ids: ReadonlySet<NodeId>): boolean {
    return setsOf(this).some((set) => hasMajority(ids, set));
  }
  return patchMajority(isMajority);
}

/** Half of the voters count as a majority. */
export function halfIsMajority(): Restore {
  function hasHalf(ids: ReadonlySet<string>, set: readonly string[]): boolean {
    return set.filter(ids.has, ids).length >= Math.floor(set.length / 2);
  }
  function isMajority(this: Quorum, ids: ReadonlySet<NodeId>): boolean {
    return setsOf(this).every((set) => hasHalf(ids, set));
  }
  return patchMajority(isMajority);
}

/** The repair of a voter that lost its disk leaves one voter unread with which it may have formed a majority. */
export function repairSkipsOneVoter(): Restore {
  const before = Quorum.prototype.coversWithout;
  function coversWithout(this: Quorum, me: NodeId, ids: ReadonlySet<NodeId>): boolean {
    if (before.call(this, me, ids)) return true;
    for (const skipped of this.all) {
      if (skipped !== me && before.call(this, me, new Set(ids).add(skipped))) return true;
    }
    return false;
  }
  Quorum.prototype.coversWithout = coversWithout;
  return () => restoreCoversWithout(before);
}

function restoreCoversWithout(coversWithout: Quorum['coversWithout']): void {
  Quorum.prototype.coversWithout = coversWithout;
}

function acceptAnyAge(): void {
  /* Any age is accepted. */
}

/** A node that was frozen accepts all orders that waited for it, however old they are. */
function withoutAgeCheckAtNode(): Restore {
  const before = CommandForwarding.prototype.checkAge;
  CommandForwarding.prototype.checkAge = acceptAnyAge;
  return () => restoreCheckAge(before);
}

function restoreCheckAge(checkAge: CommandForwarding['checkAge']): void {
  CommandForwarding.prototype.checkAge = checkAge;
}

/** A leader accepts forwarded orders however old they are, and from any epoch. */
function withoutAgeCheckOnForwarding(): Restore {
  const before = CommandForwarding.prototype.checkForwarded;
  CommandForwarding.prototype.checkForwarded = acceptAnyAge;
  return () => restoreCheckForwarded(before);
}

function restoreCheckForwarded(checkForwarded: CommandForwarding['checkForwarded']): void {
  CommandForwarding.prototype.checkForwarded = checkForwarded;
}

/** Orders without a version are accepted however old they are, wherever they waited. */
export function withoutAgeChecks(): Restore {
  const restoreNode = withoutAgeCheckAtNode();
  const restoreForwarding = withoutAgeCheckOnForwarding();
  function restore(): void {
    restoreNode();
    restoreForwarding();
  }
  return restore;
}
