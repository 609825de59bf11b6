import { readFileSync } from 'node:fs';
import { isIP } from 'node:net';
import {
  array,
  defaulted,
  define,
  max,
  min,
  integer,
  object,
  optional,
  record,
  size,
  string,
  StructError,
  type Struct,
} from 'superstruct';
import { reasonOf } from './errors.js';

function checkAddress(value: unknown): boolean | string {
  if (typeof value !== 'string') return 'must be text like 10.0.0.1:7000';
  const separator = value.lastIndexOf(':');
  const host = value.slice(0, separator).replace(/^\[(.*)\]$/, '$1');
  const port = Number(value.slice(separator + 1));
  if (separator < 1 || isIP(host) === 0)
    return `'${value}' must be an IP address and a port, like 10.0.0.1:7000`;
  if (!Number.isInteger(port) || port < 1 || port > 65_535)
    return `'${value}' has no port from 1 to 65535`;
  return true;
}

function checkZone(value: unknown): boolean | string {
  return (
    (typeof value === 'string' && /^[a-z0-9][a-z0-9-]{0,31}$/.test(value)) ||
    'must be 1 to 32 lower-case letters, digits and dashes, and not begin with a dash'
  );
}

/** An IP address and a port, like 10.0.0.1:7000 or [::1]:7000. */
export const Address = define<string>('address', checkAddress);
const Zone = define<string>('zone', checkZone);
const Millis = max(min(integer(), 1), 3_600_000);
const Seeds = size(array(Address), 3, 3);

/** Settings of a control node. */
export const TableControlSettingsShape = object({
  listen: Address,
  api: Address,
  zone: Zone,
  seeds: Seeds,
  data: string(),
  platform: Address,
  store: Address,
  blindMs: defaulted(Millis, 2500),
  drainMs: defaulted(Millis, 10_000),
  reach: defaulted(record(Address, Address), {}),
});

/** Settings of an agent. */
export const TableAgentSettingsShape = object({
  listen: Address,
  feed: Address,
  zone: Zone,
  seeds: Seeds,
  status: optional(Address),
  blindMs: defaulted(Millis, 2500),
  drainMs: defaulted(Millis, 2000),
  reach: defaulted(record(Address, Address), {}),
});

/** Settings of a proxy. */
export const TableProxySettingsShape = object({
  listen: Address,
  link: Address,
  zone: Zone,
  status: optional(Address),
  blindMs: defaulted(Millis, 2500),
  drainMs: defaulted(Millis, 300_000),
  silentMs: defaulted(Millis, 20_000),
  maxBodyBytes: defaulted(max(min(integer(), 1024), 64 * 1024 * 1024), 1024 * 1024),
  memoryMb: defaulted(max(min(integer(), 64), 1024 * 1024), 256),
  fileHandles: defaulted(max(min(integer(), 256), 1024 * 1024), 4096),
});

/** The result of reading settings: the settings, or else the faults, one line each. */
export interface SettingsOutcome<T> {
  readonly settings: T | undefined;
  readonly faults: readonly string[];
}

/** Reads settings from a file; flags take precedence over it. */
export function readSettings<T, S>(
  shape: Struct<T, S>,
  path: string | undefined,
  flags: Readonly<Record<string, unknown>>,
): SettingsOutcome<T> {
  let fileValues: object = {};
  if (path !== undefined) {
    try {
      const raw: unknown = JSON.parse(readFileSync(path, 'utf8'));
      if (typeof raw !== 'object' || raw === null || Array.isArray(raw))
        return { settings: undefined, faults: [`${path}: must hold one JSON object`] };
      fileValues = raw;
    } catch (thrown) {
      return { settings: undefined, faults: [`${path}: ${reasonOf(thrown)}`] };
    }
  }
  const flagValues: Record<string, unknown> = {};
  for (const [key, value] of Object.entries(flags))
    if (value !== undefined) flagValues[key] = value;
  const [error, settings] = shape.validate({ ...fileValues, ...flagValues }, { coerce: true });
  if (error instanceof StructError) {
    const faults: string[] = [];
    for (const failure of error.failures())
      faults.push(`${failure.path.join('.') || 'settings'}: ${failure.message}`);
    return { settings: undefined, faults };
  }
  return { settings, faults: [] };
}
