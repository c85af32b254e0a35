/** Builds citty commands with the options that all operator commands share. */

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

/** The environment variable that stands in for `--platform`. */
const PLATFORM_VARIABLE = 'LACEWINGROAD_PLATFORM';
const JSON_INDENT = 2;
const BUILT_IN_OPTIONS: readonly string[] = ['help', 'json'];
const ADDRESS_PATTERN = /^[^:\s]+:\d{1,5}$|^\[[0-9a-fA-F:]+\]:\d{1,5}$/;

/** Options of commands that ask the platform or entry hosts. */
export const OPERATOR_ARGS = {
  platform: {
    type: 'string',
    description: `URL of the platform (or ${PLATFORM_VARIABLE})`,
    valueHint: 'URL',
  },
  host: {
    type: 'string',
    description:
      'operator address of an entry host, for when the platform is out; may be given several times',
    valueHint: 'IP:PORT',
  },
} as const satisfies ArgsDef;

/** What a command's handler works with. */
export interface CommandInput<T extends ArgsDef> {
  readonly args: ParsedArgs<T>;
  /** Everything that is no option, in order. */
  readonly positionals: readonly string[];
  readonly cli: CliContext;
  readonly sources: HostSources;
  /** Ids given with `--host` instead of addresses. */
  readonly hostIds: readonly HostId[];
}

/** A command of the operators. */
export interface CommandSpec<T extends ArgsDef> {
  readonly name: string;
  readonly description: string;
  readonly args: T;
  /** Whether more positional arguments may follow the named ones. */
  readonly takesMore?: boolean;
  /** Whether `--host` may also name a host by its id. */
  readonly takesHostIds?: boolean;
  readonly handler: (
    input: CommandInput<T>,
  ) => Promise<Result<Report, CliError>>;
}

/** Takes the exit code of the command that ran. */
export type ExitSink = (exitCode: number) => void;

/** Builds a command from its description and handler. */
export function buildCommand<T extends ArgsDef>(
  cli: CliContext,
  setExit: ExitSink,
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
      setExit(result.ok ? result.val.exitCode : getExitCode(result.val));
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
  const usageFault = findUsageFault(spec, args._, rawArgs);
  if (usageFault !== null) {
    return Err(usage(`${usageFault} See --help.`));
  }
  const named = collectOption(rawArgs, 'host').flatMap(text => text.split(','));
  const seeds = named.filter(text => ADDRESS_PATTERN.test(text));
  const hostIds = named.filter(text => !ADDRESS_PATTERN.test(text));
  if (hostIds.length > 0 && spec.takesHostIds !== true) {
    return Err(usage(`--host ${hostIds[0]} is no address; write IP:PORT.`));
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

/** Returns an error of the command line. */
export function usage(message: string): CliError {
  return {kind: 'usage', message};
}

function findUsageFault<T extends ArgsDef>(
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
  const named = Object.values(spec.args).filter(
    arg => arg.type === 'positional',
  );
  if (spec.takesMore !== true && positionals.length > named.length) {
    return `Unexpected argument ${positionals[named.length]}.`;
  }
  return null;
}

function openSources(
  cli: CliContext,
  rawArgs: readonly string[],
  seeds: readonly string[],
): Result<HostSources, CliError> {
  const url =
    collectOption(rawArgs, 'platform').at(-1) ?? cli.env[PLATFORM_VARIABLE];
  if (url === undefined || url === '') {
    return Ok({platform: null, seeds, operators: cli.operators});
  }
  if (!URL.canParse(url) || new URL(url).protocol !== 'http:') {
    return Err(usage(`The platform ${url} is no URL; write http://IP:PORT.`));
  }
  const platform = cli.openPlatform(url);
  return Ok({platform, seeds, operators: cli.operators});
}

/** Collects the values of an option that may be given several times. */
function collectOption(
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

/** Returns the platform, or the error that says how to name it. */
export function needPlatform(
  sources: HostSources,
): Result<PlatformPort, CliError> {
  if (sources.platform !== null) {
    return Ok(sources.platform);
  }
  return Err(
    usage(
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

/** Returns the report of a command that did what it should. */
export function reportOk(lines: readonly string[], data: unknown): Report {
  return {exitCode: EXIT_OK, lines, data};
}
