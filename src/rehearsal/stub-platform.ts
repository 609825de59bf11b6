import type { ServerResponse } from 'node:http';
import { array, boolean, string, type } from 'superstruct';
import { parseAs } from '../common/json.js';
import { MachineShape, type Machine } from '../placement/shapes.js';
import { replyJson, StubServer } from './stub-server.js';

const PutShape = type({ machines: array(MachineShape) });
const MarkShape = type({ id: string(), leaving: boolean() });

/** A stub for the platform's list of machines; the rehearsal changes it through PUT and POST. */
export class StubPlatform {
  readonly #server: StubServer;
  #machines: readonly Machine[];
  // Revisions go on from the wall clock, so that a restarted platform's list is newer than the one before.
  #revision = Date.now();
  #shown = 0;

  constructor(machines: readonly Machine[], records: string) {
    this.#machines = machines;
    this.#server = new StubServer(
      (method, path, body, returned) => this.#serve(method, path, body, returned),
      records,
    );
  }

  async listen(address: string): Promise<number> {
    return this.#server.listen(address);
  }

  close(): void {
    this.#server.close();
  }

  #serve(method: string, path: string, body: string, returned: ServerResponse): void {
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
    if (method === 'GET' && this.#shown < this.#revision) {
      // From here on the fleet knows of it.
      this.#shown = this.#revision;
      this.#server.record({ what: 'shown', revision: this.#revision });
    }
    replyJson(returned, 200, { revision: this.#revision, machines: this.#machines });
  }
}
