/** What was sent, answered and run, in the order of events; written to `record.txt` of the case. */
import { writeFileSync } from 'node:fs';

export class Record {
  constructor() {
    this.startedAt = performance.now();
    this.events = [];
  }

  get now() {
    return performance.now() - this.startedAt;
  }

  add(what, details = {}) {
    const event = { at: this.now, what, ...details };
    this.events.push(event);
    return event;
  }

  of(what) {
    return this.events.filter((event) => event.what === what);
  }

  write(path, verdict) {
    const lines = this.events.map(({ at, what, ...details }) => {
      const rest = Object.entries(details).map(
        ([key, value]) => `${key}=${typeof value === 'string' ? value : JSON.stringify(value)}`,
      );
      return `${at.toFixed(0).padStart(7)} ms  ${what}  ${rest.join(' ')}`;
    });
    writeFileSync(path, `${lines.join('\n')}\n\n${verdict}\n`);
  }
}
