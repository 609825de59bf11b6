import { DoubtCommand } from './check/CheckCommand.js';
import { FlowCommand } from './proxy/ProxyCommand.js';
import { LinkCommand } from './agent/AgentCommand.js';
import { MindCommand } from './control/ControlCommand.js';
import { FleetCommand } from './rehearsal/FleetCommand.js';
import { MeasureCommand } from './rehearsal/MeasureCommand.js';
import { ScaleCommand } from './rehearsal/ScaleCommand.js';
import { StormCommand } from './rehearsal/StormCommand.js';
import { StandCommand } from './rehearsal/StubCommand.js';
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
  doubt: DoubtCommand,
  flow: FlowCommand,
  link: LinkCommand,
  mind: MindCommand,
  'myth:fleet': FleetCommand,
  'myth:measure': MeasureCommand,
  'myth:scale': ScaleCommand,
  'myth:stand': StandCommand,
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
