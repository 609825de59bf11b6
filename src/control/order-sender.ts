import { request, type ClientRequest, type IncomingMessage } from 'node:http';
import { readBody } from '../common/call.js';
import type { Moment } from '../common/ids.js';
import type { Intent } from '../placement/shapes.js';
import { parseAddress } from '../common/listen.js';
import { mayWrite, remainingOrderTimeMs, type Lease } from './lease.js';

export type OrderOutcome = 'taken' | 'turnedAway' | 'unsure' | 'unsent';

const CONTINUE_TIMEOUT_MS = 1000;
/** So long after it was told to go on a runner may take the order, on its own clock, in ms. */
export const ACCEPT_WITHIN_MS = 300;

/**
 * Sends one order. The head goes first and asks to be told to go on, so that a runner that is dark or slow
 * never finds an order waiting in its socket; the lease is checked right before the order itself is written.
 */
export class OrderSender {
  readonly #lease: Lease;
  readonly #now: () => Moment;

  constructor(lease: Lease, now: () => Moment) {
    this.#lease = lease;
    this.#now = now;
  }

  send(intent: Intent, address: string, holder: string, epoch: number): Promise<OrderOutcome> {
    const { host, port } = parseAddress(address);
    const body = JSON.stringify({
      id: intent.id,
      verb: intent.verb,
      model: intent.model,
      adapter: intent.adapter,
      boot: intent.boot,
      size: intent.size,
      holder,
      epoch,
    });
    const headers = {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
      expect: '100-continue',
      'x-take-within-ms': ACCEPT_WITHIN_MS,
    };
    const sent = request({ host, port, method: 'POST', path: '/orders', headers, agent: false });
    return new Promise((done) => this.#run(sent, body, done));
  }

  #run(sent: ClientRequest, body: string, done: (outcome: OrderOutcome) => void): void {
    const lease = this.#lease;
    const now = this.#now;
    let isWritten = false;
    let isOver = false;
    const ticks: NodeJS.Timeout[] = [];
    function end(outcome: OrderOutcome): void {
      if (isOver) return;
      isOver = true;
      for (const tick of ticks) clearTimeout(tick);
      sent.destroy();
      done(outcome);
    }
    function giveUp(): void {
      end(isWritten ? 'unsure' : 'unsent');
    }
    sent.once('continue', () => {
      // Right before the write, and with the margin in which an order under way is cut off.
      if (!mayWrite(lease, now())) {
        end('unsent');
        return;
      }
      isWritten = true;
      sent.end(body);
    });
    sent.once('response', async (returned: IncomingMessage): Promise<void> => {
      try {
        await readBody(returned);
        const status = returned.statusCode ?? 0;
        if (status >= 200 && status < 300) end('taken');
        else if (isWritten && status >= 400 && status < 500) end('turnedAway');
        else end(isWritten ? 'unsure' : 'unsent');
      } catch {
        giveUp();
      }
    });
    sent.on('error', giveUp);
    sent.flushHeaders();
    ticks.push(
      setTimeout(() => {
        if (!isWritten) end('unsent');
      }, CONTINUE_TIMEOUT_MS),
      setTimeout(giveUp, remainingOrderTimeMs(lease, now())),
    );
  }
}
