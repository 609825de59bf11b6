/** Client of the operators' API. */
import { randomUUID } from 'node:crypto';
import { call, type CallReply } from '../common/call.js';
import { reasonOf } from '../common/errors.js';

/** What the API answered: the HTTP status (0 where no node answered), and the JSON object of the body. */
export interface OperatorReply {
  readonly status: number;
  readonly value: Record<string, unknown>;
}

const REQUEST_TIMEOUT_MS = 15_000;

/**
 * A new id of an edit. It begins with the number of the table that the edit was made from, so that a later request for the
 * outcome can be answered for certain.
 */
export function newEditId(body: object): string {
  return 'base' in body && typeof body.base === 'number'
    ? `${body.base}-${randomUUID()}`
    : randomUUID();
}

/** The number of the table that an edit was made from, by its id; undefined where the id does not have it. */
export function baseTableOfEdit(id: string): number | undefined {
  const match = /^(\d{1,12})-/.exec(id);
  // A bare UUID may begin with digits and a dash as well, but its first group has eight.
  return match?.[1] === undefined ||
    /^[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}$/.test(id)
    ? undefined
    : Number(match[1]);
}

/** Sends requests to the API of the first control node, in the given order, that can serve them. */
export class Operator {
  readonly #apis: readonly string[];

  constructor(apis: readonly string[]) {
    this.#apis = apis;
  }

  /** One request. Nodes that cannot be reached, or know no leader, are passed over; nothing is thrown for those. */
  async request(method: string, path: string, body?: object): Promise<OperatorReply> {
    let last: unknown = 'no address of an API was given';
    let best: OperatorReply | undefined;
    for (const api of this.#apis) {
      let returned: CallReply;
      try {
        returned = await call(
          method,
          api,
          path,
          body === undefined ? undefined : JSON.stringify(body),
          REQUEST_TIMEOUT_MS,
        );
      } catch (thrown) {
        last = thrown;
        // An edit carries its id, so that a retry at the next node cannot apply it twice.
        continue;
      }
      const raw: unknown = JSON.parse(returned.body);
      best = {
        status: returned.status,
        value: typeof raw === 'object' && raw !== null ? { ...raw } : {},
      };
      // That node knows no leader; another may.
      if (returned.status !== 503) return best;
    }
    return (
      best ?? {
        status: 0,
        value: { outcome: body === undefined ? 'turned-away' : 'unsure', text: reasonOf(last) },
      }
    );
  }

  /** Submits an edit under an id of its own; retries at further nodes carry the same id. */
  async edit(
    method: string,
    path: string,
    body: object,
    id: string = newEditId(body),
  ): Promise<OperatorReply> {
    const returned = await this.request(method, path, { ...body, id });
    return { status: returned.status, value: { id, ...returned.value } };
  }

  /** The number of the table in force; undefined where no node could read it. */
  async tableNumber(): Promise<number | undefined> {
    const { status, value } = await this.request('GET', '/table');
    const number = value['number'];
    return status === 200 && typeof number === 'number' ? number : undefined;
  }
}
