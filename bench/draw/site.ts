/** What the generator needs to know of a deployment, read from its site file. */
import { array, number, optional, string, type, create } from 'superstruct';
import { parse } from 'smol-toml';

/** The parts of a site file that shape the troubles of its days. */
export interface Site {
  readonly name: string;
  readonly lengthSeconds: number;
  readonly zones: readonly string[];
  readonly modelService: string;
  readonly plainServices: readonly string[];
  readonly requestKinds: readonly string[];
  /** How many machines with a counted disk may be lost at once. */
  readonly toleratedMachines: number;
  /** The line of the site file that shrinks a large day, or null where the site has none. */
  readonly smallTwin: string | null;
}

const SiteFile = type({
  name: string(),
  length_s: number(),
  zones: array(type({ name: string() })),
  services: array(type({ name: string(), model: optional(string()) })),
  classes: array(type({ name: string() })),
  tolerate: type({ machines: number() }),
});

/** Reads the text of a site file; throws when a needed part is missing. */
export function readSite(text: string): Site {
  const file = create(parse(text), SiteFile);
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
    requestKinds: file.classes.map(nameOf),
    toleratedMachines: file.tolerate.machines,
    smallTwin: /^small = .*$/m.exec(text)?.[0] ?? null,
  };
}

function nameOf(item: { readonly name: string }): string {
  return item.name;
}
