/** Who led each epoch that had a leader. */
export type Leaders = Readonly<Record<number, number>>;

export interface LeaderJudgement {
  readonly leaders: Leaders;
  readonly violation: string | undefined;
}

/** Notes that a node leads an epoch; no epoch may have two leaders. */
export function withLeader(leaders: Leaders, epoch: number, node: number): LeaderJudgement {
  const known = leaders[epoch];
  if (known === undefined) return { leaders: { ...leaders, [epoch]: node }, violation: undefined };
  return { leaders, violation: known === node ? undefined : `two leaders in epoch ${epoch}` };
}
