/** What a dispatcher counts from its start on. */
export class DispatchCounts {
  requests = 0;
  /** Attempts at a runner after a request's first, for whatever reason. */
  retries = 0;
  refused = 0;
  failed = 0;
  /** Streams of which something was passed on and that went on at another runner. */
  resumed = 0;
  /** Times that no runner held what a request needs. */
  misses = 0;
  waits = 0;
}
