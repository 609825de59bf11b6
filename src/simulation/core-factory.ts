import { AgentCore, type AgentSettings } from '../agent/agent-core.js';
import type { Moment } from '../common/ids.js';
import { ControlCore } from '../control/control-core.js';
import type { ControlSettings } from '../control/control-effect.js';
import type { VoteSettings } from '../election/vote-settings.js';
import type { StoredPartition } from '../state/store.js';

/** The inputs from which a control node's core is created when its process starts. */
export interface ControlInputs {
  /** The settings of the core. */
  readonly settings: ControlSettings;
  /** The partitions that the disk holds. */
  readonly stored: readonly StoredPartition[];
  /** The time on the clock of the process. */
  readonly now: Moment;
  /** The settings of the election. */
  readonly vote: VoteSettings;
}

/** Creates the cores of a run's processes; a mutant creates cores with one defect. */
export interface CoreFactory {
  /** Creates the core of a control node. */
  control(inputs: ControlInputs): ControlCore;
  /** Creates the core of an agent. */
  agent(settings: AgentSettings, now: Moment): AgentCore;
}

function createControl({ settings, stored, now, vote }: ControlInputs): ControlCore {
  return new ControlCore(settings, stored, now, vote);
}

function createAgent(settings: AgentSettings, now: Moment): AgentCore {
  return new AgentCore(settings, now);
}

/** Creates the unmodified cores. */
export const UNMODIFIED_CORES: CoreFactory = { control: createControl, agent: createAgent };
