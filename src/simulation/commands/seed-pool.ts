import { fork, type ChildProcess } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { is } from 'superstruct';
import { shapeOf, type WantedShape } from '../run-shape.js';
import { SeedResultShape, type SeedResult } from '../seed-run.js';

/** A run makes much that lives shortly: with room for it (MB) the collector is called less often. */
const WORKER_FLAGS = ['--max-semi-space-size=64'];

export interface SeedPoolSettings {
  readonly from: number;
  readonly seeds: number;
  readonly shape: WantedShape;
  readonly jobs: number;
  /** No seed is begun after so long, ms. */
  readonly mostMs: number;
  /** Told of each seed as it is done, in no order. */
  readonly done: (result: SeedResult) => void;
}

/** Runs seeds in child processes, one seed at a time in each. */
export class SeedPool {
  readonly #settings: SeedPoolSettings;
  #next: number;
  readonly #until: number;
  #finish: (() => void) | undefined;
  #fail: ((error: Error) => void) | undefined;
  readonly #workers = new Set<ChildProcess>();

  constructor(settings: SeedPoolSettings) {
    this.#settings = settings;
    this.#next = settings.from;
    this.#until = performance.now() + settings.mostMs;
  }

  /** The first seed that was not begun: where another batch goes on. */
  get next(): number {
    return this.#next;
  }

  /** Resolves once every seed that was begun is done; a worker that ends by itself fails the whole. */
  run(): Promise<void> {
    return new Promise(this.#begin.bind(this));
  }

  #begin(finish: () => void, fail: (error: Error) => void): void {
    this.#finish = finish;
    this.#fail = fail;
    const { jobs, seeds } = this.#settings;
    for (let index = 0; index < Math.min(jobs, seeds); index += 1) this.#hire();
  }

  #hire(): void {
    const script = fileURLToPath(new URL('./seed-worker.js', import.meta.url));
    const worker = fork(script, [], { execArgv: WORKER_FLAGS });
    this.#workers.add(worker);
    worker.on('message', this.#take.bind(this, worker));
    worker.on('exit', this.#ended.bind(this, worker));
    this.#ask(worker);
  }

  #ask(worker: ChildProcess): void {
    const { from, seeds, shape } = this.#settings;
    if (this.#next >= from + seeds || performance.now() >= this.#until) {
      this.#dismiss(worker);
      return;
    }
    worker.send({ seed: this.#next, shape: shapeOf(this.#next, shape) });
    this.#next += 1;
  }

  #take(worker: ChildProcess, message: unknown): void {
    if (!is(message, SeedResultShape)) return;
    this.#settings.done(message);
    this.#ask(worker);
  }

  #dismiss(worker: ChildProcess): void {
    this.#workers.delete(worker);
    worker.disconnect();
    if (this.#workers.size === 0) this.#finish?.();
  }

  #ended(worker: ChildProcess): void {
    if (!this.#workers.delete(worker)) return;
    this.#fail?.(new Error(`a worker ended with ${worker.exitCode ?? worker.signalCode}`));
  }
}
