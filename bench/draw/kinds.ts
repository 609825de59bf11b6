/** The table of all kinds of event that the generator can draw. */
import type { EventKindTable } from './event-kind.js';
import { CONTROL_KINDS } from './kinds/control.js';
import { OPERATOR_KINDS } from './kinds/operators.js';
import { PROXY_KINDS } from './kinds/proxies.js';
import { RUNNER_KINDS } from './kinds/runners.js';
import { TRAFFIC_KINDS } from './kinds/traffic.js';

/** All kinds by their names in day files. */
export const KINDS: EventKindTable = {
  ...CONTROL_KINDS,
  ...OPERATOR_KINDS,
  ...PROXY_KINDS,
  ...RUNNER_KINDS,
  ...TRAFFIC_KINDS,
};
