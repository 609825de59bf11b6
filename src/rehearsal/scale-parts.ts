import { mustParseAs } from '../common/json.js';
import { SyntheticEdges, SyntheticEdgesShape } from './synthetic-edges.js';
import { SyntheticRunners, SyntheticRunnersShape } from './synthetic-runners.js';
import { ScaleControl, ScaleControlShape } from './scale-control.js';
import type { ScalePart } from './scale-part.js';
import { ScaleProxy, ScaleProxyShape } from './scale-proxy.js';

/** Kinds of parts that `startPart` can start; `mind` is a control node. */
export const PART_KINDS = ['mind', 'edges', 'proxy', 'runners'] as const;

/** Starts a part in this process; throws if its settings (JSON) do not match the schema of its kind. */
export async function startPart(kind: string, settings: string): Promise<ScalePart> {
  const description = `the settings of a part (${kind})`;
  let part: ScalePart & { start(): Promise<void> };
  if (kind === 'mind')
    part = new ScaleControl(mustParseAs(ScaleControlShape, settings, description));
  else if (kind === 'edges')
    part = new SyntheticEdges(mustParseAs(SyntheticEdgesShape, settings, description));
  else if (kind === 'proxy')
    part = new ScaleProxy(mustParseAs(ScaleProxyShape, settings, description));
  else part = new SyntheticRunners(mustParseAs(SyntheticRunnersShape, settings, description));
  await part.start();
  return part;
}
