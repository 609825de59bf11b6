/** The client of the operator API. */
import { randomUUID } from 'node:crypto';
import { call, type CallReply } from '../common/call.js';
import { reasonOf } from '../common/errors.js';

/** A reply of the API: the HTTP status (0 if no node replied) and the JSON object of the body. */
export interface OperatorReply {
  readonly status: number;
  readonly value: Record<string, unknown>;
}

const REQUEST_TIMEOUT_MS = 15_000;

/**
 * Returns a new id for an edit. It begins with the number of the table that the edit is based on, if there is one, so that a
 * later query for the outcome always has a definite answer.
 */
export function newEditId(body: object): string {
  return 'base' in body && typeof body.base === 'number'
    ? `${body.base}-${randomUUID()}`
    : randomUUID();
}

/** The number of the table that an edit is based on, taken from its id; undefined if the id does not contain it. */
export function baseTableOfEdit(id: string): number | undefined {
  const match = /^(\d{1,12})-/.exec(id);
  // A plain UUID may also begin with digits and a dash, when the eight characters of its first group are digits.
  return match?.[1] === undefined ||
    /^[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}$/.test(id)
    ? undefined
    : Number(match[1]);
}

/** Sends requests to the API of the first control node, in the given order, that can handle them. */
export class Operator {
  readonly #apis: readonly string[];

  constructor(apis: readonly string[]) {
    this.#apis = apis;
  }

  /**
   * Sends one request. Nodes that cannot be reached or know no leader are skipped without an error. Throws a `SyntaxError` if
   * a reply is not JSON.
   */
  async request(method: string, path: string, body?: object): Promise<OperatorReply> {
    let lastError: unknown = 'no API address was given';
    let lastReply: OperatorReply | undefined;
    for (const api of this.#apis) {
      let reply: CallReply;
      try {
        reply = await call(
          method,
          api,
          path,
          body === undefined ? undefined : JSON.stringify(body),
          REQUEST_TIMEOUT_MS,
        );
      } catch (thrown) {
        lastError = thrown;
        // A retry at the next node is safe: the id of an edit prevents that it is applied twice.
        continue;
      }
      const raw: unknown = JSON.parse(reply.body);
      lastReply = {
        status: reply.status,
        value: typeof raw === 'object' && raw !== null ? { ...raw } : {},
      };
      // This node knows no leader, but another one may.
      if (reply.status !== 503) return lastReply;
    }
    return (
      lastReply ?? {
        status: 0,
        value: {
          outcome: body === undefined ? 'turned-away' : 'unsure',
          text: reasonOf(lastError),
        },
      }
    );
  }

  /** Submits an edit with a new id; retries at further nodes carry the same id. */
  async edit(
    method: string,
    path: string,
    body: object,
    id: string = newEditId(body),
  ): Promise<OperatorReply> {
    const reply = await this.request(method, path, { ...body, id });
    return { status: reply.status, value: { id, ...reply.value } };
  }

  /** The number of the table in force; undefined if no node could read it. */
  async tableNumber(): Promise<number | undefined> {
    const { status, value } = await this.request('GET', '/table');
    const number = value['number'];
    return status === 200 && typeof number === 'number' ? number : undefined;
  }
}
