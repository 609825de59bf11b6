import { fork, type ChildProcess } from 'node:child_process';
import { number, string, type } from 'superstruct';
import { reasonOf } from '../common/errors.js';

/** One part of a scale run, in this process or in one of its own; it is asked by a verb and a JSON body. */
export interface ScalePart {
  ask(verb: string, body: string): Promise<string>;
  stop(): Promise<void>;
}

const AskShape = type({ id: number(), verb: string(), body: string() });
const ReplyShape = type({ id: number(), body: string(), fault: string() });
const ALONE_MS = 1000;
/** A process that measures itself holds no more than this, MB. */
const HEAP_MB = 4096;

/** A part in a process of its own, asked over the line that Node keeps between the two. */
export class ForkedPart implements ScalePart {
  readonly #child: ChildProcess;
  readonly #waiting = new Map<
    number,
    { readonly done: (body: string) => void; readonly fail: (thrown: Error) => void }
  >();
  #id = 0;

  constructor(program: string, kind: string, settings: string) {
    this.#child = fork(
      program,
      [
        'rehearsal',
        'scale',
        '--part',
        kind,
        '--parent',
        String(process.pid),
        '--settings',
        settings,
      ],
      {
        execArgv: [`--max-old-space-size=${HEAP_MB}`],
        stdio: ['ignore', 'inherit', 'inherit', 'ipc'],
      },
    );
    this.#child.on('message', (message) => this.#take(message));
    this.#child.on('exit', () => this.#ended());
  }

  ask(verb: string, body: string): Promise<string> {
    this.#id += 1;
    const id = this.#id;
    const waiting = this.#waiting;
    const returned = new Promise<string>(
      (done: (body: string) => void, fail: (thrown: Error) => void) => {
        waiting.set(id, { done, fail });
      },
    );
    this.#child.send({ id, verb, body });
    return returned;
  }

  async stop(): Promise<void> {
    const child = this.#child;
    if (child.exitCode !== null || child.signalCode !== null) return;
    const end = new Promise<void>((done: () => void) => {
      child.once('exit', done);
    });
    child.kill('SIGKILL');
    await end;
  }

  #take(message: unknown): void {
    if (!ReplyShape.is(message)) return;
    const waiting = this.#waiting.get(message.id);
    this.#waiting.delete(message.id);
    if (message.fault === '') waiting?.done(message.body);
    else waiting?.fail(new Error(message.fault));
  }

  #ended(): void {
    for (const { fail } of this.#waiting.values()) fail(new Error('a part of the run ended'));
    this.#waiting.clear();
  }
}

/** Serves a part to the process that forked this one; it ends with that one. */
export function servePart(part: ScalePart, parent: number): Promise<never> {
  process.on('message', async (message: unknown): Promise<void> => {
    if (!AskShape.is(message)) return;
    let reply = { id: message.id, body: '', fault: '' };
    try {
      reply = { ...reply, body: await part.ask(message.verb, message.body) };
    } catch (thrown) {
      reply = { ...reply, fault: reasonOf(thrown) || 'failed' };
    }
    process.send?.(reply);
  });
  // The line that Node keeps does not tell when the other end was killed; whose child we are does.
  setInterval(() => {
    if (process.ppid !== parent) process.exit(0);
  }, ALONE_MS);
  return new Promise<never>(waitForever);
}

function waitForever(): void {
  /* the process ends before this does */
}

/** Processor time and memory of this process so far. */
export function ownCost(): { cpuMs: number; rssMb: number } {
  const { user, system } = process.cpuUsage();
  return { cpuMs: (user + system) / 1000, rssMb: process.memoryUsage.rss() / 1e6 };
}

/** A clock that all processes of one machine share. */
export function sharedNow(): number {
  return Number(process.hrtime.bigint() / 1000n) / 1000;
}
