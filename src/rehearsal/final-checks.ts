import { CONFIG_PARTITION } from '../state/partition-names.js';
import { decodeConfigDoc } from '../control/config-codec.js';
import type { ConfigDoc } from '../control/config-shapes.js';
import type { ProxyWatch } from './proxy-watch.js';
import type { RunFindings } from './run-findings.js';
import type { SimControl } from './sim-control.js';
import type { SimOperators } from './sim-operators.js';
import type { SimProxy } from './sim-proxy.js';

/** A simulated fleet at the end of its run, some time after all faults were healed. */
export interface HealedFleet {
  readonly now: number;
  readonly leader: SimControl | undefined;
  readonly controlNodes: readonly SimControl[];
  readonly proxies: readonly SimProxy[];
  readonly operators: SimOperators;
  readonly watch: ProxyWatch;
  readonly findings: RunFindings;
}

const MAX_REQUEST_AGE_MS = 30_000;
/** Busy models have two replicas, so the eight models need not all fit; models with requests must be served. */
const MIN_PRIMARIES = 5;
const SERVED_WITHIN_MS = 1000;

/** Checks that service has recovered, and that the outcomes reported to operators are in effect. */
export function checkHealedFleet(fleet: HealedFleet): void {
  const { leader, findings } = fleet;
  if (!leader) {
    findings.addViolation('no leader serves after all faults were healed');
    return;
  }
  checkControlNodes(fleet);
  for (const proxy of fleet.proxies)
    if (proxy.router?.isFresh(proxy.now()) !== true)
      findings.addViolation(
        `${proxy.id} still has no fresh configuration after all faults were healed`,
      );
  const doc = decodeConfigDoc(leader.core?.state.replicaBody(CONFIG_PARTITION) ?? '');
  if (!doc) {
    findings.addViolation('the leader has no valid configuration');
    return;
  }
  checkEdits(fleet, doc);
  for (const proxy of fleet.proxies)
    if (proxy.oldestRequestMs > MAX_REQUEST_AGE_MS)
      findings.addViolation(
        `stuck: a request at ${proxy.id} has been open for ${Math.round(proxy.oldestRequestMs)} ms`,
      );
  findings.addEvent({ what: 'table-read', number: doc.number });
  checkService(fleet, leader);
}

function checkControlNodes({ controlNodes, findings }: HealedFleet): void {
  for (const controlNode of controlNodes) {
    if (controlNode.core?.replicaStatus.name !== 'sound')
      findings.addViolation(
        `the replica at ${controlNode.id} is not sound after all faults were healed`,
      );
    const corrupt = controlNode.core?.state.corruptPartitions() ?? [];
    if (corrupt.length > 0)
      findings.addViolation(`${controlNode.id} still has corrupt partitions: ${corrupt.join(' ')}`);
  }
}

function checkEdits({ operators, findings }: HealedFleet, doc: ConfigDoc): void {
  if (doc.number < operators.newestNumber)
    findings.addViolation(
      `lost-table: table ${doc.number} is in effect after ${operators.newestNumber} was accepted`,
    );
  const outcomes = new Map<string, string>();
  for (const edit of doc.edits) outcomes.set(edit.id, edit.outcome);
  for (const edit of operators.outcomes) {
    const stored = outcomes.get(edit.id);
    if (edit.outcome === 'accepted' && stored !== 'accepted')
      findings.addViolation(`lost-edit: ${edit.id} was accepted and is ${stored ?? 'missing'}`);
    if (edit.outcome === 'refused' && stored === 'accepted')
      findings.addViolation(`turned-away-in-force: ${edit.id}`);
  }
}

function checkService({ now, watch, findings }: HealedFleet, leader: SimControl): void {
  const places = leader.core?.relay.latest('places')?.body ?? '';
  const primaries = [...places.matchAll(/"primary":true/g)].length;
  if (primaries < MIN_PRIMARIES)
    findings.addViolation(
      `only ${primaries} of 8 models have a primary after all faults were healed`,
    );
  if (watch.lastRunAt < now - SERVED_WITHIN_MS)
    findings.addViolation(
      `no request was served in the last ${Math.round(now - watch.lastRunAt)} ms, after all faults were healed`,
    );
}
