import { mustParseAs } from '../common/json.js';
import { SyntheticEdges, SyntheticEdgesShape } from './synthetic-edges.js';
import { SyntheticRunners, SyntheticRunnersShape } from './synthetic-runners.js';
import { ScaleControl, ScaleControlShape } from './scale-control.js';
import type { ScalePart } from './scale-part.js';
import { ScaleProxy, ScaleProxyShape } from './scale-proxy.js';

export const PART_KINDS = ['mind', 'edges', 'proxy', 'runners'] as const;

/** Starts a part in this process. */
export async function startPart(kind: string, settings: string): Promise<ScalePart> {
  const what = `the settings of a part (${kind})`;
  let part: ScalePart & { start(): Promise<void> };
  if (kind === 'mind') part = new ScaleControl(mustParseAs(ScaleControlShape, settings, what));
  else if (kind === 'edges')
    part = new SyntheticEdges(mustParseAs(SyntheticEdgesShape, settings, what));
  else if (kind === 'proxy') part = new ScaleProxy(mustParseAs(ScaleProxyShape, settings, what));
  else part = new SyntheticRunners(mustParseAs(SyntheticRunnersShape, settings, what));
  await part.start();
  return part;
}
