/**
 * Every kind of fault that the simulator can inject. Seeds draw by position, so append new kinds at the end.
 *
 * In these names `mind` is a control node, `link` an agent, `flow` a proxy, `back` a back end, and `dark` means frozen.
 */
export const FAULT_KINDS = [
  'kill-mind',
  'kill-core',
  'retire-mind',
  'freeze-mind',
  'freeze-ordering',
  'wipe-mind',
  'rot-file',
  'stall-disk',
  'slow-disk',
  'cut-minds',
  'cut-one-way',
  'isolate-mind',
  'isolate-link',
  'cut-link',
  'kill-link',
  'freeze-link',
  'kill-flow',
  'freeze-flow',
  'restart-flow',
  'loss',
  'delay',
  'restart-runner',
  'vanish-runner',
  'dark-runner',
  'moody-back',
  'breaking-plain',
  'restart-back',
  'dark-back',
  'cut-back',
  'mark-runner',
  'mark-dark-runner',
  'replace-runner',
  'shrink-room',
  'lower-limit',
  'platform-down',
  'odd-list',
  'isolate-core',
  'crowd',
  'zone-lost',
] as const;
/** The name of a kind of fault. */
export type FaultKind = (typeof FAULT_KINDS)[number];

/** Conditions counted when a fault is injected: a fault tests the rules under a condition only if it coincides with it. */
export const CONDITIONS = [
  'requests open',
  'runs under way',
  'edit in flight',
  'fetch under way',
  'runner marked',
  'zone emptied',
  'back end cold',
  'proxy draining',
  'no holder',
  'link blind',
] as const;
/** A condition that may hold when a fault is injected. */
export type Condition = (typeof CONDITIONS)[number];
