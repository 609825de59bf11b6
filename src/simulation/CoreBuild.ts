import { AgentCore, type AgentSettings } from '../agent/AgentCore.js';
import type { Moment } from '../common/Ids.js';
import { ControlCore } from '../control/ControlCore.js';
import type { ControlSettings } from '../control/ControlEffect.js';
import type { VoteSettings } from '../election/VoteSettings.js';
import type { StoredPart } from '../state/Store.js';

/** What a control node's core is made of when its process starts. */
export interface ControlInputs {
  readonly settings: ControlSettings;
  /** What its disk holds. */
  readonly stored: readonly StoredPart[];
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
