/** Ids, epochs and moments are types of their own, so that one is never passed for another. */
export type NodeId = string & { readonly kindOfId: 'node' };
export type PartitionName = string & { readonly kindOfId: 'partition' };
export type Epoch = number & { readonly kindOfNumber: 'epoch' };
/** Milliseconds on this process's monotonic clock; never compared between machines. */
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

export function nodeId(text: string): NodeId {
  if (!isNodeId(text)) throw invalidValue('peer id', text);
  return text;
}
export function partitionName(text: string): PartitionName {
  if (!isPartitionName(text)) throw invalidValue('partition name', text);
  return text;
}
export function epochOf(value: number): Epoch {
  if (!isEpoch(value)) throw invalidValue('epoch', value);
  return value;
}
export function moment(value: number): Moment {
  if (!isMoment(value)) throw invalidValue('moment', value);
  return value;
}

/** Odd epochs elect; even ones carry a leader. */
export function isElecting(epoch: Epoch): boolean {
  return epoch % 2 === 1;
}
export function nextElecting(epoch: Epoch): Epoch {
  return epochOf(epoch % 2 === 1 ? epoch + 2 : epoch + 1);
}
export function nextLeading(epoch: Epoch): Epoch {
  return epochOf(epoch % 2 === 0 ? epoch : epoch + 1);
}
export function later(at: Moment, millis: number): Moment {
  return moment(at + millis);
}
