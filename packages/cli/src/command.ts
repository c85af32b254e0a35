/** Builds citty commands and reads the options that they share. */

import type {HostId} from '@lacewingroad/core';
import {defineCommand} from 'citty';
import type {ArgsDef, CommandDef, ParsedArgs} from 'citty';
import {EXIT_OK, getExitCode} from './cli_error.js';
import type {CliError} from './cli_error.js';
import type {HostSources} from './host_list.js';
import type {CliContext, PlatformPort} from './ports.js';
import type {Report} from './report.js';
import {Err, Ok} from './result.js';
import type {Result} from './result.js';

/** Environment variable that is used when `--platform` is absent. */
const PLATFORM_VARIABLE = 'LACEWINGROAD_PLATFORM';
const JSON_INDENT = 2;
const BUILT_IN_OPTIONS: readonly string[] = ['help', 'json'];
const ADDRESS_PATTERN = /^[^:\s]+:\d{1,5}$|^\[[0-9a-fA-F:]+\]:\d{1,5}$/;

/** Options of commands that send requests to the platform or entry hosts. */
export const OPERATOR_ARGS = {
  platform: {
    type: 'string',
    description: `URL of the platform (or ${PLATFORM_VARIABLE})`,
    valueHint: 'URL',
  },
  host: {
    type: 'string',
    description:
      'operator address of an entry host, to use when the platform is unavailable; may be given several times',
    valueHint: 'IP:PORT',
  },
} as const satisfies ArgsDef;

/** The input of a command's handler. */
export interface CommandInput<T extends ArgsDef> {
  readonly args: ParsedArgs<T>;
  /** All arguments that are not options, in order. */
  readonly positionals: readonly string[];
  readonly cli: CliContext;
  readonly sources: HostSources;
  /** Host ids given with `--host` in place of addresses. */
  readonly hostIds: readonly HostId[];
}

/** The definition of a command. */
export interface CommandSpec<T extends ArgsDef> {
  readonly name: string;
  readonly description: string;
  readonly args: T;
  /** Whether further positional arguments may follow the declared ones. */
  readonly allowsExtraPositionals?: boolean;
  /** Whether `--host` also accepts host ids. */
  readonly allowsHostIds?: boolean;
  readonly handler: (
    input: CommandInput<T>,
  ) => Promise<Result<Report, CliError>>;
}

/** Receives the exit code of the command that ran. */
export type SetExitCode = (exitCode: number) => void;

/** Builds the citty command for a definition. */
export function buildCommand<T extends ArgsDef>(
  cli: CliContext,
  setExitCode: SetExitCode,
  spec: CommandSpec<T>,
): CommandDef<T> {
  const json = {type: 'boolean', description: 'print JSON'} as const;
  const args = {...spec.args, json} as unknown as T;
  return defineCommand({
    meta: {name: spec.name, description: spec.description},
    args,
    run: async ctx => {
      const parsed = ctx.args as ParsedArgs<T>;
      const result = await runHandler(cli, spec, parsed, ctx.rawArgs);
      const isJson = ctx.rawArgs.includes('--json');
      setExitCode(result.ok ? result.val.exitCode : getExitCode(result.val));
      printResult(cli, result, isJson);
    },
  }) as CommandDef<T>;
}

async function runHandler<T extends ArgsDef>(
  cli: CliContext,
  spec: CommandSpec<T>,
  args: ParsedArgs<T>,
  rawArgs: readonly string[],
): Promise<Result<Report, CliError>> {
  const usageProblem = findUsageError(spec, args._, rawArgs);
  if (usageProblem !== null) {
    return Err(usageError(`${usageProblem} See --help.`));
  }
  const hostValues = getOptionValues(rawArgs, 'host').flatMap(text =>
    text.split(','),
  );
  const seeds = hostValues.filter(text => ADDRESS_PATTERN.test(text));
  const hostIds = hostValues.filter(text => !ADDRESS_PATTERN.test(text));
  if (hostIds.length > 0 && spec.allowsHostIds !== true) {
    return Err(
      usageError(`--host ${hostIds[0]} is not an address; write IP:PORT.`),
    );
  }
  const sources = openSources(cli, rawArgs, seeds);
  if (sources.err) {
    return sources;
  }
  try {
    const positionals = args._;
    return await spec.handler({
      args,
      positionals,
      cli,
      sources: sources.val,
      hostIds,
    });
  } finally {
    sources.val.platform?.close();
  }
}

/** Creates an error for an invalid command line. */
export function usageError(message: string): CliError {
  return {kind: 'usage', message};
}

function findUsageError<T extends ArgsDef>(
  spec: CommandSpec<T>,
  positionals: readonly string[],
  rawArgs: readonly string[],
): string | null {
  const known = new Set([...Object.keys(spec.args), ...BUILT_IN_OPTIONS]);
  const unknown = rawArgs
    .filter(arg => arg.startsWith('--') && arg.length > 2)
    .map(arg => arg.slice(2).split('=')[0] ?? '')
    .find(name => !known.has(name));
  if (unknown !== undefined) {
    return `Unknown option --${unknown}.`;
  }
  const declared = Object.values(spec.args).filter(
    arg => arg.type === 'positional',
  );
  if (
    spec.allowsExtraPositionals !== true &&
    positionals.length > declared.length
  ) {
    return `Unexpected argument ${positionals[declared.length]}.`;
  }
  return null;
}

function openSources(
  cli: CliContext,
  rawArgs: readonly string[],
  seeds: readonly string[],
): Result<HostSources, CliError> {
  const url =
    getOptionValues(rawArgs, 'platform').at(-1) ?? cli.env[PLATFORM_VARIABLE];
  if (url === undefined || url === '') {
    return Ok({platform: null, seeds, operators: cli.operators});
  }
  if (!URL.canParse(url) || new URL(url).protocol !== 'http:') {
    return Err(
      usageError(`${url} is not a valid platform URL; write http://IP:PORT.`),
    );
  }
  const platform = cli.openPlatform(url);
  return Ok({platform, seeds, operators: cli.operators});
}

/** Returns all values of an option that may be given several times. */
function getOptionValues(
  rawArgs: readonly string[],
  name: string,
): readonly string[] {
  return rawArgs.flatMap((arg, i) => {
    if (arg.startsWith(`--${name}=`)) {
      return [arg.slice(name.length + 3)];
    }
    const next = rawArgs[i + 1];
    return arg === `--${name}` && next !== undefined ? [next] : [];
  });
}

/** Returns the platform, or a usage error when none was given. */
export function requirePlatform(
  sources: HostSources,
): Result<PlatformPort, CliError> {
  if (sources.platform !== null) {
    return Ok(sources.platform);
  }
  return Err(
    usageError(
      `This command needs the platform: give --platform URL or set ${PLATFORM_VARIABLE}.`,
    ),
  );
}

function printResult(
  cli: CliContext,
  result: Result<Report, CliError>,
  isJson: boolean,
): void {
  if (result.err) {
    const {kind, message} = result.val;
    cli.printError(isJson ? toJson({error: {kind, message}}) : message);
    return;
  }
  const text = isJson
    ? toJson(result.val.data)
    : result.val.lines.join('\n').replace(/\n$/, '');
  if (text !== '') {
    cli.print(text);
  }
}

function toJson(value: unknown): string {
  return JSON.stringify(value, null, JSON_INDENT);
}

/** Creates the report of a command that succeeded. */
export function reportOk(lines: readonly string[], data: unknown): Report {
  return {exitCode: EXIT_OK, lines, data};
}
