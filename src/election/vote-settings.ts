/** Spans in milliseconds, units of scores in seconds. The design's half-life is kept; the rest it leaves free. */
export interface VoteSettings {
  readonly pingMs: number;
  readonly peerTimeoutMs: number;
  readonly halfLifeSeconds: number;
  readonly electionMs: number;
  readonly renewMs: number;
  /** How long a majority-granted renewal lets its holder order, counted from when it was sent. */
  readonly leaseMs: number;
  /** How long nobody orders between two holders. */
  readonly handoverGapMs: number;
  /** By how much of itself any machine's monotonic clock may be fast or slow. */
  readonly drift: number;
  /** A record unsynced for so long marks our disk as stalled: we then defer rather than propose. */
  readonly diskStallMs: number;
}

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
