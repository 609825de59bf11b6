/** The properties of a deployment that the generator needs, parsed from its site file. */
import { array, number, optional, string, type, create } from 'superstruct';
import { parse } from 'smol-toml';

/** The parts of a site file that determine the events of its days. */
export interface Site {
  readonly name: string;
  readonly lengthSeconds: number;
  readonly zones: readonly string[];
  readonly modelService: string;
  readonly plainServices: readonly string[];
  readonly requestClasses: readonly string[];
  /** How many machines with a counted disk may be lost at the same time. */
  readonly toleratedMachines: number;
  /** The line of the site file that scales down a large day, or null where the site has none. */
  readonly smallVariantLine: string | null;
}

const SiteFileShape = type({
  name: string(),
  length_s: number(),
  zones: array(type({ name: string() })),
  services: array(type({ name: string(), model: optional(string()) })),
  classes: array(type({ name: string() })),
  tolerate: type({ machines: number() }),
});

/**
 * Parses a site file.
 *
 * @throws {Error} if a required part is missing or the site has no model service.
 */
export function parseSite(text: string): Site {
  const file = create(parse(text), SiteFileShape);
  const plainServices: string[] = [];
  let modelService: string | null = null;
  for (const service of file.services) {
    if (service.model === 'llm') modelService ??= service.name;
    else plainServices.push(service.name);
  }
  if (modelService === null) throw new Error(`site ${file.name} has no model service`);
  return {
    name: file.name,
    lengthSeconds: file.length_s,
    zones: file.zones.map(nameOf),
    modelService,
    plainServices,
    requestClasses: file.classes.map(nameOf),
    toleratedMachines: file.tolerate.machines,
    smallVariantLine: /^small = .*$/m.exec(text)?.[0] ?? null,
  };
}

function nameOf(item: { readonly name: string }): string {
  return item.name;
}
