/** Timing of the election. The half-life is that of the design, which leaves the other values open. */
export interface VoteSettings {
  /** Interval between pings to each peer. */
  readonly pingMs: number;
  /** A peer that has returned no ping for this long counts as dead. */
  readonly peerTimeoutMs: number;
  /** Half-life of connection scores. */
  readonly halfLifeSeconds: number;
  /** How long one round of an election waits for answers. */
  readonly electionMs: number;
  /** Interval between renewals of the lease. */
  readonly renewMs: number;
  /** For how long a renewal acknowledged by a majority lets the leader send orders, counted from when it was sent. */
  readonly leaseMs: number;
  /** For how long no orders are sent between the leases of two leaders. */
  readonly handoverGapMs: number;
  /** Maximum rate error of any machine's monotonic clock, as a fraction: 0.01 is 1 % fast or slow. */
  readonly drift: number;
  /** A record unsynced for longer than this marks the disk as stalled: the voter then defers rather than proposes. */
  readonly diskStallMs: number;
}

/** The default timing. */
export const VOTE_DEFAULTS: VoteSettings = {
  pingMs: 300,
  peerTimeoutMs: 1500,
  halfLifeSeconds: 12 * 3600,
  electionMs: 700,
  renewMs: 400,
  leaseMs: 2000,
  handoverGapMs: 3000,
  drift: 0.01,
  diskStallMs: 500,
};
