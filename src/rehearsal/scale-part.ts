import { fork, type ChildProcess } from 'node:child_process';
import { number, string, type } from 'superstruct';
import { reasonOf } from '../common/errors.js';

/** One part of a scale run, in this process or in one of its own. */
export interface ScalePart {
  /** Handles a request, which has a verb and a JSON body; resolves with the JSON reply, or ''. Rejects if it fails. */
  request(verb: string, body: string): Promise<string>;
  /** Stops the part. */
  stop(): Promise<void>;
}

const AskShape = type({ id: number(), verb: string(), body: string() });
const ReplyShape = type({ id: number(), body: string(), fault: string() });
/** Interval at which a part checks that its parent still runs, ms. */
const PARENT_CHECK_MS = 1000;
/** Limit of the heap of a process that measures itself, MB. */
const MAX_HEAP_MB = 4096;

/** A part in a child process, which receives its requests over Node's IPC channel. */
export class ForkedPart implements ScalePart {
  readonly #child: ChildProcess;
  readonly #pending = new Map<
    number,
    { readonly resolve: (body: string) => void; readonly reject: (thrown: Error) => void }
  >();
  #lastId = 0;

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
        execArgv: [`--max-old-space-size=${MAX_HEAP_MB}`],
        stdio: ['ignore', 'inherit', 'inherit', 'ipc'],
      },
    );
    this.#child.on('message', (message) => this.#onReply(message));
    this.#child.on('exit', () => this.#onExit());
  }

  /** Sends a request to the child; rejects if the part fails or the child exits. */
  request(verb: string, body: string): Promise<string> {
    this.#lastId += 1;
    const id = this.#lastId;
    const pending = this.#pending;
    const reply = new Promise<string>(
      (resolve: (body: string) => void, reject: (thrown: Error) => void) => {
        pending.set(id, { resolve, reject });
      },
    );
    this.#child.send({ id, verb, body });
    return reply;
  }

  /** Kills the child and waits for its exit. */
  async stop(): Promise<void> {
    const child = this.#child;
    if (child.exitCode !== null || child.signalCode !== null) return;
    const exited = new Promise<void>((resolve: () => void) => {
      child.once('exit', resolve);
    });
    child.kill('SIGKILL');
    await exited;
  }

  #onReply(message: unknown): void {
    if (!ReplyShape.is(message)) return;
    const pending = this.#pending.get(message.id);
    this.#pending.delete(message.id);
    if (message.fault === '') pending?.resolve(message.body);
    else pending?.reject(new Error(message.fault));
  }

  #onExit(): void {
    for (const { reject } of this.#pending.values())
      reject(new Error('a process of the scale run exited'));
    this.#pending.clear();
  }
}

/** Serves a part to the parent process, which forked this one; exits once the parent is gone. Never resolves. */
export function servePart(part: ScalePart, parent: number): Promise<never> {
  process.on('message', async (message: unknown): Promise<void> => {
    if (!AskShape.is(message)) return;
    let reply = { id: message.id, body: '', fault: '' };
    try {
      reply = { ...reply, body: await part.request(message.verb, message.body) };
    } catch (thrown) {
      reply = { ...reply, fault: reasonOf(thrown) || 'failed' };
    }
    process.send?.(reply);
  });
  // The IPC channel does not report that the parent was killed; a changed parent process id does.
  setInterval(() => {
    if (process.ppid !== parent) process.exit(0);
  }, PARENT_CHECK_MS);
  return new Promise<never>(neverResolve);
}

function neverResolve(): void {
  /* the process exits first */
}

/** Returns the processor time of this process so far, ms, and its memory, MB. */
export function processCost(): { cpuMs: number; rssMb: number } {
  const { user, system } = process.cpuUsage();
  return { cpuMs: (user + system) / 1000, rssMb: process.memoryUsage.rss() / 1e6 };
}

/** Returns the time by a monotonic clock that all processes of one machine share, ms. */
export function machineNow(): number {
  return Number(process.hrtime.bigint() / 1000n) / 1000;
}
