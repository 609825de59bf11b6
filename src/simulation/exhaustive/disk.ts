import type { DiskWrite } from './local-states.js';

function isOlder(a: DiskWrite, b: DiskWrite): boolean {
  return a.epoch < b.epoch || (a.epoch === b.epoch && a.count < b.count);
}

/** The disk after a write; an older version never replaces a newer one. */
export function withWrite(disk: readonly DiskWrite[], write: DiskWrite): readonly DiskWrite[] {
  const known = disk.find(isOfSlot.bind(undefined, write.slot));
  if (known && isOlder(write, known)) return disk;
  return [...disk.filter(isOfOtherSlot.bind(undefined, write.slot)), write].sort(bySlot);
}

/** Whether a write belongs to a slot. */
export function isOfSlot(slot: string, write: DiskWrite): boolean {
  return write.slot === slot;
}

function isOfOtherSlot(slot: string, write: DiskWrite): boolean {
  return write.slot !== slot;
}

function bySlot(a: DiskWrite, b: DiskWrite): number {
  return a.slot < b.slot ? -1 : 1;
}
