/** Finds connections whose client has stopped reading the responses that were written to it. */
import type { Socket } from 'node:net';

/** What was seen of a connection at the end of an interval. */
interface Progress {
  /** Bytes that the system has taken over. */
  readonly takenBytes: number;
  /** For how many intervals in a row bytes have waited without any being taken over. */
  readonly restingIntervals: number;
}

const NO_PROGRESS: Progress = { takenBytes: 0, restingIntervals: 0 };

/** Follows how fast clients read, by intervals, so that the time for which this process is suspended doesn't count. */
export class UnreadResponses {
  readonly #progress = new WeakMap<Socket, Progress>();

  /** An interval has passed: returns for how many in a row the client has read nothing of what waits for it. */
  advance(socket: Socket): number {
    const takenBytes = socket.bytesWritten - socket.writableLength;
    const former = this.#progress.get(socket) ?? NO_PROGRESS;
    const isResting = socket.writableLength > 0 && takenBytes === former.takenBytes;
    const restingIntervals = isResting ? former.restingIntervals + 1 : 0;
    this.#progress.set(socket, { takenBytes, restingIntervals });
    return restingIntervals;
  }
}
