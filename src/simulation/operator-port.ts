import type { Moment } from '../common/ids.js';
import type { Seeded } from '../rehearsal/seeded.js';
import { textOf, type Endpoint, type Payload } from './endpoint.js';
import {
  answerOf,
  commandOf,
  decodeCall,
  encodeAnswer,
  type CoreCommand,
  type OperatorAnswer,
  type OperatorCall,
} from './operator-call.js';

export interface OperatorPortSettings {
  readonly random: Seeded;
  readonly now: () => Moment;
  /** Runs once the event loop has read what lies right behind the input that it works on. */
  readonly nextTurn: (run: () => void) => void;
  /** Hands a command on to the core, under a number of its own. */
  readonly command: (id: number, command: CoreCommand) => void;
  /** An answer is about to be written. */
  readonly answering: (call: OperatorCall, answer: OperatorAnswer) => void;
}

interface PendingCall {
  readonly call: OperatorCall;
  readonly endpoint: Endpoint;
  readonly since: Moment;
}

const ID_RANGE = 2 ** 31;

/** The operators' interface of a control node, as the platform adapter translates it. */
export class OperatorPort {
  readonly #settings: OperatorPortSettings;
  #pending = new Map<number, PendingCall>();
  #commandId = 0;

  constructor(settings: OperatorPortSettings) {
    this.#settings = settings;
  }

  /** A new process knows of no call. */
  open(): void {
    this.#pending = new Map();
  }

  accept(endpoint: Endpoint): void {
    const receive = (text: string) => this.#receive(endpoint, text);
    function data(payload: Payload): void {
      receive(textOf(payload));
    }
    function closed(): void {
      /* Nobody waits for the answer any more; the endpoint knows. */
    }
    endpoint.handler = { data, closed };
  }

  /** The core's word on a command. */
  reply(id: number, reply: OperatorAnswer): void {
    const pending = this.#pending.get(id);
    if (!pending) return;
    this.#pending.delete(id);
    const answer = answerOf(pending.call, reply);
    this.#settings.answering(pending.call, answer);
    pending.endpoint.send(encodeAnswer(answer));
  }

  /** How many reads have waited here for longer than so long. */
  countOverdueReads(thresholdMs: number): number {
    const now = this.#settings.now();
    let count = 0;
    for (const { call, since } of this.#pending.values()) {
      if (call.method === 'GET' && now - since > thresholdMs) count += 1;
    }
    return count;
  }

  #receive(endpoint: Endpoint, text: string): void {
    const call = decodeCall(text);
    if (!call) return;
    // An evacuation names no version: one whose caller has hung up was sent again elsewhere.
    if ('zone' in call) this.#settings.nextTurn(() => this.#beginUnlessClosed(endpoint, call));
    else this.#begin(endpoint, call);
  }

  #beginUnlessClosed(endpoint: Endpoint, call: OperatorCall): void {
    if (!endpoint.isOpen) return;
    endpoint.reportStarted();
    this.#begin(endpoint, call);
  }

  #begin(endpoint: Endpoint, call: OperatorCall): void {
    this.#commandId += 1;
    const id = this.#commandId;
    this.#pending.set(id, { call, endpoint, since: this.#settings.now() });
    this.#settings.command(
      id,
      commandOf(call, () => this.#newId()),
    );
  }

  #newId(): string {
    const { random } = this.#settings;
    return `zone-${random.below(ID_RANGE)}-${random.below(ID_RANGE)}`;
  }
}
