import type { NodeId } from '../../common/ids.js';
import { Quorum } from '../../common/quorum.js';
import { CommandForwarding } from '../../control/command-forwarding.js';
import { VoterPlan, type VoterPlanStep } from '../../control/voter-plan.js';

/**
 * Wrong parts that a core makes for itself, so that they can't be handed to it: for the time of a run the method of the
 * class is exchanged. The product needs no opening for that.
 */

export type Restore = () => void;

/** Goes from one set of voters to the next in one step. */
export function withoutJointSet(): Restore {
  const { next } = VoterPlan.prototype;
  function nextAtOnce(this: VoterPlan, ...inputs: Parameters<VoterPlan['next']>): VoterPlanStep {
    const change = next.apply(this, inputs);
    if (change.do !== 'voters') return change;
    return { ...change, voters: change.voters.slice(-1) };
  }
  VoterPlan.prototype.next = nextAtOnce;
  return () => restoreNext(next);
}

function restoreNext(next: VoterPlan['next']): void {
  VoterPlan.prototype.next = next;
}

/** The sets of a quorum, as its text names them. */
function setsOf(quorum: Quorum): string[][] {
  const sets: string[][] = [];
  for (const set of quorum.text.split(' | ')) sets.push(set.split(','));
  return sets;
}

function exchangeMajority(isMajority: Quorum['isMajority']): Restore {
  const before = Quorum.prototype.isMajority;
  Quorum.prototype.isMajority = isMajority;
  return () => restoreMajority(before);
}

function restoreMajority(isMajority: Quorum['isMajority']): void {
  Quorum.prototype.isMajority = isMajority;
}

function hasMost(ids: ReadonlySet<string>, set: readonly string[]): boolean {
  return set.filter(ids.has, ids).length * 2 > set.length;
}

/** Of two sets side by side only the new one decides. */
export function judgedByNewSetAlone(): Restore {
  function isMajority(this: Quorum, ids: ReadonlySet<NodeId>): boolean {
    return hasMost(ids, setsOf(this).at(-1) ?? []);
  }
  return exchangeMajority(isMajority);
}

/** Of two sets side by side either one decides. */
export function judgedByEitherSet(): Restore {
  function isMajority(this: Quorum, ids: ReadonlySet<NodeId>): boolean {
    return setsOf(this).some((set) => hasMost(ids, set));
  }
  return exchangeMajority(isMajority);
}

/** Half of the voters count as a majority. */
export function halfIsMajority(): Restore {
  function hasHalf(ids: ReadonlySet<string>, set: readonly string[]): boolean {
    return set.filter(ids.has, ids).length >= Math.floor(set.length / 2);
  }
  function isMajority(this: Quorum, ids: ReadonlySet<NodeId>): boolean {
    return setsOf(this).every((set) => hasHalf(ids, set));
  }
  return exchangeMajority(isMajority);
}

/** A voter that lost its disk leaves one unread that it may have decided with. */
export function repairSkipsOne(): Restore {
  const before = Quorum.prototype.coversWithout;
  function coversWithout(this: Quorum, me: NodeId, ids: ReadonlySet<NodeId>): boolean {
    if (before.call(this, me, ids)) return true;
    for (const skipped of this.all) {
      if (skipped !== me && before.call(this, me, new Set(ids).add(skipped))) return true;
    }
    return false;
  }
  Quorum.prototype.coversWithout = coversWithout;
  return () => restoreCovers(before);
}

function restoreCovers(coversWithout: Quorum['coversWithout']): void {
  Quorum.prototype.coversWithout = coversWithout;
}

function judgeNothing(): void {
  /* Any age will do. */
}

/** A node that stood still takes whatever waited for it meanwhile. */
function ageAtNodeUnjudged(): Restore {
  const before = CommandForwarding.prototype.checkAge;
  CommandForwarding.prototype.checkAge = judgeNothing;
  return () => restoreCheckAge(before);
}

function restoreCheckAge(checkAge: CommandForwarding['checkAge']): void {
  CommandForwarding.prototype.checkAge = checkAge;
}

/** A leader takes orders that were passed on to it however long ago, and in whatever epoch. */
function ageOnTheWayUnjudged(): Restore {
  const before = CommandForwarding.prototype.checkForwarded;
  CommandForwarding.prototype.checkForwarded = judgeNothing;
  return () => restoreCheckForwarded(before);
}

function restoreCheckForwarded(checkForwarded: CommandForwarding['checkForwarded']): void {
  CommandForwarding.prototype.checkForwarded = checkForwarded;
}

/** Orders that name no version are taken however old they are, wherever they waited. */
export function ageUnjudged(): Restore {
  const restoreNode = ageAtNodeUnjudged();
  const restoreWay = ageOnTheWayUnjudged();
  function restore(): void {
    restoreNode();
    restoreWay();
  }
  return restore;
}
