import { Flags } from '@oclif/core';
import { makeLog } from '../common/log.js';
import { PROGRAM_FLAGS, ProgramCommand, SEED_FLAGS } from '../common/program-command.js';
import { TableAgentSettingsShape } from '../common/settings.js';
import { untilStopped } from '../common/shutdown.js';
import { StatusPort } from '../common/status-port.js';
import { TableAgentProcess } from './table-agent-process.js';

/** The subcommand that runs an agent next to a proxy until SIGTERM or SIGINT. */
export class AgentCommand extends ProgramCommand {
  static override aliases = ['link'];
  static override deprecateAliases = true;
  static override description = 'run the agent next to a proxy';
  static override flags = {
    ...PROGRAM_FLAGS,
    ...SEED_FLAGS,
    feed: Flags.string({ description: 'loopback address at which the proxy gets its updates' }),
    status: Flags.string({ description: 'address that serves counters and metrics' }),
    blindMs: Flags.integer({
      description: 'freshness bound in milliseconds, as set for the proxies',
    }),
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(AgentCommand);
    const settings = this.parseSettings(TableAgentSettingsShape, flags);
    const agent = new TableAgentProcess(settings, makeLog('agent', settings.listen));
    const status = new StatusPort(
      () => agent.counters(),
      () => agent.metrics(),
    );
    await this.startOrExit(async (): Promise<void> => {
      await agent.start();
      if (settings.status !== undefined) await status.listen(settings.status);
    });
    await untilStopped();
    agent.stop();
    status.close();
    this.exit(0);
  }
}
