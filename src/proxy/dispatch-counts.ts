/** Counters of a dispatcher since its start; the names of the fields are those of the status page. */
export class DispatchCounts {
  /** Requests that were read completely. */
  requests = 0;
  /** Attempts at a runner after a request's first, for whatever reason. */
  retries = 0;
  /** Requests that were rejected: no runner has processed them. */
  refused = 0;
  /** Requests that failed after a runner may have processed them. */
  failed = 0;
  /** Streams that were forwarded in part and then resumed at another runner. */
  resumed = 0;
  /** Requests for whose model or adapter no runner was found; several for one that loses its runner again. */
  misses = 0;
  /** Requests that started to wait for a load or for a place. */
  waits = 0;
}
