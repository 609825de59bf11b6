import { Flags } from '@oclif/core';
import { makeLog } from '../common/log.js';
import { PROGRAM_FLAGS, ProgramCommand, SEED_FLAGS } from '../common/program-command.js';
import { TableControlSettingsShape } from '../common/settings.js';
import { untilStopped } from '../common/shutdown.js';
import { TableControlProcess } from './table-control-process.js';

/** `haretrack control`: runs a control node that places models at runners by the policy table. */
export class ControlCommand extends ProgramCommand {
  static override aliases = ['mind'];
  static override deprecateAliases = true;
  static override description = 'run a control node';
  static override flags = {
    ...PROGRAM_FLAGS,
    ...SEED_FLAGS,
    api: Flags.string({ description: "address of the operators' API" }),
    data: Flags.string({ description: 'folder for the state on disk' }),
    platform: Flags.string({ description: "address of the platform's list of machines" }),
    store: Flags.string({ description: 'address of the weight store' }),
    blindMs: Flags.integer({
      description:
        'freshness bound in ms, as set for the proxies: one whose configuration stays unconfirmed for longer rejects new requests',
    }),
  };

  /** Runs until the process receives a stop signal, then hands over and exits with 0. */
  async run(): Promise<void> {
    const { flags } = await this.parse(ControlCommand);
    const settings = this.parseSettings(TableControlSettingsShape, flags);
    const controlNode = new TableControlProcess(settings, makeLog('control', settings.listen));
    await this.startOrExit(() => controlNode.start());
    await untilStopped();
    await controlNode.stop();
    this.exit(0);
  }
}
