/** The metrics of a control node's process: what its core tells of itself, and the writes that the process measures. */

import { monotonicNow } from '../common/clock.js';
import type { Moment } from '../common/ids.js';
import { renderMetrics, type Exposition } from '../metrics/exposition.js';
import { WriteLatency } from '../metrics/write-latency.js';
import { controlFamilies } from './control-families.js';
import type { ControlMetrics } from './control-metrics.js';

/** A core that can be looked at. */
interface Observed {
  metrics(now: Moment): ControlMetrics;
}

export class ControlReport {
  readonly #writes = new WriteLatency();

  /** Measures a write until it is synced or has failed, and passes its failure on. */
  async measure(write: Promise<void>): Promise<void> {
    const id = this.#writes.begin(monotonicNow());
    try {
      await write;
      this.#writes.end(id, monotonicNow(), 'done');
    } catch (thrown) {
      this.#writes.end(id, monotonicNow(), 'failed');
      throw thrown;
    }
  }

  /** Nothing while the core has not started. */
  async render(core: Observed | undefined): Promise<Exposition | undefined> {
    if (!core) return undefined;
    const now = monotonicNow();
    return renderMetrics(controlFamilies(core.metrics(now), this.#writes.figures(now)));
  }
}
