import { Flags } from '@oclif/core';
import { makeLog } from '../common/Log.js';
import { PROGRAM_FLAGS, ProgramCommand, SEED_FLAGS } from '../common/ProgramCommand.js';
import { MindSettingsShape } from '../common/Settings.js';
import { untilStopped } from '../common/Shutdown.js';
import { MindProcess } from './TableControlProcess.js';

export class MindCommand extends ProgramCommand {
  static override description = 'run a control node';
  static override flags = {
    ...PROGRAM_FLAGS,
    ...SEED_FLAGS,
    api: Flags.string({ description: "address of the operators' API" }),
    data: Flags.string({ description: 'folder for the state on disk' }),
    platform: Flags.string({ description: "address of the platform's list of machines" }),
    store: Flags.string({ description: 'address of the weight store' }),
    blindMs: Flags.integer({
      description: 'a flow not vouched for within this span turns new work away',
    }),
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(MindCommand);
    const settings = this.settle(MindSettingsShape, flags);
    const mind = new MindProcess(settings, makeLog('mind', settings.listen));
    await this.begin(mind.start.bind(mind));
    await untilStopped();
    await mind.stop();
    this.exit(0);
  }
}
