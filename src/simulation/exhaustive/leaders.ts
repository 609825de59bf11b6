/** The leader of each epoch that had one. */
export type Leaders = Readonly<Record<number, number>>;

/** The leaders after a step, and the broken invariant, if any. */
export interface LeaderCheck {
  readonly leaders: Leaders;
  readonly violation: string | undefined;
}

/** Records that a node leads an epoch; it is a violation if another node led it. */
export function withLeader(leaders: Leaders, epoch: number, node: number): LeaderCheck {
  const known = leaders[epoch];
  if (known === undefined) return { leaders: { ...leaders, [epoch]: node }, violation: undefined };
  return { leaders, violation: known === node ? undefined : `two leaders in epoch ${epoch}` };
}
