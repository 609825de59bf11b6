import { mustParseAs } from '../common/Json.js';
import { HollowEdges, HollowEdgesShape } from './SyntheticEdges.js';
import { HollowRunners, HollowRunnersShape } from './SyntheticRunners.js';
import { ScaleMind, ScaleMindShape } from './ScaleControl.js';
import type { ScalePart } from './ScalePart.js';
import { ScaleProxy, ScaleProxyShape } from './ScaleProxy.js';

export const PART_KINDS = ['mind', 'edges', 'proxy', 'runners'] as const;

/** Starts a part in this process. */
export async function startPart(kind: string, settings: string): Promise<ScalePart> {
  const what = `the settings of a part (${kind})`;
  let part: ScalePart & { start(): Promise<void> };
  if (kind === 'mind') part = new ScaleMind(mustParseAs(ScaleMindShape, settings, what));
  else if (kind === 'edges') part = new HollowEdges(mustParseAs(HollowEdgesShape, settings, what));
  else if (kind === 'proxy') part = new ScaleProxy(mustParseAs(ScaleProxyShape, settings, what));
  else part = new HollowRunners(mustParseAs(HollowRunnersShape, settings, what));
  await part.start();
  return part;
}
