import { textOf, type Endpoint, type Payload } from './endpoint.js';
import {
  decodeAnswer,
  encodeCall,
  type OperatorAnswer,
  type OperatorCall,
} from './operator-call.js';
import type { Host, SimNetwork } from './sim-network.js';

/** A node that says nothing for so long is left for another one. */
const CALL_TIMEOUT_MS = 1000;

export interface CallAttemptSettings {
  readonly network: SimNetwork;
  readonly caller: Host;
  readonly node: string;
  readonly call: OperatorCall;
  /** Whether an answer that arrived just now is to be lost on its way. */
  readonly isAnswerLost: () => boolean;
  /** Nothing where there was no answer: refused, reset or silent. */
  readonly ended: (answer: OperatorAnswer | undefined) => void;
  /** The node began the call after it was given up, before it could know. */
  readonly takenLate: (waitedMs: number) => void;
}

/** One call of an operator to one node: connects, sends, and waits for a second of silence at most. */
export class CallAttempt {
  readonly #settings: CallAttemptSettings;
  #endpoint: Endpoint | undefined;
  #isOver = false;

  constructor(settings: CallAttemptSettings) {
    this.#settings = settings;
  }

  send(): void {
    const { network, caller, node } = this.#settings;
    const endUnanswered = () => this.#end(undefined);
    caller.process.after(CALL_TIMEOUT_MS, endUnanswered);
    network.connect(caller, node, 'calls', {
      connected: (endpoint) => this.#connected(endpoint),
      refused: endUnanswered,
    });
  }

  #connected(endpoint: Endpoint): void {
    if (this.#isOver) {
      endpoint.close();
      return;
    }
    this.#endpoint = endpoint;
    endpoint.handler = {
      data: (payload) => this.#receive(payload),
      closed: () => this.#end(undefined),
      takenLate: this.#settings.takenLate,
    };
    endpoint.send(encodeCall(this.#settings.call));
  }

  #receive(payload: Payload): void {
    const answer = decodeAnswer(textOf(payload));
    if (this.#isOver || !answer || this.#settings.isAnswerLost()) return;
    this.#end(answer);
  }

  #end(answer: OperatorAnswer | undefined): void {
    if (this.#isOver) return;
    this.#isOver = true;
    // The bytes already written may still arrive: the node then works through a call that nobody waits for.
    this.#endpoint?.close();
    this.#settings.ended(answer);
  }
}
