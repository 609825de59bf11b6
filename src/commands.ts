import { DoubtCommand } from './doubt/DoubtCommand.js';
import { FlowCommand } from './flow/FlowCommand.js';
import { LinkCommand } from './link/LinkCommand.js';
import { MindCommand } from './mind/MindCommand.js';
import { FleetCommand } from './myth/FleetCommand.js';
import { MeasureCommand } from './myth/MeasureCommand.js';
import { ScaleCommand } from './myth/ScaleCommand.js';
import { StormCommand } from './myth/StormCommand.js';
import { StandCommand } from './myth/StandCommand.js';
import {
  AskEditCommand,
  EmptyCommand,
  FillCommand,
  FoundCommand,
  PutCommand,
  RowsCommand,
  SetCommand,
  SwapCommand,
} from './word/EditCommands.js';
import { ImportCommand } from './word/ImportCommand.js';
import { CountersCommand, StatusCommand } from './word/ShowCommands.js';
import { TableCommand } from './word/TableCommand.js';

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
