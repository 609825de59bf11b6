/** Every kind of trouble that the generator knows, with how one of it is drawn. */
import type { KindTable } from './kind-of-trouble.js';
import { CONTROL_KINDS } from './kinds/control.js';
import { OPERATOR_KINDS } from './kinds/operators.js';
import { PROXY_KINDS } from './kinds/proxies.js';
import { RUNNER_KINDS } from './kinds/runners.js';
import { TRAFFIC_KINDS } from './kinds/traffic.js';

/** All kinds, by the name that a day file gives them. */
export const KINDS: KindTable = {
  ...CONTROL_KINDS,
  ...OPERATOR_KINDS,
  ...PROXY_KINDS,
  ...RUNNER_KINDS,
  ...TRAFFIC_KINDS,
};
