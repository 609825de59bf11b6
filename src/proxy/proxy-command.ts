import { Flags } from '@oclif/core';
import { makeLog } from '../common/log.js';
import { PROGRAM_FLAGS, ProgramCommand } from '../common/program-command.js';
import { TableProxySettingsShape } from '../common/settings.js';
import { untilStopped } from '../common/shutdown.js';
import { StatusPort } from '../common/status-port.js';
import { TableProxyProcess } from './table-proxy-process.js';

/** Runs the proxy that routes by the operators' table. */
export class ProxyCommand extends ProgramCommand {
  static override aliases = ['flow'];
  static override deprecateAliases = true;
  static override description = 'run the proxy';
  static override flags = {
    ...PROGRAM_FLAGS,
    link: Flags.string({ description: 'loopback address of the local agent' }),
    status: Flags.string({ description: 'address for counters' }),
    blindMs: Flags.integer({
      description: 'without a freshness confirmation for this long, new requests are rejected',
    }),
    drainMs: Flags.integer({ description: 'how long requests in flight may take after SIGTERM' }),
  };

  /** Runs the proxy until the process is asked to stop. */
  async run(): Promise<void> {
    const { flags } = await this.parse(ProxyCommand);
    const settings = this.parseSettings(TableProxySettingsShape, flags);
    const proxy = new TableProxyProcess(settings, makeLog('proxy', settings.listen));
    const status = new StatusPort(() => proxy.counters());
    await this.startOrExit(async (): Promise<void> => {
      await proxy.start();
      if (settings.status !== undefined) await status.listen(settings.status);
    });
    await untilStopped();
    await proxy.stop();
    status.close();
    this.exit(0);
  }
}
