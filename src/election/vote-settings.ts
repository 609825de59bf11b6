/** Spans in milliseconds, units of scores in seconds. The design's half-life is kept; the rest it leaves free. */
export interface VoteSettings {
  readonly pingMs: number;
  readonly deadMs: number;
  readonly halfLifeSeconds: number;
  readonly electionMs: number;
  readonly renewMs: number;
  /** How long a majority-granted renewal lets its holder order, counted from when it was sent. */
  readonly spanMs: number;
  /** How long nobody orders between two holders. */
  readonly leaseMs: number;
  /** By how much of itself any machine's monotonic clock may be fast or slow. */
  readonly drift: number;
  /** A record unsynced for so long marks our disk as stalled: we then defer rather than propose. */
  readonly stallMs: number;
}

export const VOTE_DEFAULTS: VoteSettings = {
  pingMs: 300,
  deadMs: 1500,
  halfLifeSeconds: 12 * 3600,
  electionMs: 700,
  renewMs: 400,
  spanMs: 2000,
  leaseMs: 3000,
  drift: 0.01,
  stallMs: 500,
};
