import { randomUUID } from 'node:crypto';
import { call, type CallReply } from '../common/call.js';
import { reasonOf } from '../common/errors.js';

export interface OperatorReply {
  readonly status: number;
  readonly value: Record<string, unknown>;
}

const LIMIT_MS = 15_000;

/** An id tells the table that its edit was made from: whoever asks later what became of it then gets a sure word. */
export function newEditId(body: object): string {
  return 'base' in body && typeof body.base === 'number'
    ? `${body.base}-${randomUUID()}`
    : randomUUID();
}

/** The table that an edit was made from, by its id. */
export function baseOfEdit(id: string): number | undefined {
  const match = /^(\d{1,12})-/.exec(id);
  // A bare UUID may begin with digits and a dash as well, but its first group has eight.
  return match?.[1] === undefined ||
    /^[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}$/.test(id)
    ? undefined
    : Number(match[1]);
}

/** Talks to the operators' API of whichever control node is reached. */
export class Operator {
  readonly #apis: readonly string[];

  constructor(apis: readonly string[]) {
    this.#apis = apis;
  }

  async ask(method: string, path: string, body?: object): Promise<OperatorReply> {
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
          LIMIT_MS,
        );
      } catch (thrown) {
        last = thrown;
        // An edit carries its id, so that trying it at the next node cannot do it twice.
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

  /** An edit under an id of its own, tried again under the same one while no leader is known. */
  async edit(
    method: string,
    path: string,
    body: object,
    id: string = newEditId(body),
  ): Promise<OperatorReply> {
    const returned = await this.ask(method, path, { ...body, id });
    return { status: returned.status, value: { id, ...returned.value } };
  }

  async tableNumber(): Promise<number | undefined> {
    const { status, value } = await this.ask('GET', '/table');
    const number = value['number'];
    return status === 200 && typeof number === 'number' ? number : undefined;
  }
}
