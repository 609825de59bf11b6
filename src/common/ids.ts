/**
 * Branded types of ids, epochs and points in time, so that one is never passed in place of another. The functions that
 * create them throw a `TypeError` on an invalid value.
 */

/** The id of a node, usually the address at which other nodes reach it. */
export type NodeId = string & { readonly kindOfId: 'node' };
/** The name of a partition of the replicated state. */
export type PartitionName = string & { readonly kindOfId: 'partition' };
/** An epoch of the election; see `isElectionEpoch`. */
export type Epoch = number & { readonly kindOfNumber: 'epoch' };
/** A point in time, in milliseconds on the monotonic clock of this process; not comparable between machines. */
export type Moment = number & { readonly kindOfNumber: 'moment' };

function isNodeId(text: string): text is NodeId {
  return text !== '';
}
function isPartitionName(text: string): text is PartitionName {
  return /^[a-z0-9-]+$/.test(text);
}
function isEpoch(value: number): value is Epoch {
  return Number.isSafeInteger(value) && value >= 0;
}
function isMoment(value: number): value is Moment {
  return Number.isFinite(value);
}

function invalidValue(kind: string, value: string | number): TypeError {
  return new TypeError(`not a ${kind}: ${JSON.stringify(value)}`);
}

/** Checks a node id: any text but the empty one. */
export function nodeId(text: string): NodeId {
  if (!isNodeId(text)) throw invalidValue('node id', text);
  return text;
}
/** Checks the name of a partition: lower-case letters, digits and dashes. */
export function partitionName(text: string): PartitionName {
  if (!isPartitionName(text)) throw invalidValue('partition name', text);
  return text;
}
/** Checks an epoch: a safe integer that is not negative. */
export function epochOf(value: number): Epoch {
  if (!isEpoch(value)) throw invalidValue('epoch', value);
  return value;
}
/** Checks a point in time: a finite number of milliseconds. */
export function moment(value: number): Moment {
  if (!isMoment(value)) throw invalidValue('moment', value);
  return value;
}

/** Whether an election is held in this epoch: odd epochs are elections, even ones belong to a leader. */
export function isElectionEpoch(epoch: Epoch): boolean {
  return epoch % 2 === 1;
}
/** The next epoch after this one that is an election. */
export function nextElectionEpoch(epoch: Epoch): Epoch {
  return epochOf(epoch % 2 === 1 ? epoch + 2 : epoch + 1);
}
/** This epoch if it belongs to a leader, else the next one. */
export function nextLeaderEpoch(epoch: Epoch): Epoch {
  return epochOf(epoch % 2 === 0 ? epoch : epoch + 1);
}
/** The point in time `millis` milliseconds after `at`. */
export function later(at: Moment, millis: number): Moment {
  return moment(at + millis);
}
