import type { ServerResponse } from 'node:http';
import { array, boolean, string, type } from 'superstruct';
import { parseAs } from '../common/json.js';
import { MachineShape, type Machine } from '../placement/shapes.js';
import { replyJson, StubServer } from './stub-server.js';

const PutShape = type({ machines: array(MachineShape) });
const MarkShape = type({ id: string(), leaving: boolean() });

/** A stub of the platform's list of machines; a rehearsal changes the list by PUT and POST requests. */
export class StubPlatform {
  readonly #server: StubServer;
  #machines: readonly Machine[];
  // Revisions start at the wall clock, so that the list of a restarted platform is newer than the one before.
  #revision = Date.now();
  #lastServedRevision = 0;

  constructor(machines: readonly Machine[], records: string) {
    this.#machines = machines;
    this.#server = new StubServer(
      (method, path, body, response) => this.#serve(method, path, body, response),
      records,
    );
  }

  /** Starts to listen; resolves with the port. */
  async listen(address: string): Promise<number> {
    return this.#server.listen(address);
  }

  /** Closes the server and its connections. */
  close(): void {
    this.#server.close();
  }

  #serve(method: string, path: string, body: string, response: ServerResponse): void {
    if (method === 'PUT' && path === '/machines') {
      const put = parseAs(PutShape, body);
      if (put) {
        this.#machines = put.machines;
        this.#revision += 1;
      }
    } else if (method === 'POST' && path === '/mark') {
      const mark = parseAs(MarkShape, body);
      if (mark) {
        const marked: Machine[] = [];
        for (const machine of this.#machines)
          marked.push(machine.id === mark.id ? { ...machine, leaving: mark.leaving } : machine);
        this.#machines = marked;
        this.#revision += 1;
        this.#server.record({ what: 'mark', ...mark, revision: this.#revision });
      }
    }
    if (method === 'GET' && this.#lastServedRevision < this.#revision) {
      // From this time on the control nodes know the revision.
      this.#lastServedRevision = this.#revision;
      this.#server.record({ what: 'shown', revision: this.#revision });
    }
    replyJson(response, 200, { revision: this.#revision, machines: this.#machines });
  }
}
