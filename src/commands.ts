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
  EmptyCommand,
  FillCommand,
  FoundCommand,
  PutCommand,
  RowsCommand,
  SetCommand,
  SwapCommand,
} from './operator/EditCommands.js';
import { ImportCommand } from './operator/ImportCommand.js';
import { CountersCommand, StatusCommand } from './operator/ShowCommands.js';
import { TableCommand } from './operator/TableCommand.js';

/** Every subcommand of the one binary. */
export const COMMANDS = {
  doubt: CheckCommand,
  flow: ProxyCommand,
  link: AgentCommand,
  controlNode: ControlCommand,
  'myth:fleet': FleetCommand,
  'myth:measure': MeasureCommand,
  'myth:scale': ScaleCommand,
  'myth:stand': StubCommand,
  'myth:storm': StormCommand,
  'word:counters': CountersCommand,
  'word:edit': AskEditCommand,
  'word:empty': EmptyCommand,
  'word:fill': FillCommand,
  'word:found': FoundCommand,
  'word:import': ImportCommand,
  'word:put': PutCommand,
  'word:rows': RowsCommand,
  'word:set': SetCommand,
  'word:status': StatusCommand,
  'word:swap': SwapCommand,
  'word:table': TableCommand,
};
