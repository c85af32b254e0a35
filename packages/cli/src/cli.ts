/** Defines the command tree of `lacewingroad` and runs a command line. */

import {defineCommand, renderUsage, runCommand} from 'citty';
import type {CommandDef} from 'citty';
import {EXIT_OK, EXIT_USAGE} from './cli_error.js';
import {buildCommand} from './command.js';
import type {SetExitCode} from './command.js';
import {BENCH_SPEC} from './commands/bench.js';
import {EXPLAIN_SPEC} from './commands/explain.js';
import {FAILOVER_SPEC} from './commands/failover.js';
import {GROUPS_SPEC} from './commands/groups.js';
import {HOSTS_SPEC} from './commands/hosts.js';
import {CHECK_SPEC, ENTRY_SPEC} from './commands/programs.js';
import {APPLY_SPEC, CREATE_SPEC} from './commands/table_apply.js';
import {GET_SPEC, LOG_SPEC, STATUS_SPEC} from './commands/table_read.js';
import {TIMELINE_SPEC} from './commands/timeline.js';
import type {CliContext} from './ports.js';

const EXIT_CODE_HELP =
  'Exit codes: 0 done, 1 not as expected, 2 invalid command line, 3 platform or hosts unreachable.';
const HELP_OPTIONS: readonly string[] = ['--help', '-h'];

// The type of a citty command depends on its arguments.
// eslint-disable-next-line @typescript-eslint/no-explicit-any
type AnyCommand = CommandDef<any>;
type SubCommands = Readonly<Record<string, AnyCommand>>;

interface ResolvedCommand {
  readonly command: AnyCommand;
  readonly parent: AnyCommand | undefined;
}

function buildTree(cli: CliContext, setExitCode: SetExitCode): AnyCommand {
  const table = defineCommand({
    meta: {
      name: 'lacewingroad table',
      description: 'read and edit the tables of services',
    },
    subCommands: {
      get: buildCommand(cli, setExitCode, GET_SPEC),
      apply: buildCommand(cli, setExitCode, APPLY_SPEC),
      status: buildCommand(cli, setExitCode, STATUS_SPEC),
      log: buildCommand(cli, setExitCode, LOG_SPEC),
      create: buildCommand(cli, setExitCode, CREATE_SPEC),
    },
  });
  return defineCommand({
    meta: {
      name: 'lacewingroad',
      description: 'database proxy with session consistency',
    },
    subCommands: {
      table,
      hosts: buildCommand(cli, setExitCode, HOSTS_SPEC),
      groups: buildCommand(cli, setExitCode, GROUPS_SPEC),
      failover: buildCommand(cli, setExitCode, FAILOVER_SPEC),
      timeline: buildCommand(cli, setExitCode, TIMELINE_SPEC),
      explain: buildCommand(cli, setExitCode, EXPLAIN_SPEC),
      check: buildCommand(cli, setExitCode, CHECK_SPEC),
      entry: buildCommand(cli, setExitCode, ENTRY_SPEC),
      bench: buildCommand(cli, setExitCode, BENCH_SPEC),
    },
  });
}

/** Runs one command line and returns its exit code. */
export async function runCli(
  cli: CliContext,
  rawArgs: readonly string[],
): Promise<number> {
  let exitCode = EXIT_OK;
  const tree = buildTree(cli, code => {
    exitCode = code;
  });
  const {command, parent} = resolveCommand(tree, rawArgs);
  if (rawArgs.some(arg => HELP_OPTIONS.includes(arg))) {
    cli.print(await renderHelp(command, parent));
    return EXIT_OK;
  }
  try {
    await runCommand(tree, {rawArgs: [...rawArgs]});
    return exitCode;
  } catch (err) {
    if (!(err instanceof Error) || err.name !== 'CLIError') {
      throw err;
    }
    cli.printError(await renderHelp(command, parent));
    cli.printError(`\n${err.message}`);
    return EXIT_USAGE;
  }
}

async function renderHelp(
  command: AnyCommand,
  parent: AnyCommand | undefined,
): Promise<string> {
  return `${await renderUsage(command, parent)}\n\n${EXIT_CODE_HELP}`;
}

/** Finds the command that the leading words of a command line name. */
function resolveCommand(
  tree: AnyCommand,
  rawArgs: readonly string[],
): ResolvedCommand {
  let resolved: ResolvedCommand = {command: tree, parent: undefined};
  for (const word of rawArgs) {
    const subCommands = resolved.command.subCommands as SubCommands | undefined;
    const next = subCommands?.[word];
    if (next === undefined) {
      return resolved;
    }
    resolved = {command: next, parent: resolved.command};
  }
  return resolved;
}
