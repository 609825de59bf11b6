/** Parses the list of event kinds that the bench prints for a site, and compares it with the table. */
import { KINDS } from './kinds.js';

const KIND_LINE = /^([a-z_]+): /;
/** The first empty line separates the explanation of the fields from the list of kinds. */
const END_OF_PREFACE = '';

/** Parses the names of the kinds from the output of `fleetbench kinds SITE`. */
export function parseListedKinds(text: string): string[] {
  const lines = text.split('\n');
  const names: string[] = [];
  for (const line of lines.slice(lines.indexOf(END_OF_PREFACE) + 1)) {
    const name = KIND_LINE.exec(line)?.[1];
    if (name !== undefined) names.push(name);
  }
  return names;
}

/** Returns the names that are missing from the table of kinds. */
export function findUnknownKinds(names: readonly string[]): string[] {
  return names.filter(isUnknown);
}

function isUnknown(name: string): boolean {
  return !Object.hasOwn(KINDS, name);
}
