/** The command tree of `lacewingroad`, and how one command line runs. */

import {defineCommand, renderUsage, runCommand} from 'citty';
import type {CommandDef} from 'citty';
import {EXIT_OK, EXIT_USAGE} from './cli_error.js';
import {buildCommand} from './command.js';
import type {ExitSink} from './command.js';
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
  'Exit codes: 0 done, 1 not as wished, 2 wrong command line, 3 platform or hosts unreachable.';
const HELP_OPTIONS: readonly string[] = ['--help', '-h'];

// citty's commands differ in the type of their arguments.
// eslint-disable-next-line @typescript-eslint/no-explicit-any
type AnyCommand = CommandDef<any>;
type SubCommands = Readonly<Record<string, AnyCommand>>;

interface ResolvedCommand {
  readonly command: AnyCommand;
  readonly parent: AnyCommand | undefined;
}

function buildTree(cli: CliContext, setExit: ExitSink): AnyCommand {
  const table = defineCommand({
    meta: {
      name: 'lacewingroad table',
      description: "read and edit services' tables",
    },
    subCommands: {
      get: buildCommand(cli, setExit, GET_SPEC),
      apply: buildCommand(cli, setExit, APPLY_SPEC),
      status: buildCommand(cli, setExit, STATUS_SPEC),
      log: buildCommand(cli, setExit, LOG_SPEC),
      create: buildCommand(cli, setExit, CREATE_SPEC),
    },
  });
  return defineCommand({
    meta: {
      name: 'lacewingroad',
      description: 'database proxy with session consistency',
    },
    subCommands: {
      table,
      hosts: buildCommand(cli, setExit, HOSTS_SPEC),
      groups: buildCommand(cli, setExit, GROUPS_SPEC),
      failover: buildCommand(cli, setExit, FAILOVER_SPEC),
      timeline: buildCommand(cli, setExit, TIMELINE_SPEC),
      explain: buildCommand(cli, setExit, EXPLAIN_SPEC),
      check: buildCommand(cli, setExit, CHECK_SPEC),
      entry: buildCommand(cli, setExit, ENTRY_SPEC),
      bench: buildCommand(cli, setExit, BENCH_SPEC),
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

/** Follows the leading words of a command line down the command tree. */
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
