import { AgentCore, type AgentSettings } from '../agent/agent-core.js';
import type { Moment } from '../common/ids.js';
import { ControlCore } from '../control/control-core.js';
import type { ControlSettings } from '../control/control-effect.js';
import type { VoteSettings } from '../election/vote-settings.js';
import type { StoredPartition } from '../state/store.js';

/** What a control node's core is made of when its process starts. */
export interface ControlInputs {
  readonly settings: ControlSettings;
  /** What its disk holds. */
  readonly stored: readonly StoredPartition[];
  readonly now: Moment;
  readonly vote: VoteSettings;
}

/** Makes the cores of a run's processes; a mutant makes them with one thing wrong. */
export interface CoreBuild {
  control(inputs: ControlInputs): ControlCore;
  agent(settings: AgentSettings, now: Moment): AgentCore;
}

function soundControl({ settings, stored, now, vote }: ControlInputs): ControlCore {
  return new ControlCore(settings, stored, now, vote);
}

function soundAgent(settings: AgentSettings, now: Moment): AgentCore {
  return new AgentCore(settings, now);
}

/** The cores as they are. */
export const SOUND_BUILD: CoreBuild = { control: soundControl, agent: soundAgent };
