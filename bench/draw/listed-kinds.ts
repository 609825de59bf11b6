/** Reads the list of kinds that the bench prints for a site, and compares it with the table. */
import { KINDS } from './kinds.js';

const KIND_LINE = /^([a-z_]+): /;
/** Lines above this one explain fields; the kinds follow the first empty line. */
const END_OF_PREFACE = '';

/** The names of the kinds in what `fleetbench kinds SITE` prints. */
export function readListedKinds(text: string): string[] {
  const lines = text.split('\n');
  const names: string[] = [];
  for (const line of lines.slice(lines.indexOf(END_OF_PREFACE) + 1)) {
    const name = KIND_LINE.exec(line)?.[1];
    if (name !== undefined) names.push(name);
  }
  return names;
}

/** Those of the names that the table of kinds lacks. */
export function findUnknownKinds(names: readonly string[]): string[] {
  return names.filter(isUnknown);
}

function isUnknown(name: string): boolean {
  return !Object.hasOwn(KINDS, name);
}
