import { CONFIG_PARTITION } from '../state/partition-names.js';
import { decodeConfigDoc } from '../control/config-codec.js';
import type { ConfigDoc } from '../control/config-shapes.js';
import type { ProxyWatch } from './proxy-watch.js';
import type { RunFindings } from './run-findings.js';
import type { SimControl } from './sim-control.js';
import type { SimOperators } from './sim-operators.js';
import type { SimProxy } from './sim-proxy.js';

/** A simulated fleet at the end of its run, some time after all troubles were healed. */
export interface HealedFleet {
  readonly now: number;
  readonly leader: SimControl | undefined;
  readonly controlNodes: readonly SimControl[];
  readonly proxies: readonly SimProxy[];
  readonly operators: SimOperators;
  readonly watch: ProxyWatch;
  readonly findings: RunFindings;
}

const LONGEST_WAIT_MS = 30_000;
/** Busy models hold pairs, so that of eight not all need fit; what is asked for must be served. */
const FEWEST_PRIMARIES = 5;
const SERVED_WITHIN_MS = 1000;

/** Checks that service has returned, and that what operators were told holds. */
export function checkHealed(fleet: HealedFleet): void {
  const { leader, findings } = fleet;
  if (!leader) {
    findings.find('no leader serves after everything healed');
    return;
  }
  checkControlNodes(fleet);
  for (const proxy of fleet.proxies)
    if (proxy.decision?.isFresh(proxy.now()) !== true)
      findings.find(`${proxy.id} is still blind after everything healed`);
  const doc = decodeConfigDoc(leader.core?.state.replicaBody(CONFIG_PARTITION) ?? '');
  if (!doc) {
    findings.find('the configuration is gone');
    return;
  }
  checkEdits(fleet, doc);
  for (const proxy of fleet.proxies)
    if (proxy.longestMs > LONGEST_WAIT_MS)
      findings.find(
        `stuck: somebody at ${proxy.id} has waited for ${Math.round(proxy.longestMs)} ms`,
      );
  findings.note({ what: 'table-read', number: doc.number });
  checkService(fleet, leader);
}

function checkControlNodes({ controlNodes, findings }: HealedFleet): void {
  for (const controlNode of controlNodes) {
    if (controlNode.core?.replicaStatus.name !== 'sound')
      findings.find(`${controlNode.id} does not count again`);
    const unsound = controlNode.core?.state.corruptPartitions() ?? [];
    if (unsound.length > 0)
      findings.find(`${controlNode.id} still has unsound parts: ${unsound.join(' ')}`);
  }
}

function checkEdits({ operators, findings }: HealedFleet, doc: ConfigDoc): void {
  if (doc.number < operators.newestNumber)
    findings.find(`lost-table: ${doc.number} stands after ${operators.newestNumber} was accepted`);
  const outcomes = new Map<string, string>();
  for (const edit of doc.edits) outcomes.set(edit.id, edit.outcome);
  for (const told of operators.outcomes) {
    const held = outcomes.get(told.id);
    if (told.outcome === 'accepted' && held !== 'accepted')
      findings.find(`lost-edit: ${told.id} was accepted and is ${held ?? 'nowhere'}`);
    if (told.outcome === 'refused' && held === 'accepted')
      findings.find(`turned-away-in-force: ${told.id}`);
  }
}

function checkService({ now, watch, findings }: HealedFleet, leader: SimControl): void {
  const places = leader.core?.relay.latest('places')?.body ?? '';
  const primaries = [...places.matchAll(/"primary":true/g)].length;
  if (primaries < FEWEST_PRIMARIES)
    findings.find(`only ${primaries} of 8 models have a primary after everything healed`);
  if (watch.lastRunAt < now - SERVED_WITHIN_MS)
    findings.find(
      `nothing has been served for ${Math.round(now - watch.lastRunAt)} ms after everything healed`,
    );
}
