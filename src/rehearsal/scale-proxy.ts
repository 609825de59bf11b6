import { pino } from 'pino';
import { string, type, type Infer } from 'superstruct';
import { ProxyProcess } from '../proxy/proxy-process.js';
import { NullRequestDialect, PlainRouting } from './scale-dialect.js';
import { processCost, type ScalePart } from './scale-part.js';

/** Schema of the settings of `ScaleProxy`. */
export const ScaleProxyShape = type({
  listen: string(),
  readiness: string(),
  link: string(),
  zone: string(),
});

/** A real proxy without requests, which measures the cost of receiving updates. */
export class ScaleProxy implements ScalePart {
  readonly #proxy: ProxyProcess;

  constructor({ link, ...settings }: Infer<typeof ScaleProxyShape>) {
    this.#proxy = new ProxyProcess(
      {
        ...settings,
        agentAddress: link,
        readyPath: '/ready',
        dispatcher: {
          retry: { ratio: 0.2, extra: 58, windowMs: 10_000 },
          warmupExcess: 1.5,
          connectTimeoutMs: 300,
        },
        graceMs: 2000,
        lameDuckMs: 100,
      },
      new PlainRouting(),
      new NullRequestDialect(),
      pino({ level: 'warn' }),
    );
  }

  /** Starts the proxy. */
  async start(): Promise<void> {
    await this.#proxy.start();
  }

  /** Stops the proxy. */
  async stop(): Promise<void> {
    await this.#proxy.stop();
  }

  /** Returns the cost of this process and the proxy's counters, whatever the verb. */
  async request(): Promise<string> {
    return JSON.stringify({ ...processCost(), countingMs: 0, ...this.#proxy.counters() });
  }
}
