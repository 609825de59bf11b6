import { monotonicNow } from '../common/clock.js';
import type { Moment } from '../common/ids.js';
import { renderMetrics, type Exposition } from '../metrics/exposition.js';
import { WriteLatency } from '../metrics/write-latency.js';
import { controlFamilies } from './control-families.js';
import type { ControlMetrics } from './control-metrics.js';

/** The part of a core from which its metrics are read. */
interface MetricsSource {
  metrics(now: Moment): ControlMetrics;
}

/** Renders the metrics of a control node's process: those of its core, and the latency of writes, measured here. */
export class ControlReport {
  readonly #writes = new WriteLatency();

  /** Measures a write until it is synced or has failed; rejects with the error of the write. */
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

  /** The metrics as text; undefined while the core has not started. */
  async render(core: MetricsSource | undefined): Promise<Exposition | undefined> {
    if (!core) return undefined;
    const now = monotonicNow();
    return renderMetrics(controlFamilies(core.metrics(now), this.#writes.figures(now)));
  }
}
