import { test } from 'vitest';
import { COMMANDS } from '../commands.js';
import { expectToContainGolden } from './testing/golden.js';

type CommandClass = (typeof COMMANDS)[keyof typeof COMMANDS];

/** The parts of a command that operators' scripts depend on, without help texts and aliases for former names. */
function interfaceOf(command: CommandClass): object {
  // `args` and `flags` are undefined for a command without any.
  const args = Object.entries({ ...command.args }).map(([name, arg]) => {
    const { required, options } = arg;
    return [name, { required, options, default: arg.default }];
  });
  const flags = Object.entries({ ...command.flags }).map(([name, flag]) => {
    const { type, char, env, required } = flag;
    const takesValue =
      flag.type === 'option'
        ? { options: flag.options, multiple: flag.multiple, delimiter: flag.delimiter }
        : {};
    return [name, { type, char, env, required, default: flag.default, ...takesValue }];
  });
  return {
    strict: command.strict,
    args: Object.fromEntries(args),
    flags: Object.fromEntries(flags),
  };
}

test('the commands keep their names, arguments, flags and defaults', () => {
  const commands = Object.entries(COMMANDS).map(([name, command]) => [name, interfaceOf(command)]);
  expectToContainGolden('operators/commands.json', Object.fromEntries(commands));
});
