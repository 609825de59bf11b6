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
  /** Placements at which no runner had the model, or the adapter, that the request needs. */
  misses = 0;
  /** Always 0 at present; a field of the status page. */
  waits = 0;
}
