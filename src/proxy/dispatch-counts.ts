/** Counters of a dispatcher since its start; the names of the fields are those of the status page. */
export class DispatchCounts {
  requests = 0;
  /** Attempts at a runner after a request's first, for whatever reason. */
  retries = 0;
  refused = 0;
  failed = 0;
  /** Streams that were forwarded in part and then resumed at another runner. */
  resumed = 0;
  /** Times that no runner had the model, or the adapter, that a request needs. */
  misses = 0;
  waits = 0;
}
