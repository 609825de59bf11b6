import { textOf, type Endpoint, type Payload } from './endpoint.js';
import {
  decodeAnswer,
  encodeCall,
  type OperatorAnswer,
  type OperatorCall,
} from './operator-call.js';
import type { Host, SimNetwork } from './sim-network.js';

/** An attempt without an answer ends after this time; the operator then tries another node. */
const CALL_TIMEOUT_MS = 1000;

/** What a call attempt is created with. */
export interface CallAttemptSettings {
  /** The network that the call is sent over. */
  readonly network: SimNetwork;
  /** The host of the operator. */
  readonly caller: Host;
  /** The id of the control node that is called. */
  readonly node: string;
  /** The call to send. */
  readonly call: OperatorCall;
  /** Whether a fault drops the answer that has just arrived. */
  readonly isAnswerLost: () => boolean;
  /** Called once when the attempt ends; the answer is `undefined` if the connection was refused or reset, or timed out. */
  readonly ended: (answer: OperatorAnswer | undefined) => void;
  /**
   * Called if the node begins to process the call after the operator gave up and before the close of the connection
   * has reached the node. `waitedMs` is how long the call was unread at the node.
   */
  readonly takenLate: (waitedMs: number) => void;
}

/** One call of an operator to one node: connects, sends the call and waits for the answer. */
export class CallAttempt {
  readonly #settings: CallAttemptSettings;
  #endpoint: Endpoint | undefined;
  #isOver = false;

  constructor(settings: CallAttemptSettings) {
    this.#settings = settings;
  }

  /** Starts the attempt; `ended` reports its result. */
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
    // Bytes already written may still arrive; the node then processes a call whose caller has given up.
    this.#endpoint?.close();
    this.#settings.ended(answer);
  }
}
