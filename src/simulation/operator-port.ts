import type { Moment } from '../common/ids.js';
import type { SeededRandom } from '../rehearsal/seeded-random.js';
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

/** What an operator port is created with. */
export interface OperatorPortSettings {
  /** Draws the ids of zone edits. */
  readonly random: SeededRandom;
  /** The monotonic clock of the process. */
  readonly now: () => Moment;
  /** Calls a function once the event loop has read the input that follows the current one. */
  readonly nextTurn: (run: () => void) => void;
  /** Passes a command with a new id to the core. */
  readonly command: (id: number, command: CoreCommand) => void;
  /** Called right before an answer is written. */
  readonly answering: (call: OperatorCall, answer: OperatorAnswer) => void;
}

interface PendingCall {
  readonly call: OperatorCall;
  readonly endpoint: Endpoint;
  readonly since: Moment;
}

const ID_RANGE = 2 ** 31;

/** The operators' interface of a control node, translated as by the platform adapter. */
export class OperatorPort {
  readonly #settings: OperatorPortSettings;
  #pending = new Map<number, PendingCall>();
  #commandId = 0;

  constructor(settings: OperatorPortSettings) {
    this.#settings = settings;
  }

  /** Forgets all calls; called when the process starts. */
  open(): void {
    this.#pending = new Map();
  }

  /** Accepts a connection of an operator. */
  accept(endpoint: Endpoint): void {
    const receive = (text: string) => this.#receive(endpoint, text);
    function data(payload: Payload): void {
      receive(textOf(payload));
    }
    function closed(): void {
      /* The caller has left; a write of the answer to the closed endpoint is dropped. */
    }
    endpoint.handler = { data, closed };
  }

  /** Answers a call with the core's reply to its command. */
  reply(id: number, reply: OperatorAnswer): void {
    const pending = this.#pending.get(id);
    if (!pending) return;
    this.#pending.delete(id);
    const answer = answerOf(pending.call, reply);
    this.#settings.answering(pending.call, answer);
    pending.endpoint.send(encodeAnswer(answer));
  }

  /** Number of reads that have waited for an answer for longer than `thresholdMs`. */
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
    // An evacuation has no base version: if its caller has closed the connection, the order was sent again to another node.
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
