import { CheckCommand } from './check/CheckCommand.js';
import { ProxyCommand } from './proxy/ProxyCommand.js';
import { AgentCommand } from './agent/AgentCommand.js';
import { ControlCommand } from './control/ControlCommand.js';
import { FleetCommand } from './rehearsal/FleetCommand.js';
import { MeasureCommand } from './rehearsal/MeasureCommand.js';
import { ScaleCommand } from './rehearsal/ScaleCommand.js';
import { StormCommand } from './rehearsal/StormCommand.js';
import { StubCommand } from './rehearsal/StubCommand.js';
import {
  AskEditCommand,
  EvacuateCommand,
  RestoreCommand,
  ForceNewClusterCommand,
  PutCommand,
  RowsCommand,
  SetCommand,
  ReplaceVoterCommand,
} from './operator/EditCommands.js';
import { ImportCommand } from './operator/ImportCommand.js';
import { CountersCommand, StatusCommand } from './operator/ShowCommands.js';
import { TableCommand } from './operator/TableCommand.js';

/** Every subcommand of the one binary. */
export const COMMANDS = {
  check: CheckCommand,
  proxy: ProxyCommand,
  agent: AgentCommand,
  control: ControlCommand,
  'rehearsal:fleet': FleetCommand,
  'rehearsal:measure': MeasureCommand,
  'rehearsal:scale': ScaleCommand,
  'rehearsal:stub': StubCommand,
  'rehearsal:storm': StormCommand,
  'operator:counters': CountersCommand,
  'operator:edit': AskEditCommand,
  'operator:evacuate': EvacuateCommand,
  'operator:restore': RestoreCommand,
  'operator:force-new-cluster': ForceNewClusterCommand,
  'operator:import': ImportCommand,
  'operator:put': PutCommand,
  'operator:rows': RowsCommand,
  'operator:set': SetCommand,
  'operator:status': StatusCommand,
  'operator:replace-voter': ReplaceVoterCommand,
  'operator:table': TableCommand,
};
